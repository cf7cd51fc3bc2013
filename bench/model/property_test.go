package model

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestGuarantees runs random traces until the wanted number of commands is
// reached and checks all guarantees.
func TestGuarantees(t *testing.T) {
	limit := shortSteps
	if *long {
		limit = longSteps
	}
	var total Result
	for round := 0; total.Steps < limit; round++ {
		if !checkRound(t, round, traces(MutationNone), &total) {
			return
		}
		t.Logf("%d commands so far", total.Steps)
	}
	t.Logf("%d commands, %d events, %d starts, outcomes %+v", total.Steps, total.Events, total.Starts, total.Outcomes)
}

// checkRound runs random traces, stores a trace that violates a guarantee, and
// returns true if there was none.
func checkRound(t *testing.T, round int, gen *rapid.Generator[Trace], total *Result) bool {
	var failed Trace
	var violation *Violation
	seedRound(t, round)
	return t.Run(fmt.Sprintf("round-%d", round), func(t *testing.T) {
		t.Cleanup(func() {
			if violation != nil {
				t.Logf("trace that violates %s written to %s", violation.Guarantee, saveTrace(t, shrink(failed, violation.Guarantee), violation.Guarantee))
			}
		})
		rapid.Check(t, func(t *rapid.T) {
			trace := gen.Draw(t, "trace")
			r := Run(trace)
			total.add(r)
			if r.Violation != nil {
				failed, violation = trace, r.Violation
				t.Fatal(r.Violation)
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
