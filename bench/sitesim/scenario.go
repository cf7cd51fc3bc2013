package sitesim

import (
	"time"
)

// Scenario is a load with faults, for experiments.
type Scenario struct {
	Name string
	// Description describes the load and the faults in a few words.
	Description string
	Build       func(seed uint64) Config
}

// burstRate returns a function for Config.Rate with one burst: its value is base, and
// base*burst in [from, to).
func burstRate(base, burst float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return base * burst
		}
		return base
	}
}

// Scenarios returns the scenarios of the experiments.
func Scenarios() []Scenario {
	const length = 20 * time.Second
	site := func(rate func(time.Duration) float64, faults ...Fault) func(uint64) Config {
		return func(seed uint64) Config {
			cfg := StandardSite(seed, length)
			cfg.Rate = rate
			cfg.Faults = faults
			return cfg
		}
	}
	slow := func(index int, x float64) Fault {
		return Fault{Kind: SlowServer, At: 3 * time.Second, For: 7 * time.Second, Index: index, Magnitude: x}
	}
	return []Scenario{
		{"calm", "the load of a quiet day", site(burstRate(0.57, 1.2, 8*time.Second, 12*time.Second))},
		{"busy", "the load of a busy day", site(burstRate(1.0, 1.2, 8*time.Second, 12*time.Second))},
		{"slow", "two slow backend servers under a burst", site(burstRate(1.1, 1.2, 0, 4*time.Second), slow(1, 4.1), slow(5, 4.1))},
		{"late", "orders without an answer under a burst, and two slow backend servers", site(burstRate(1.1, 1.2, 0, 4*time.Second), slow(1, 4.1), slow(5, 4.1),
			Fault{Kind: LateOrders, At: time.Second, For: 8 * time.Second, Magnitude: 0.06})},
		{"brim", "load close to the capacity of the site, where queues come and go", site(burstRate(1.25, 1.15, 2*time.Second, 8*time.Second))},
		{"overload", "one and a half times the capacity of the site for a while", site(burstRate(1.1, 1.8, 5*time.Second, 9*time.Second))},
		{"flood", "three times the usual load for a while", site(burstRate(1.0, 3, 5*time.Second, 9*time.Second))},
		{"dark", "two backend servers stop answering", site(burstRate(1.0, 1, 0, 0),
			Fault{Kind: SilentServer, At: 5 * time.Second, For: 4 * time.Second, Index: 2},
			Fault{Kind: SilentServer, At: 5 * time.Second, For: 4 * time.Second, Index: 6})},
		{"stuck", "tasks hang on one backend server", site(burstRate(1.0, 1, 0, 0),
			Fault{Kind: StuckServer, At: 5 * time.Second, For: 6 * time.Second, Index: 3})},
		{"failing", "one backend server fails all tasks", site(burstRate(1.0, 1, 0, 0),
			Fault{Kind: FailingServer, At: 5 * time.Second, For: 6 * time.Second, Index: 3})},
		{"domain", "a failure domain is withdrawn under full load", site(burstRate(1.0, 1, 0, 0),
			Fault{Kind: WithdrawDomain, At: 5 * time.Second, For: 8 * time.Second, Index: 1})},
		{"frozen", "entries freeze, one after the other", site(burstRate(0.57, 1, 0, 0),
			Fault{Kind: FreezeEntry, At: 4 * time.Second, For: 1500 * time.Millisecond, Index: 0},
			Fault{Kind: FreezeEntry, At: 8 * time.Second, For: 600 * time.Millisecond, Index: 1},
			Fault{Kind: FreezeEntry, At: 12 * time.Second, For: 3 * time.Second, Index: 2})},
		{"agents", "agents are killed one after the other", site(burstRate(1.0, 1, 0, 0),
			Fault{Kind: KillAgent, At: 4 * time.Second, For: time.Second, Index: 0},
			Fault{Kind: KillAgent, At: 6 * time.Second, For: time.Second, Index: 4},
			Fault{Kind: KillAgent, At: 8 * time.Second, For: time.Second, Index: 8})},
		{"competition", "long jobs at 2.3 times their rate while a failure domain or an eighth of the servers is away", Competition},
		{"uneven", "bursts on servers of unequal speed, with stragglers, while servers leave", Uneven},
	}
}

// Beside is what callers get from the baseline policy and from the bound.
type Beside struct{ Baseline, Bound []Outcome }

// RunBeside simulates the scenario with a seed and the baseline policy, and returns its
// outcomes beside those of the bound. Arrivals are those of Run.
func (sc *Scenario) RunBeside(seed uint64) (Beside, error) {
	cfg := sc.Build(seed)
	cfg.Baseline = true
	s, err := New(cfg)
	if err != nil {
		return Beside{}, err
	}
	r := s.Run()
	return Beside{Baseline: r.Outcomes, Bound: s.Bound()}, nil
}

// Run simulates the scenario with a seed. It returns what callers saw and the
// violations of guarantees.
func (sc *Scenario) Run(seed uint64) (*Result, []string, error) {
	s, err := New(sc.Build(seed))
	if err != nil {
		return nil, nil, err
	}
	r := s.Run()
	return r, s.Violations(), nil
}
