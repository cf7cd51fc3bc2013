package model

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestPromises runs the cores against each other until enough steps are done.
func TestPromises(t *testing.T) {
	limit := shortSteps
	if *long {
		limit = longSteps
	}
	var total Result
	for round := 0; total.Steps < limit; round++ {
		if !checkRound(t, round, traces(MutationNone), &total) {
			return
		}
		t.Logf("%d steps so far", total.Steps)
	}
	t.Logf("%d steps, %d events, %d starts, outcomes %+v", total.Steps, total.Events, total.Starts, total.Outcomes)
}

// checkRound runs drawn traces, stores one that breaks a promise, and reports
// whether none did.
func checkRound(t *testing.T, round int, gen *rapid.Generator[Trace], total *Result) bool {
	var failed Trace
	var broken *Violation
	seedRound(t, round)
	return t.Run(fmt.Sprintf("round-%d", round), func(t *testing.T) {
		t.Cleanup(func() {
			if broken != nil {
				t.Logf("%s written to %s", broken.Rule, saveTrace(t, shrink(failed, broken.Rule), broken.Rule))
			}
		})
		rapid.Check(t, func(t *rapid.T) {
			trace := gen.Draw(t, "trace")
			r := Run(trace)
			total.add(r)
			if r.Broken != nil {
				failed, broken = trace, r.Broken
				t.Fatal(r.Broken)
			}
		})
	})
}

func (r *Result) add(o Result) {
	r.Steps += o.Steps
	r.Events += o.Events
	r.Starts += o.Starts
	r.Outcomes.Complete += o.Outcomes.Complete
	r.Outcomes.Failed += o.Outcomes.Failed
	r.Outcomes.Refused += o.Outcomes.Refused
	r.Outcomes.Lost += o.Outcomes.Lost
}
