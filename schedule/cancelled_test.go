package schedule

import (
	"fmt"
	"testing"

	"foxtaildock.example/dock/work"
)

// A cancel that overtook its job, or a submission that came again after it, had no effect: the
// job ran (review/1).
func TestAJobThatArrivesAfterItsCancelDoesNotRun(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.ackHeartbeat("a")
	b.step(JobCancelled{ID: "early"})
	b.submit("held", 0, 1)
	b.step(JobCancelled{ID: "held"})
	b.takeActions()
	for _, id := range []string{"early", "held"} {
		b.submit(id, 0, 1)
		out := b.takeActions()
		answers := actionsOf[Answer](out)
		if len(offered(out)) > 0 || len(answers) != 1 || answers[0].Verdict != Dropped {
			t.Errorf("job %s after its cancel: %+v, want it answered as dropped", id, out)
		}
	}
	b.now += CancelKept + 1
	b.ackHeartbeat("a")
	b.takeActions()
	b.submit("early", 0, 1)
	if len(offered(b.takeActions())) != 1 {
		t.Error("a cancel is remembered for longer than CancelKept")
	}
}

// Remembered cancels are bounded; the newest are kept.
func TestRememberedCancelsAreBounded(t *testing.T) {
	b := newTestBench(t)
	for i := range maxCancelled + 100 {
		b.step(JobCancelled{ID: work.JobID(fmt.Sprint(i))})
	}
	c := &b.core.cancelled
	if len(c.at) != maxCancelled || len(c.order) != maxCancelled || !c.has(b.now, work.JobID(fmt.Sprint(maxCancelled+99))) {
		t.Errorf("%d cancels are remembered, want the newest %d", len(c.at), maxCancelled)
	}
}
