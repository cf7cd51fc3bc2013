package model

import (
	"path/filepath"
	"testing"
)

// minViolatingSeeds is the minimum number of seeds of a stored mutation with
// which the run must violate the guarantee, so that the trace stays useful when
// the cores change.
const minViolatingSeeds = 3

// TestMutationsViolateWithManySeeds checks that the violation by a stored
// mutation does not depend on a single seed.
func TestMutationsViolateWithManySeeds(t *testing.T) {
	paths, err := filepath.Glob("testdata/mutation-*.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			stored := load(t, path)
			if n := stored.countViolatingSeeds(); n < minViolatingSeeds {
				t.Fatalf("only %d of %d seeds violate the guarantee", n, stored.Seeds)
			}
		})
	}
}

// countViolatingSeeds counts the seeds that violate the expected guarantee, up
// to minViolatingSeeds.
func (s *Stored) countViolatingSeeds() int {
	n := 0
	trace := s.Trace
	for i := range uint64(s.Seeds) {
		trace.Seed = s.Trace.Seed + i
		if r := Run(trace); r.Violation != nil && r.Violation.Guarantee == s.Violates {
			n++
		}
		if n == minViolatingSeeds {
			break
		}
	}
	return n
}
