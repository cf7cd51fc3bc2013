package sitesim

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	seeds     = flag.Int("seeds", 6, "how many random sites to play")
	firstSeed = flag.Uint64("first-seed", 1, "the first of them")
)

// kindsOfFault are those that random sites draw from.
var kindsOfFault = []FaultKind{
	KillAgent, KillEntry, FreezeAgent, FreezeEntry, DarkServer, CrashServer, SlowServer, StuckServer,
	FailingServer, CutLink, SlowEntry, LateOrders, LostAnswers, DrainServer, WithdrawDomain, LeaveCallers,
}

// randomSite is a site with faults at random times, often several at once.
func randomSite(seed uint64, length time.Duration, faults int) Config {
	r := rand.New(rand.NewPCG(seed, 7))
	cfg := StandardSite(seed, length)
	load := 0.5 + r.Float64()
	cfg.Rate = func(time.Duration) float64 { return load }
	for range faults {
		cfg.Faults = append(cfg.Faults, Fault{
			Kind:  kindsOfFault[r.IntN(len(kindsOfFault))],
			At:    time.Duration(r.Int64N(int64(length))),
			For:   200*time.Millisecond + time.Duration(r.Int64N(int64(5*time.Second))),
			Index: r.IntN(66),
			X:     []float64{0.05, 0.3, 4}[r.IntN(3)],
		})
	}
	return cfg
}

// A backend server that crashes and is back at once, under the same id, runs what
// its agent orders before the agent knows: those runs aren't lost.
func TestRunsOnARebornServerAreNotLost(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		cfg := StandardSite(seed, 6*time.Second)
		for i := range 12 {
			cfg.Faults = append(cfg.Faults, Fault{
				Kind: CrashServer, At: time.Duration(i) * 450 * time.Millisecond, For: 10 * time.Millisecond, Index: i,
			})
		}
		play(t, cfg)
	}
}

// An entry that takes messages too late believes its agents gone, while they hear
// its heartbeats and its attempts to reach them again.
func TestASlowEntryStartsNoTaskTwice(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		cfg := StandardSite(seed, 8*time.Second)
		for i := range 3 {
			cfg.Faults = append(cfg.Faults, Fault{
				Kind: SlowEntry, At: time.Second, For: 5 * time.Second, Index: i, X: 0.2 + 0.15*float64(i),
			})
		}
		play(t, cfg)
	}
}

func play(t *testing.T, cfg Config) (*Site, *Result) {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	result := s.Run()
	for _, b := range s.Broken() {
		t.Errorf("seed %d: broken promise: %s", cfg.Seed, b)
	}
	return s, result
}

func TestCalmSiteServesEveryJobInTime(t *testing.T) {
	cfg := StandardSite(1, 20*time.Second)
	cfg.Rate = func(time.Duration) float64 { return 0.57 }
	_, r := play(t, cfg)
	if r.Unanswered > 0 {
		t.Errorf("%d jobs got no answer", r.Unanswered)
	}
	if r.Benefit < 0.99 {
		t.Errorf("benefit %.3f, want 0.99: %+v", r.Benefit, r.Kinds)
	}
}

// Whatever goes wrong, no task runs twice at once, no capacity is overrun, what was
// rejected never runs, and nothing starts where it mustn't.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	steps := 0
	defer func() { t.Logf("the cores took %d events", steps) }()
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		s, r := play(t, randomSite(seed, 12*time.Second, 14))
		steps += s.Steps()
		if t.Failed() {
			return
		}
		if r.Unanswered > 0 {
			t.Errorf("seed %d: %d of %d jobs got no final answer", seed, r.Unanswered, r.Jobs)
		}
	}
}
