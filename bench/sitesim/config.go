// Package sitesim is a model of a whole site in simulated time: entries, agents,
// backend servers, the network between them, and callers. It runs the decision
// cores of the product, schedule and run, behind the rules of their sessions, does
// harm to everything around them, and checks what the system promises.
//
// The same model serves two ends: tests that look for a broken promise under
// random faults, and experiments that replay a load and tell how callers fared.
package sitesim

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/work"
)

// Config describes a site and its load.
type Config struct {
	Seed    uint64
	Entries int
	Agents  int
	Domains int
	// Capacity of a backend server, by agent, repeated as needed.
	Capacity []work.Demand
	// Speed is by how much tasks take longer, by agent, repeated as needed.
	Speed []float64
	// Delay is the one-way delay between VMs.
	Delay time.Duration
	// Resend is after how long a job whose answer was lost comes again.
	Resend   time.Duration
	LeaseMax time.Duration
	StopTime time.Duration
	Kinds    []Kind
	// Length is for how long jobs arrive.
	Length time.Duration
	// Rate multiplies the arrivals, by time.
	Rate   func(at time.Duration) float64
	Faults []Fault
	// Baseline makes entries decide by the simple policy that experiments compare with.
	Baseline bool
}

// Kind is a kind of job.
type Kind struct {
	Route operator.Route
	// PerSecond is how many arrive.
	PerSecond float64
	Width     int
	Work      time.Duration // mean of one task
	Spread    float64       // of the work, as the sigma of its logarithm
	Demand    work.Demand
	// EstimateOff is by how much estimates are off, either way.
	EstimateOff float64
	FailShare   float64
	Worth       float64
	LateWorth   float64
	Patience    time.Duration
}

// FaultKind is what goes wrong.
type FaultKind int

// The faults.
const (
	// KillAgent and KillEntry end a process, which starts again after For.
	KillAgent FaultKind = iota + 1
	KillEntry
	// FreezeAgent and FreezeEntry hold a process up for For.
	FreezeAgent
	FreezeEntry
	// DarkServer makes a backend server silent for For; it runs on.
	DarkServer
	// CrashServer ends a backend server; another incarnation starts after For.
	CrashServer
	// SlowServer makes new tasks of a server take X times as long, for For.
	SlowServer
	// StuckServer makes new tasks of a server stand still, for For.
	StuckServer
	// FailingServer makes new tasks of a server fail, for For.
	FailingServer
	// CutLink cuts an entry from an agent for For.
	CutLink
	// SlowEntry makes an entry take what every second agent sends X seconds late, for
	// For: it can't keep up, and starves some connections. What it sends leaves in time.
	SlowEntry
	// LateOrders leaves a share X of all orders unanswered for For, and carries
	// them out seconds later.
	LateOrders
	// LostAnswers carries out orders, but loses a share X of the answers for For.
	LostAnswers
	// DrainServer makes a server say that it leaves. It ends after For.
	DrainServer
	// WithdrawDomain takes a failure domain out of service for For.
	WithdrawDomain
	// LeaveCallers makes a share X of the jobs that arrive during For lose their
	// caller halfway to the deadline.
	LeaveCallers
)

// Fault is one fault. Index picks the thing that it hits.
type Fault struct {
	Kind  FaultKind
	At    time.Duration
	For   time.Duration
	Index int
	X     float64
}

// Service is the one service of a simulated site.
const Service ident.Service = "service"

// StandardKinds is the load of the users' first sites: short wide jobs, long
// ones, and many small ones, in order of priority 0, 2, 1.
func StandardKinds() []Kind {
	kind := func(name string, priority work.Priority, perSecond float64, width int, task time.Duration, worth float64) Kind {
		return Kind{
			Route: operator.Route{
				Name: name, Host: "site", PathPrefix: "/" + name + "/", Service: Service, Priority: priority,
				Attempts: 3, Timeout: 1500 * time.Millisecond, Stretch: 1.6, TargetLatency: 60 * time.Millisecond,
			},
			PerSecond: perSecond, Width: width, Work: task, Spread: 0.4,
			Demand: work.Demand{CPUMilli: 1600, MemoryMB: 64}, EstimateOff: 0.4, FailShare: 0.002,
			Worth: worth, LateWorth: worth / 5, Patience: 1500*time.Millisecond + 5*task,
		}
	}
	return []Kind{
		kind("wide", 0, 34.4, 8, 60*time.Millisecond, 0.0291),
		kind("long", 2, 6.25, 4, 900*time.Millisecond, 0.16),
		kind("small", 1, 100, 2, 200*time.Millisecond, 0.01),
	}
}

// StandardSite is a site like the users' first ones, with no faults.
func StandardSite(seed uint64, length time.Duration) Config {
	capacity := func(cores int64) work.Demand { return work.Demand{CPUMilli: 1000 * cores, MemoryMB: 65536} }
	return Config{
		Seed: seed, Entries: 3, Agents: 11, Domains: 3,
		Capacity: []work.Demand{capacity(16), capacity(16), capacity(24)},
		Speed:    []float64{1, 1, 1.3},
		Delay:    900 * time.Microsecond, Resend: 1300 * time.Millisecond,
		LeaseMax: time.Second, StopTime: 50 * time.Millisecond,
		Kinds: StandardKinds(), Length: length,
		Rate: func(time.Duration) float64 { return 1 },
	}
}
