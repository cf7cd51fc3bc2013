package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// Room went to the task that came first instead of the one with the least time left, or to a
// small, less urgent one of another entry that passed a large one.
func TestWaitingTasksStartByPriorityAndLatestStart(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	for i, o := range []struct {
		priority work.Priority
		slack    time.Duration
		cpu      int64
	}{{0, 0, 4000}, {1, 300, 1000}, {1, 100, 1000}, {2, -1000, 1000}} {
		e := offer(1 + i)
		e.Priority, e.Slack, e.Demand.CPUMilli = o.priority, o.slack*time.Millisecond, o.cpu
		h.step(e)
	}
	if starts := of[CallStart](h.take()); len(starts) != 1 {
		t.Fatalf("starts %+v, want none while the most urgent task waits", starts[1:])
	}
	h.step(StopRequested{Entry: entryA, Run: runOf(1, 1)})
	starts := of[CallStart](h.take())
	if len(starts) != 3 {
		t.Fatalf("starts %+v, want 3", starts)
	}
	for n, want := range []int{3, 2, 4} {
		if starts[n].Run != runOf(want, 1) {
			t.Errorf("start %d is of %v, want task %d", n, starts[n].Run, want)
		}
	}
}

func drainingReport(sequence int64, clock, remaining time.Duration) ServerReported {
	e := report(serverStartMs, sequence, clock)
	e.Server.Draining, e.Server.Remaining = true, remaining
	return e
}

// Entries learned no end, an end that had passed as unknown, or one that can't be right.
func TestTheEndOfADrainingServerIsReported(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i, c := range []struct{ told, after, want time.Duration }{
		{3 * time.Second, time.Second, 2 * time.Second},
		{time.Second, 2 * time.Second, time.Millisecond},
		{0, 0, 0}, {-time.Second, 0, 0}, {1000 * time.Hour, 0, 0},
	} {
		h.step(drainingReport(int64(i+2), h.now, c.told))
		before := h.core.Room()
		h.now += c.after
		h.step(Tick{})
		if room := h.core.Room(); room.Server.Remaining != c.want || !before.Equal(&room) {
			t.Errorf("remaining time %v, %v after a report of %v, want %v and no message", room.Server.Remaining, c.after, c.told, c.want)
		}
	}
}

// A draining server that crashed before the end that it had reported counted as one that left.
func TestAServerThatEndsBeforeItToldHasCrashed(t *testing.T) {
	for told, want := range map[time.Duration]bool{time.Minute: true, time.Millisecond: false, 0: false} {
		h := startOneRun(t)
		h.step(drainingReport(2, h.now, told))
		if r := h.runUntilLost(true); r.Outcome != work.Lost || ServerWentDown(r.Reason) != want {
			t.Errorf("report %+v of a server that had told %v, want a crash: %v", r, told, want)
		}
	}
}
