package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// endTask offers a task that is expected to take 100 ms and lets it end after ran.
func (h *harness) endTask(index int, ran time.Duration) {
	h.t.Helper()
	e := offer(index)
	e.Expected = 100 * time.Millisecond
	h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
	h.step(e)
	h.started(index)
	for end := h.now + ran; h.now < end; {
		h.now = min(end, h.now+50*time.Millisecond)
		h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
		if h.now < end {
			h.answerHold([]RunningRun{{Run: e.Run, Percent: int(100 * (h.now + ran - end) / ran)}}, nil)
		}
	}
	h.answerHold(nil, []EndedRun{{Number: int64(index + 1), Run: e.Run, How: EndDone}})
	h.take()
}

// One straggler of seven times the usual length must not make a server look slow, and
// changes below 5 % must cause no message to entries.
func TestAStragglerDoesNotChangeTheSpeed(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i := range MinSpeedSamples + 20 {
		h.endTask(i, 100*time.Millisecond)
		if known := h.core.Room().Speed.Value > 0; known != (i+1 >= MinSpeedSamples) {
			t.Fatalf("speed known %v after %d runs, want from %d on", known, i+1, MinSpeedSamples)
		}
	}
	before := h.core.Room()
	h.endTask(100, 102*time.Millisecond)
	if after := h.core.Room(); !before.Equal(&after) {
		t.Errorf("room %+v after a change of 2 %% of one run, want equal to %+v", after, before)
	}
	h.endTask(101, 700*time.Millisecond)
	if v := h.core.Room().Speed.Value; v > 1.1 {
		t.Errorf("speed %.2f after one straggler, want about 1", v)
	}
}

// A server that has become slow must be seen as such by its ended runs within a few of
// them, and the successor of a server must be judged anew.
func TestASlowServerIsFoundAndItsSuccessorJudgedAnew(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i := range 20 {
		h.endTask(i, 100*time.Millisecond)
	}
	for i := range 8 {
		h.endTask(20+i, 300*time.Millisecond)
	}
	if v := h.core.Room().Speed.Value; v < 1.6 {
		t.Errorf("speed %.2f after eight runs of three times the expected time, want above 1.6", v)
	}
	e := report(serverStartMs+1, 1, 0)
	e.Server.Incarnation = "successor"
	h.restart(e)
	if s := h.core.Room().Speed; s != (SpeedFigure{}) {
		t.Errorf("speed of the successor %+v, want unknown", s)
	}
}

// A single straggler among running tasks must not make a server look slow; a server on
// which all tasks are slow must.
func TestPaceOfRunningTasks(t *testing.T) {
	for name, test := range map[string]struct {
		percents []int
		slow     bool
	}{
		"one straggler of three": {[]int{90, 90, 13}, false},
		"all slow":               {[]int{25, 22, 24}, true},
	} {
		h := newHarness(t)
		h.useServer()
		var running []RunningRun
		for i, percent := range test.percents {
			e := offer(i)
			e.Expected = 100 * time.Millisecond
			h.step(e)
			h.started(i)
			running = append(running, RunningRun{Run: work.Run{Task: e.Run.Task, ID: 1}, Percent: percent})
		}
		h.now += 90 * time.Millisecond
		h.answerHold(running, nil)
		if pace := h.core.Room().Pace; (pace >= 1.8) != test.slow {
			t.Errorf("%s: pace %.2f, want slow: %v", name, pace, test.slow)
		}
	}
}
