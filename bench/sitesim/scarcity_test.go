package sitesim

import (
	"math"
	"slices"
	"sync"
	"testing"
	"time"
)

// Targets of docs/design/scarcity.md, part 5.
const (
	worstWindowWorth = 0.75  // share of the worth that is earned in the worst 2 s
	entrySpread      = 0.02  // between the shares in time of the best and the least served entry
	sizeSpread       = 0.10  // between the shares in time of a kind and of its largest tenth
	refusedFreeWorth = 0.002 // share of the worth that is refused while a reachable server is free
)

// scarcitySeeds is the number of seeds. The shares of entries and sizes are those of all
// seeds together; with fewer, chance alone puts the shares of two entries 0.02 apart.
const scarcitySeeds = 4

// scarcityRuns are the outcomes of a scenario, by seed.
type scarcityRuns struct {
	product, baseline [][]Outcome
	violations        []string
	unanswered        int
}

var (
	competitionRuns = sync.OnceValues(func() (*scarcityRuns, error) { return runScarcity(Competition) })
	unevenRuns      = sync.OnceValues(func() (*scarcityRuns, error) { return runScarcity(Uneven) })
)

func runScarcity(build func(uint64) Config) (*scarcityRuns, error) {
	r := &scarcityRuns{}
	for seed := uint64(1); seed <= scarcitySeeds; seed++ {
		for _, simple := range []bool{false, true} {
			cfg := build(seed)
			cfg.Baseline = simple
			s, err := New(cfg)
			if err != nil {
				return nil, err
			}
			result := s.Run()
			if simple {
				r.baseline = append(r.baseline, result.Outcomes)
				continue
			}
			r.product = append(r.product, result.Outcomes)
			r.violations = append(r.violations, s.Violations()...)
			r.unanswered += result.Unanswered
		}
	}
	return r, nil
}

func runsOf(t *testing.T, get func() (*scarcityRuns, error)) *scarcityRuns {
	t.Helper()
	t.Parallel()
	r, err := get()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// worstWindow returns the lowest benefit of a window of 2 s of any seed, its seed and its
// begin. Windows begin every half second.
func worstWindow(bySeed [][]Outcome) (benefit float64, seed int, from time.Duration) {
	benefit = math.Inf(1)
	for i, list := range bySeed {
		if b, at := worstWindowOf(list); b < benefit {
			benefit, seed, from = b, i+1, at
		}
	}
	return benefit, seed, from
}

func worstWindowOf(list []Outcome) (benefit float64, from time.Duration) {
	const step = 500 * time.Millisecond
	benefit = math.Inf(1)
	for at := time.Duration(0); at <= scarcityLength-4*step; at += step {
		var sum Tally
		for i := range list {
			if list[i].At >= at && list[i].At < at+4*step {
				sum.Add(&list[i])
			}
		}
		if b := sum.Benefit(); b < benefit {
			benefit, from = b, at
		}
	}
	return benefit, from
}

// keepsWorth guards against a policy that lets queues make nearly all jobs late when
// capacity is short. The baseline policy does that, so it must miss the target.
func keepsWorth(t *testing.T, get func() (*scarcityRuns, error)) {
	r := runsOf(t, get)
	if got, seed, from := worstWindow(r.product); got < worstWindowWorth {
		t.Errorf("seed %d: benefit %.3f in the 2 s from %v, want %.2f", seed, got, from, worstWindowWorth)
	}
	if got, _, _ := worstWindow(r.baseline); got >= worstWindowWorth {
		t.Errorf("the baseline policy reaches benefit %.3f in its worst window, want it below the target; this load does not distinguish the two policies", got)
	}
}

func TestCompetitionKeepsItsWorthInTheWorstWindow(t *testing.T) { keepsWorth(t, competitionRuns) }

func TestUnevenKeepsItsWorthInTheWorstWindow(t *testing.T) { keepsWorth(t, unevenRuns) }

// servesEntriesAlike guards against entries that serve their callers worse than others
// since they are busier, or see less of the fleet.
func servesEntriesAlike(t *testing.T, get func() (*scarcityRuns, error)) {
	r := runsOf(t, get)
	least, best := 1.0, 0.0
	for _, tally := range TallyBy(slices.Concat(r.product...), func(o *Outcome) int { return o.Entry }) {
		least, best = min(least, tally.Share(InTime)), max(best, tally.Share(InTime))
	}
	if best-least > entrySpread {
		t.Errorf("between %.3f and %.3f of the jobs of an entry were in time, want a difference of at most %.2f", least, best, entrySpread)
	}
}

func TestCompetitionServesEntriesAlike(t *testing.T) { servesEntriesAlike(t, competitionRuns) }

func TestUnevenServesEntriesAlike(t *testing.T) { servesEntriesAlike(t, unevenRuns) }

// servesLargeJobs guards against a policy that puts off the same large jobs again and
// again, since that makes room for most others.
func servesLargeJobs(t *testing.T, get func() (*scarcityRuns, error)) {
	r := runsOf(t, get)
	kinds := TallyBy(slices.Concat(r.product...), func(o *Outcome) string { return o.Kind })
	type class struct {
		kind string
		size int
	}
	classes := TallyBy(slices.Concat(r.product...), func(o *Outcome) class { return class{o.Kind, o.Class} })
	for _, name := range sortedKeys(kinds) {
		all, largest := kinds[name].Share(InTime), classes[class{name, 0}].Share(InTime)
		if all-largest > sizeSpread {
			t.Errorf("%s: %.3f of the largest tenth were in time, %.3f of all, want a difference of at most %.2f", name, largest, all, sizeSpread)
		}
	}
}

func TestCompetitionServesLargeJobs(t *testing.T) { servesLargeJobs(t, competitionRuns) }

func TestUnevenServesLargeJobs(t *testing.T) { servesLargeJobs(t, unevenRuns) }

// refusesNoneWhileFree guards against entries that refuse jobs by a guess of their share
// of the capacity, while servers that they reach are free.
func refusesNoneWhileFree(t *testing.T, get func() (*scarcityRuns, error)) {
	r := runsOf(t, get)
	refused, all, count := 0.0, 0.0, 0
	for _, o := range slices.Concat(r.product...) {
		all += o.Worth
		if o.RefusedFree {
			refused += o.Worth
			count++
		}
	}
	if refused/all > refusedFreeWorth {
		t.Errorf("%d jobs with a share of %.4f of the worth were refused while a reachable server was free, want at most %.3f", count, refused/all, refusedFreeWorth)
	}
}

func TestCompetitionRefusesNoneWhileFree(t *testing.T) { refusesNoneWhileFree(t, competitionRuns) }

func TestUnevenRefusesNoneWhileFree(t *testing.T) { refusesNoneWhileFree(t, unevenRuns) }

// The guarantees come before all targets, and every job gets an answer.
func TestScarceSitesKeepTheGuarantees(t *testing.T) {
	t.Parallel()
	for name, get := range map[string]func() (*scarcityRuns, error){"competition": competitionRuns, "uneven": unevenRuns} {
		r, err := get()
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.violations {
			t.Errorf("%s: violated guarantee: %s", name, v)
		}
		if r.unanswered > 0 {
			t.Errorf("%s: %d jobs got no answer, want none", name, r.unanswered)
		}
	}
}
