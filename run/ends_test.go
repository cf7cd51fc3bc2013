package run

import (
	"testing"

	"foxtaildock.example/dock/work"
)

// An end that was numbered far ahead made the server forget all later ends at once, and every
// later run was lost.
func TestEndsAreSeenAgainAfterOneThatWasNumberedFarAhead(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i := range 2 {
		h.step(offer(i))
		h.started(i)
	}
	running := []RunningRun{{Run: runOf(0, 1)}, {Run: runOf(1, 1)}}
	h.answerHold(running, []EndedRun{{Number: 1_000_000, Run: runOf(9, 1), How: EndDone}})
	h.answerHold(running, nil)
	h.take()
	// Task 0 ends with the number 1, which the server doesn't list any more.
	h.answerHold(running[1:], nil)
	out := h.take()
	reports := of[Report](out)
	if len(reports) != 1 || reports[0].Outcome != work.Lost {
		t.Fatalf("reports %+v, want one of a lost run", reports)
	}
	calls := of[CallHold](out)
	if len(calls) == 0 || calls[len(calls)-1].LastSeen > 1 {
		t.Fatalf("lease calls %+v, want one that asks for the ends from 2 on", calls)
	}
	h.answerHold(nil, []EndedRun{{Number: 2, Run: runOf(1, 1), How: EndDone}})
	if reports := of[Report](h.take()); len(reports) != 1 || reports[0].Outcome != work.Done {
		t.Errorf("reports %+v, want one of a run that is done", reports)
	}
}

// The answer to a start that can't be the server's left the task without an outcome.
func TestAStartWithAnOddAnswerIsResolved(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.step(StartAnswered{Run: runOf(0, 1), Reply: Started, Stamp: Stamp{StartUnixMs: 5}})
	h.answerHold(nil, nil)
	h.step(StopAnswered{Run: runOf(0, 1), Answered: true})
	h.answerHold(nil, nil)
	if reports := of[Report](h.take()); len(reports) != 1 || reports[0].Outcome != work.NotStarted {
		t.Errorf("reports %+v, want one of a run that wasn't started", reports)
	}
}
