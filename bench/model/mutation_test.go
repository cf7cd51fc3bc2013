package model

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// searchRuns is the maximum number of runs in the search for a violation.
const searchRuns = 4000

// mutationSeeds is the number of seeds with which a stored mutation is run.
const mutationSeeds = 40

// unmutatedSeeds is the number of seeds with which the same commands are run
// without the mutation.
const unmutatedSeeds = 8

var search = flag.Bool("search", false, "search for a run for every mutation that has none in testdata, and store it")

// TestSearchMutations searches for runs in which a mutation violates a
// guarantee. CI replays the stored runs; see TestReplay.
func TestSearchMutations(t *testing.T) {
	if !*search {
		t.Skip("only with -search")
	}
	for i, m := range Mutations() {
		t.Run(string(m), func(t *testing.T) { searchMutation(t, m, uint64(i)) })
	}
}

func searchMutation(t *testing.T, m Mutation, seed uint64) {
	if _, err := os.Stat(mutationPath(m)); err == nil {
		t.Skip("a run is stored already")
	}
	gen := traces(m)
	for i := range searchRuns {
		trace := gen.Example(int(seed)*searchRuns + i)
		r := Run(trace)
		if r.Violation == nil || r.Violation.Guarantee != expectedViolation(m) {
			continue
		}
		trace = shrink(trace, r.Violation.Guarantee)
		t.Logf("run %d: %v; shrunk to %d commands", i, r.Violation, len(trace.Commands))
		storeMutation(t, trace, r.Violation.Guarantee)
		return
	}
	t.Fatalf("none of %d runs violates a guarantee with mutation %s", searchRuns, m)
}

func mutationPath(m Mutation) string { return fmt.Sprintf("testdata/mutation-%s.jsonl", m) }

// expectedViolation returns the guarantee that a mutation must violate.
func expectedViolation(m Mutation) Guarantee {
	switch m {
	case MutationPermitNeverExpires, MutationSkipPermitCheck:
		return GuaranteeWithdrawnDomain
	case MutationMismatchAnswers:
		return GuaranteeCompleteAnswer
	case MutationNoTicks:
		return GuaranteeTerminates
	}
	return GuaranteeStartOnce
}

func storeMutation(t *testing.T, trace Trace, guarantee Guarantee) {
	t.Helper()
	about := fmt.Sprintf("mutation %s violates the guarantee %s", trace.Mutation, guarantee)
	store(t, fmt.Sprintf("mutation-%s.jsonl", trace.Mutation), Stored{Trace: trace, Seeds: mutationSeeds, Violates: guarantee, About: about})
}

// TestMutationsAreStored checks that every mutation has a stored run with the
// expected violation, and that the same run without the mutation violates no
// guarantee.
func TestMutationsAreStored(t *testing.T) {
	for _, m := range Mutations() {
		t.Run(string(m), func(t *testing.T) {
			stored := load(t, mutationPath(m))
			if stored.Violates != expectedViolation(m) {
				t.Fatalf("the stored run violates %q, want %q", stored.Violates, expectedViolation(m))
			}
			stored.Trace.Mutation = MutationNone
			stored.Seeds = unmutatedSeeds
			if violation := stored.Replay(nil); violation != nil {
				t.Fatalf("the run without the mutation violates a guarantee: %v", violation)
			}
		})
	}
}
