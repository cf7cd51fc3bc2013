package sitesim

import (
	"time"

	"foxtaildock.example/dock/work"
)

// scarcityLength is how long jobs arrive in the scenarios of scarce capacity.
const scarcityLength = 20 * time.Second

// scarceSite returns a site whose servers have slots of the given demand. Every third
// server has half as many cores again. Size and speed are spread evenly over the failure
// domains, so that a lost domain takes a third of each.
func scarceSite(seed uint64, entries, agents int, cores int64, demand work.Demand) Config {
	cfg := StandardSite(seed, scarcityLength)
	cfg.Entries, cfg.Agents = entries, agents
	cfg.Capacity, cfg.Speed = nil, nil
	for i := range agents {
		c := cores
		if (i+i/3)%3 == 2 {
			c += cores / 2
		}
		cfg.Capacity = append(cfg.Capacity, work.Demand{CPUMilli: 1000 * c, MemoryMB: 65536})
	}
	for k := range cfg.Kinds {
		cfg.Kinds[k].Demand = demand
		cfg.Kinds[k].MaxWidth = 4 * cfg.Kinds[k].Width
	}
	return cfg
}

// setKinds sets rates and run times of the kinds wide, long and small. Callers wait for
// at least timeout times the mean run time of a task.
func setKinds(cfg *Config, rates [3]float64, times [3]time.Duration, timeout time.Duration) {
	for k := range cfg.Kinds {
		kind := &cfg.Kinds[k]
		kind.PerSecond, kind.Work = rates[k], times[k]
		kind.CallerTimeout = 1500*time.Millisecond + timeout*times[k]
	}
}

// Competition returns load A of docs/design/scarcity.md at a third of its size: long jobs
// of the lowest priority compete with urgent ones for capacity. Their rate rises twice,
// first while a failure domain is withdrawn, then while an eighth of the servers leaves.
func Competition(seed uint64) Config {
	cfg := scarceSite(seed, 4, 22, 64, work.Demand{CPUMilli: 6200, MemoryMB: 64})
	for i := range cfg.Agents {
		cfg.Speed = append(cfg.Speed, [3]float64{1 / 0.8, 1, 1 / 1.25}[(i+2*(i/3))%3])
	}
	setKinds(&cfg, [3]float64{206. / 3, 37.5 / 3, 200}, [3]time.Duration{60 * time.Millisecond, 900 * time.Millisecond, 200 * time.Millisecond}, 5)
	for i, share := range []float64{0.4, 0.3, 0.2, 0.1} {
		cfg.Locations = append(cfg.Locations, Location{Share: share, Wave: 0.15, Period: 11 * time.Second, Phase: time.Duration(i) * 2 * time.Second})
	}
	first, second := burstRate(1, 2.3, 3*time.Second, 8500*time.Millisecond), burstRate(1, 2.3, 12500*time.Millisecond, 18*time.Second)
	cfg.Kinds[1].Rate = func(at time.Duration) float64 { return first(at) * second(at) }
	cfg.Faults = []Fault{{Kind: WithdrawDomain, At: 3 * time.Second, For: 5500 * time.Millisecond, Index: 1}}
	for i := range 3 {
		cfg.Faults = append(cfg.Faults, Fault{Kind: LeaveServer, At: 12 * time.Second, For: 1500 * time.Millisecond, Index: 5 + 7*i, Magnitude: 4.5})
	}
	return cfg
}

// Uneven returns load B of docs/design/scarcity.md at a third of its size: a quarter of
// the servers takes 2.2 times as long as the others, and 3 of 100 tasks are stragglers.
// All kinds come in waves, and in two bursts of 4 s each, one kind above the others.
// Servers leave during the second burst.
func Uneven(seed uint64) Config {
	cfg := scarceSite(seed, 5, 25, 16, work.Demand{CPUMilli: 1700, MemoryMB: 64})
	cfg.Speed = []float64{1 / 1.2, 1 / 1.2, 1 / 1.2, 1 / 0.55}
	cfg.StragglerShare, cfg.StragglerFactor = 0.03, 7
	// A straggler on a slow server takes 12.7 times the usual time.
	setKinds(&cfg, [3]float64{181. / 3, 11, 529. / 3}, [3]time.Duration{51 * time.Millisecond, 760 * time.Millisecond, 170 * time.Millisecond}, 14)
	for i, share := range []float64{0.3, 0.25, 0.2, 0.15, 0.1} {
		cfg.Locations = append(cfg.Locations, Location{Share: share, Wave: 0.55, Period: 15 * time.Second, Phase: time.Duration(i) * 300 * time.Millisecond})
	}
	first, second := burstRate(1, 1.3, 2*time.Second, 6*time.Second), burstRate(1, 1.3, 14*time.Second, 18*time.Second)
	cfg.Rate = func(at time.Duration) float64 { return first(at) * second(at) }
	cfg.Kinds[1].Rate = burstRate(1, 1.7/1.3, 2*time.Second, 6*time.Second)
	cfg.Kinds[0].Rate = burstRate(1, 1.7/1.3, 14*time.Second, 18*time.Second)
	for i := range 2 {
		cfg.Faults = append(cfg.Faults, Fault{Kind: LeaveServer, At: 14 * time.Second, For: 1500 * time.Millisecond, Index: 4 + 9*i, Magnitude: 3})
	}
	return cfg
}
