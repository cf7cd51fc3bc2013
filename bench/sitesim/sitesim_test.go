package sitesim

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	seeds     = flag.Int("seeds", 6, "how many random sites to simulate")
	firstSeed = flag.Uint64("first-seed", 1, "the seed of the first random site")
)

// faultKinds are the kinds that random sites draw their faults from.
var faultKinds = []FaultKind{
	KillAgent, KillEntry, FreezeAgent, FreezeEntry, SilentServer, CrashServer, SlowServer, StuckServer,
	FailingServer, CutLink, CutDomain, SplitDomains, SlowEntry, LateOrders, LostAnswers, DrainServer, WithdrawDomain, DisconnectCallers,
}

// randomSite returns a site with faults at random times, several of which often
// overlap.
func randomSite(seed uint64, length time.Duration, faults int) Config {
	r := rand.New(rand.NewPCG(seed, 7))
	cfg := StandardSite(seed, length)
	load := 0.5 + r.Float64()
	cfg.Subset = int(seed%2) * 5 // every other site has entries that use a part of the agents
	cfg.Rate = func(time.Duration) float64 { return load }
	for range faults {
		cfg.Faults = append(cfg.Faults, Fault{
			Kind:      faultKinds[r.IntN(len(faultKinds))],
			At:        time.Duration(r.Int64N(int64(length))),
			For:       200*time.Millisecond + time.Duration(r.Int64N(int64(5*time.Second))),
			Index:     r.IntN(66),
			Magnitude: []float64{0.05, 0.3, 4}[r.IntN(3)],
		})
	}
	return cfg
}

// A backend server that crashes and restarts immediately under the same id executes
// the orders of its agent before the agent knows of the restart. The agent must not
// consider those runs lost.
func TestRunsOnARestartedServerAreNotLost(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		cfg := StandardSite(seed, 6*time.Second)
		for i := range 12 {
			cfg.Faults = append(cfg.Faults, Fault{
				Kind: CrashServer, At: time.Duration(i) * 450 * time.Millisecond, For: 10 * time.Millisecond, Index: i,
			})
		}
		simulate(t, cfg)
	}
}

// An entry that processes messages too late considers its agents dead, while they
// receive its heartbeats and its new connections. No task may run twice at once.
func TestASlowEntryStartsNoTaskTwice(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		cfg := StandardSite(seed, 8*time.Second)
		for i := range 3 {
			cfg.Faults = append(cfg.Faults, Fault{
				Kind: SlowEntry, At: time.Second, For: 5 * time.Second, Index: i, Magnitude: 0.2 + 0.15*float64(i),
			})
		}
		simulate(t, cfg)
	}
}

func simulate(t *testing.T, cfg Config) (*Site, *Result) {
	t.Helper()
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	result := s.Run()
	for _, v := range s.Violations() {
		t.Errorf("seed %d: violated guarantee: %s", cfg.Seed, v)
	}
	return s, result
}

func TestCalmSiteServesEveryJobInTime(t *testing.T) {
	cfg := StandardSite(1, 20*time.Second)
	cfg.Rate = func(time.Duration) float64 { return 0.57 }
	_, r := simulate(t, cfg)
	if r.Unanswered > 0 {
		t.Errorf("%d jobs got no answer, want none", r.Unanswered)
	}
	if r.Benefit < 0.99 {
		t.Errorf("benefit %.3f, want at least 0.99: %+v", r.Benefit, r.Kinds)
	}
}

// Under random faults, no task runs twice at once, no capacity is exceeded, no rejected
// job runs, and no task starts on a draining server or in a withdrawn failure domain.
func TestGuaranteesHoldUnderRandomFaults(t *testing.T) {
	steps := 0
	defer func() { t.Logf("the decision cores processed %d events", steps) }()
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		s, r := simulate(t, randomSite(seed, 12*time.Second, 14))
		steps += s.Steps()
		if t.Failed() {
			return
		}
		if r.Unanswered > 0 {
			t.Errorf("seed %d: %d of %d jobs got no final answer, want none", seed, r.Unanswered, r.Jobs)
		}
	}
}

// While domains can't reach each other, each entry serves with the agents that it
// reaches. No work is started twice for it, and callers are served again at once after it.
func TestSitesWithCutDomainsServeWhatTheyReach(t *testing.T) {
	t.Parallel()
	for _, kind := range []FaultKind{CutDomain, SplitDomains} {
		cfg := StandardSite(3, 12*time.Second)
		cfg.Subset = 5
		cfg.Rate = func(time.Duration) float64 { return 0.4 }
		cfg.Faults = []Fault{
			{Kind: kind, At: 2 * time.Second, For: 3 * time.Second, Index: 1},
			{Kind: kind, At: 7 * time.Second, For: 3 * time.Second, Index: 2},
		}
		_, r := simulate(t, cfg)
		if r.Unanswered > 0 {
			t.Errorf("fault %d: %d jobs got no answer, want none", kind, r.Unanswered)
		}
		// A cut-off domain has a third of the servers for a third of the callers. Only jobs
		// that run across the cut when it begins have to start again.
		if r.Served < 0.97 {
			t.Errorf("fault %d: a share of %.3f of the jobs was served, want 0.97", kind, r.Served)
		}
	}
}
