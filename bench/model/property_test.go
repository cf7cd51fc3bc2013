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
		if !runRound(t, round, &total) {
			return
		}
	}
	t.Logf("%d steps, %d events, %d starts, outcomes %+v", total.Steps, total.Events, total.Starts, total.Outcomes)
}

// runRound checks the property once and reports whether it held.
func runRound(t *testing.T, round int, total *Result) bool {
	var failed Trace
	var broken *Violation
	seedRound(t, round)
	ok := t.Run(fmt.Sprintf("round-%d", round), func(t *testing.T) {
		t.Cleanup(func() {
			if broken != nil {
				t.Logf("%s written to %s", broken.Rule, saveTrace(t, shrink(failed, broken.Rule), broken.Rule))
			}
		})
		rapid.Check(t, func(t *rapid.T) {
			trace := traces(MutationNone).Draw(t, "trace")
			r := Run(trace)
			total.add(r)
			if r.Broken != nil {
				failed, broken = trace, r.Broken
				t.Fatal(r.Broken)
			}
		})
	})
	return ok
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
