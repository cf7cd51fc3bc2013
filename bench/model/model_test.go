package model

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Numbers of commands of TestGuarantees, and the seed.
const (
	// shortSteps is the number of commands in CI.
	shortSteps = 24_000
	// longSteps is the number of commands with -long.
	longSteps = 5_000_000
	// fixedSeed makes the result in CI the same on every run.
	fixedSeed = 20261204
)

var firstSeed = flag.Uint64("seed", fixedSeed, "rapid seed of the first round; each later round adds one")

var long = flag.Bool("long", false, "run 5 million commands instead of 24,000")

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "1s")
	os.Exit(m.Run())
}

// seedRound sets the rapid seed of one round of a property and logs it.
func seedRound(t *testing.T, round int) {
	t.Helper()
	seed := *firstSeed + uint64(round)
	t.Logf("round %d has rapid seed %d", round, seed)
	if err := flag.Set("rapid.seed", fmt.Sprint(seed)); err != nil {
		t.Fatal(err)
	}
}

// weightedOps contains each command as often as its weight, for drawing.
var weightedOps = weigh(map[Op]int{
	OpSubmit: 12, OpResubmit: 10, OpReuseKey: 1, OpCancel: 2, OpLookup: 2, OpDisconnect: 2,
	OpKill: 2, OpRestart: 4, OpPause: 3, OpResume: 4, OpCut: 4, OpHeal: 3, OpJoin: 4, OpLeave: 2, OpRemove: 2,
	OpWithdraw: 1, OpRestore: 2, OpOutage: 1, OpMessageFaults: 2, OpBackend: 3, OpWait: 3,
})

// weigh repeats each command by its weight, in a fixed order.
func weigh(weights map[Op]int) []Op {
	order := []Op{
		OpSubmit, OpResubmit, OpWait, OpReuseKey, OpCancel, OpLookup, OpDisconnect, OpResume, OpHeal, OpRestart, OpJoin,
		OpRestore, OpKill, OpPause, OpCut, OpLeave, OpRemove, OpWithdraw, OpOutage, OpMessageFaults, OpBackend,
	}
	var ops []Op
	for _, op := range order {
		for range weights[op] {
			ops = append(ops, op)
		}
	}
	return ops
}

// waits are the possible pauses after a command, in milliseconds.
var waits = []int{0, 1, 5, 20, 60, 100, 300, 600, 1000, 2100, 3000, 6000, 12000}

func commands() *rapid.Generator[Command] {
	return rapid.Custom(func(t *rapid.T) Command {
		return Command{
			Op:   rapid.SampledFrom(weightedOps).Draw(t, "op"),
			A:    rapid.IntRange(0, 39).Draw(t, "a"),
			B:    rapid.IntRange(0, 39).Draw(t, "b"),
			Wait: rapid.SampledFrom(waits).Draw(t, "wait"),
		}
	})
}

// traces generates random traces. Short traces give short counterexamples, long
// ones reach states that need many commands.
func traces(mutation Mutation) *rapid.Generator[Trace] {
	return rapid.Custom(func(t *rapid.T) Trace {
		return Trace{
			Seed:     rapid.Uint64Range(0, 1<<32).Draw(t, "seed"),
			Mutation: mutation,
			Commands: rapid.SliceOfN(commands(), rapid.SampledFrom([]int{1, 20, 60, 120}).Draw(t, "least"), 200).Draw(t, "commands"),
		}
	})
}
