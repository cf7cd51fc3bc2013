package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// reportCapacity lets the server report another capacity, as one that shrinks or grows
// while it runs.
func (h *harness) reportCapacity(sequence, cpuMilli int64) {
	e := report(serverStartMs, sequence, h.now)
	e.Server.Capacity.CPUMilli = cpuMilli
	h.step(e)
}

// What runs goes on in a room that has shrunk, but nothing starts until it is within it.
func TestNothingStartsInARoomThatHasShrunk(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i := range 4 {
		h.step(offer(i))
		h.started(i)
	}
	h.take()
	h.reportCapacity(2, 2000)
	h.step(offer(4))
	running := []RunningRun{{Run: runOf(1, 1)}, {Run: runOf(2, 1)}, {Run: runOf(3, 1)}}
	h.answerHold(running, []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndDone}})
	h.answerHold(running[1:], []EndedRun{{Number: 2, Run: runOf(1, 1), How: EndDone}})
	out := h.take()
	if n := len(of[CallStart](out)); n != 0 {
		t.Fatalf("%d tasks start while the runs take all of the smaller capacity", n)
	}
	if n := len(of[CallStop](out)); n != 0 {
		t.Fatalf("%d runs are stopped since the capacity has shrunk, want none", n)
	}
	h.answerHold(running[2:], []EndedRun{{Number: 3, Run: runOf(2, 1), How: EndDone}})
	if n := len(of[CallStart](h.take())); n != 1 {
		t.Fatalf("%d tasks start in the free part of the smaller capacity, want 1", n)
	}
}

// Entries offered tasks for the former capacity until something else changed.
func TestAChangedCapacityIsToldToEntries(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	before := h.core.Room()
	h.reportCapacity(2, 2000)
	if after := h.core.Room(); before.Equal(&after) {
		t.Error("the room counts as unchanged though the capacity has shrunk")
	}
}

// A waiting task that no longer fits into the server at all held up all others.
func TestATaskLargerThanAShrunkServerIsReturned(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	large := offer(1)
	large.Demand.CPUMilli = 4000
	h.step(large)
	h.take()
	h.reportCapacity(2, 3000)
	h.now += h.core.cfg.BackfillAfter + time.Millisecond
	h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
	h.step(offer(2))
	out := h.take()
	reports := of[Report](out)
	if len(reports) != 1 || reports[0].Run != large.Run || reports[0].Outcome != work.NotStarted {
		t.Errorf("reports %+v, want the large task as not started", reports)
	}
	if n := len(of[CallStart](out)); n != 1 {
		t.Errorf("%d tasks start beside it, want 1", n)
	}
}
