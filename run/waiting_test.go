package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// fill starts a task in each of the four slots.
func (h *harness) fill() {
	h.t.Helper()
	h.useServer()
	for i := range 4 {
		h.step(offer(i))
		h.started(i)
	}
	h.take()
}

// The room of an agent went to the task that came first, although another one of its
// priority had less time left.
func TestWaitingTasksStartInOrderOfTheirLatestStart(t *testing.T) {
	h := newHarness(t)
	h.fill()
	for i, o := range []struct {
		priority work.Priority
		slack    time.Duration
	}{{1, 300 * time.Millisecond}, {1, 100 * time.Millisecond}, {0, 500 * time.Millisecond}, {2, -time.Second}} {
		e := offer(4 + i)
		e.Priority, e.Slack = o.priority, o.slack
		h.step(e)
	}
	h.take()
	var ended []EndedRun
	for n := range 4 {
		ended = append(ended, EndedRun{Number: int64(n + 1), Run: runOf(n, 1), How: EndDone})
	}
	h.answerHold(nil, ended)
	starts := of[CallStart](h.take())
	if len(starts) != 4 {
		t.Fatalf("starts %+v, want 4", starts)
	}
	for n, want := range []int{6, 5, 4, 7} {
		if starts[n].Run != runOf(want, 1) {
			t.Errorf("start %d is of %v, want task %d", n, starts[n].Run, want)
		}
	}
}

// A small, less urgent task of another entry took the room that a large, more urgent one
// waited for.
func TestALessUrgentTaskDoesNotPassAMoreUrgentOne(t *testing.T) {
	for _, c := range []struct {
		small work.Priority
		want  int
	}{{0, 1}, {1, 1}, {2, 0}} {
		h := newHarness(t)
		h.useServer()
		h.step(offer(0))
		h.started(0)
		h.take()
		large, small := offer(1), offer(2)
		large.Priority, large.Demand.CPUMilli = 1, 4000
		small.Entry, small.Priority = entryB, c.small
		h.step(EntryHeartbeat{Entry: entryB, AsOf: h.now})
		h.step(large)
		h.step(small)
		if n := len(of[CallStart](h.take())); n != c.want {
			t.Errorf("%d tasks of priority %d start while one of priority 1 waits, want %d", n, c.small, c.want)
		}
	}
}
