package model

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// searchRuns bounds the search for a run that shows a broken rule.
const searchRuns = 4000

// mutationSeeds is the number of seeds with which a stored run is tried.
const mutationSeeds = 40

// soundSeeds is the number of seeds with which it is run without the mutation.
const soundSeeds = 8

var search = flag.Bool("search", false, "search a run for every mutation that has none in testdata, and store it")

// TestSearchMutations looks for runs in which a broken rule breaks a promise.
// CI replays what it found; see TestReplay.
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
		t.Skip("has a run")
	}
	gen := traces(m)
	for i := range searchRuns {
		trace := gen.Example(int(seed)*searchRuns + i)
		r := Run(trace)
		if r.Broken == nil || r.Broken.Rule != expected(m) {
			continue
		}
		trace = shrink(trace, r.Broken.Rule)
		t.Logf("run %d: %v; shrunk to %d commands", i, r.Broken, len(trace.Commands))
		storeMutation(t, trace, r.Broken.Rule)
		return
	}
	t.Fatalf("no run out of %d shows mutation %s", searchRuns, m)
}

func mutationPath(m Mutation) string { return fmt.Sprintf("testdata/mutation-%s.jsonl", m) }

// expected is the promise that a mutation is to break.
func expected(m Mutation) Rule {
	switch m {
	case MutationEndlessPermit, MutationOneCheck:
		return RuleDomainOut
	case MutationCrossAnswers:
		return RuleWhole
	case MutationNoTicks:
		return RuleSettles
	}
	return RuleStartOnce
}

func storeMutation(t *testing.T, trace Trace, rule Rule) {
	t.Helper()
	about := fmt.Sprintf("with mutation %s the promise %s is broken", trace.Mutation, rule)
	store(t, fmt.Sprintf("mutation-%s.jsonl", trace.Mutation), Stored{Trace: trace, Seeds: mutationSeeds, Breaks: rule, About: about})
}

// TestMutationsAreStored checks that every mutation has a stored run that shows
// it, and that the same run without the mutation keeps every promise.
func TestMutationsAreStored(t *testing.T) {
	for _, m := range Mutations() {
		t.Run(string(m), func(t *testing.T) {
			stored := load(t, mutationPath(m))
			if stored.Breaks != expected(m) {
				t.Fatalf("the stored run breaks %q, not %q", stored.Breaks, expected(m))
			}
			stored.Trace.Mutation = MutationNone
			stored.Seeds = soundSeeds
			if broken := stored.Replay(nil); broken != nil {
				t.Fatalf("the run without the mutation: %v", broken)
			}
		})
	}
}
