package model

import (
	"path/filepath"
	"testing"
)

// minHits is the least number of seeds out of those of a stored mutation that
// have to break the promise, so that the trace outlives changes of the cores.
const minHits = 3

// TestMutationsHitOften checks that no stored mutation rests on a lucky seed.
func TestMutationsHitOften(t *testing.T) {
	paths, err := filepath.Glob("testdata/mutation-*.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			stored := load(t, path)
			if n := stored.hits(); n < minHits {
				t.Fatalf("%d of %d seeds break the promise", n, stored.Seeds)
			}
		})
	}
}

// hits counts the seeds that break the stated promise, up to minHits.
func (s *Stored) hits() int {
	n := 0
	trace := s.Trace
	for i := range uint64(s.Seeds) {
		trace.Seed = s.Trace.Seed + i
		if r := Run(trace); r.Broken != nil && r.Broken.Rule == s.Breaks {
			n++
		}
		if n == minHits {
			break
		}
	}
	return n
}
