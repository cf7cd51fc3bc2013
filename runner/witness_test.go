package runner

import (
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// newSession attaches an entry without a connection.
func newSession(r *Runner, entry ident.Incarnation) *entrySession {
	s := &entrySession{entry: entry, hello: &linkpb.Hello{Entry: string(entry)}, closed: make(chan struct{})}
	r.attach(s)
	return s
}

// crashedResults returns the results for the entry that are about another one's runs.
func crashedResults(s *entrySession) (n int) {
	for _, kept := range s.results.Unacknowledged() {
		if link.CrashedElsewhere(link.ResultMessage(kept)) {
			n++
		}
	}
	return n
}

// Only the entry that had started a run learned that its backend server went down with it.
// When that entry was killed, its job was started again by one that knew nothing.
func TestEveryEntryLearnsWhichRunsWentDownWithTheServer(t *testing.T) {
	r := New(Config{Self: "agent", Log: telemetry.Discard()})
	owner, other := newSession(r, "owner"), newSession(r, "other")
	lost := run.Report{Entry: "owner", Run: work.Run{Task: work.Task{Job: "job"}, ID: 1}, Outcome: work.Lost, Reason: "backend server refuses connections"}
	r.report(lost)
	r.report(run.Report{Entry: "owner", Run: work.Run{Task: work.Task{Job: "cut off"}, ID: 1}, Outcome: work.Lost, Reason: "lease lapsed"})
	if n := crashedResults(owner); n != 0 || len(owner.results.Unacknowledged()) != 2 {
		t.Errorf("the run's own entry has %d results about runs of others, want 0, and 2 of its own", n)
	}
	if n := crashedResults(other); n != 1 {
		t.Errorf("another entry has %d results about the run, want 1", n)
	}
	if n := crashedResults(newSession(r, "later")); n != 1 {
		t.Errorf("an entry that attaches later has %d results about the run, want 1", n)
	}
	if n := crashedResults(newSession(r, "other")); n != 1 {
		t.Errorf("an entry that attaches again has %d results about the run, want 1", n)
	}
	if _, err := link.OutcomeOf(link.ResultMessage(other.results.Unacknowledged()[0]).GetOutcome()); err == nil {
		t.Error("an entry of an older version would take the result for the end of its own run")
	}
}

func TestAnAgentForgetsTheRunsThatWentDown(t *testing.T) {
	r := New(Config{Self: "agent", Log: telemetry.Discard()})
	for i := range 3 * maxWitnessed {
		r.tellOtherEntries(run.Report{}, time.Duration(i))
	}
	if len(r.witnessed) > maxWitnessed {
		t.Errorf("%d runs are kept, want at most %d", len(r.witnessed), maxWitnessed)
	}
	if r.forgetWitnessed(2 * witnessPeriod); len(r.witnessed) != 0 {
		t.Errorf("%d runs are kept after %v, want none", len(r.witnessed), 2*witnessPeriod)
	}
}
