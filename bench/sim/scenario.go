package sim

import (
	"slices"
	"sync"
	"time"
)

// Scenario is a named workload with its faults.
type Scenario struct {
	Name string
	Load float64
	// change adapts the workload to the scenario; nil means no change.
	change func(Site, *Workload)
	// entries is the number of entries that admit jobs; with none every job is
	// sent to its home at once.
	entries int
}

// Settings of the faults. The times are shares of the length of the trace.
const (
	faultFrom  = 0.2
	faultUntil = 0.7
	// faultyVM is the VM that has the fault.
	faultyVM = 4
	// stragglerFactor multiplies the run times of tasks on a straggler.
	stragglerFactor = 10
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "load-50", Load: 0.5},
		{Name: "load-80", Load: 0.8},
		{Name: "load-95", Load: 0.95},
		{Name: "bursts", Load: 0.6, change: bursts},
		{Name: "cancel-wave", Load: 0.8, change: cancelWave},
		{Name: "straggler", Load: 0.7, change: fault(FaultSlow, oneVM)},
		{Name: "failing", Load: 0.7, change: fault(FaultFailing, oneVM)},
		{Name: "all-failing", Load: 0.7, change: fault(FaultFailing, allVMs)},
		{Name: "overload", Load: 0.8, change: overload, entries: 2},
		{Name: "flood", Load: 0.3, change: flood, entries: 2},
		{Name: "domain-out", Load: 0.5, change: fault(FaultOutOfService, oneDomain)},
	}
}

// FindScenario returns the scenario with the given name.
func FindScenario(name string) (Scenario, bool) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, false
	}
	return all[i], true
}

func bursts(_ Site, w *Workload) { w.BurstFactor = 2 }

// overload offers three times the capacity in the middle fifth, with a short
// deadline.
func overload(_ Site, w *Workload) {
	w.BurstFactor = 3 / 0.8
	w.Deadline = 10 * time.Second
	w.Teams = 950
}

// flood makes one client account offer three times the capacity, in addition to
// the load of the others.
func flood(_ Site, w *Workload) {
	w.Flood = 3
	w.Deadline = 10 * time.Second
	w.Teams = 50
}

func cancelWave(_ Site, w *Workload) { w.CancelShare = 0.5 }

func oneVM(Site) []int { return []int{faultyVM} }

func oneDomain(s Site) []int { return s.DomainVMs(0) }

func allVMs(s Site) []int {
	var vms []int
	for i := range s.VMs {
		vms = append(vms, i)
	}
	return vms
}

func fault(t FaultKind, vms func(Site) []int) func(Site, *Workload) {
	return func(s Site, w *Workload) {
		w.Faults = []Fault{{
			At:      seconds(faultFrom * w.Length.Seconds()),
			Until:   seconds(faultUntil * w.Length.Seconds()),
			Trouble: t,
			Workers: vms(s),
			Factor:  stragglerFactor,
		}}
	}
}

// Trace generates the scenario's trace.
func (s Scenario) Trace(site Site, seed uint64, length time.Duration) Trace {
	w := Workload{Seed: seed, Length: length, Load: s.Load, Teams: 10, Deadline: 5 * time.Minute}
	if s.change != nil {
		s.change(site, &w)
	}
	return Generate(site, w)
}

// Run runs the scenario once.
func (s Scenario) Run(site Site, policy Policy, seed uint64, length time.Duration) Report {
	return Run(Config{
		Site:    site,
		Policy:  policy,
		Seed:    seed,
		Trace:   s.Trace(site, seed, length),
		Entries: s.entries,
		WarmUp:  length / 10,
	})
}

// RunSeeds runs the scenario with the seeds 1 to n, four at a time, and returns
// the reports in the order of the seeds.
func (s Scenario) RunSeeds(site Site, policy Policy, n int, length time.Duration) []Report {
	const parallel = 4
	reports := make([]Report, n)
	slots := make(chan struct{}, parallel)
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			slots <- struct{}{}
			reports[i] = s.Run(site, policy, uint64(i+1), length)
			<-slots
		})
	}
	running.Wait()
	return reports
}

// Spread holds the mean, the lowest and the highest value of a figure over
// several seeds.
type Spread struct {
	Mean, Low, High float64
}

// SpreadOf returns the spread of one figure over the reports.
func SpreadOf(reports []Report, figure func(*Report) float64) Spread {
	var s Spread
	for i := range reports {
		v := figure(&reports[i])
		if i == 0 || v < s.Low {
			s.Low = v
		}
		if i == 0 || v > s.High {
			s.High = v
		}
		s.Mean += v / float64(len(reports))
	}
	return s
}
