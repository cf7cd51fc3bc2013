package model

import (
	"bytes"
	"testing"
)

// repeatedRuns is the number of traces that are run twice.
const repeatedRuns = 10

// TestRunsRepeat checks that a run depends only on its trace.
func TestRunsRepeat(t *testing.T) {
	gen := traces(MutationNone)
	for i := range repeatedRuns {
		trace := gen.Example(i)
		var first, second bytes.Buffer
		a, b := RunLogged(trace, &first), RunLogged(trace, &second)
		if a.Events != b.Events || a.Starts != b.Starts || a.Outcomes != b.Outcomes || first.Len() != second.Len() {
			t.Fatalf("seed %d: two runs of one trace differ: %+v, then %+v", trace.Seed, a, b)
		}
	}
}
