package model

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

// TestRunsRepeat checks that a run depends only on its trace.
func TestRunsRepeat(t *testing.T) {
	seedRound(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		trace := traces(MutationNone).Draw(t, "trace")
		var first, second bytes.Buffer
		a, b := RunLogged(trace, &first), RunLogged(trace, &second)
		if a.Events != b.Events || a.Starts != b.Starts || a.Outcomes != b.Outcomes {
			t.Fatalf("first run %+v, second run %+v", a, b)
		}
	})
}
