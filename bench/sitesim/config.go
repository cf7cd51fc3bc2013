// Package sitesim is a discrete-event simulation of a whole site: entries, agents,
// backend servers, the network between them, and callers. It runs the decision
// cores of the product (packages schedule and run) behind the protocol of their
// sessions, injects faults into everything around them, and checks the guarantees
// of the system.
//
// The model is used by tests that look for a violated guarantee under random
// faults, and by experiments that replay a load and report what callers got.
package sitesim

import (
	"math"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/work"
)

// Config describes a simulated site and its load.
type Config struct {
	Seed    uint64
	Entries int
	Agents  int
	Domains int
	// Capacity is that of the backend servers, by index of the VM. The list is
	// repeated as needed.
	Capacity []work.Demand
	// Speed is the factor by which tasks take longer, by index of the VM. The list
	// is repeated as needed.
	Speed []float64
	// Delay is the one-way network delay between VMs.
	Delay time.Duration
	// Resend is the time after which a caller sends a job again whose answer was
	// lost.
	Resend   time.Duration
	LeaseMax time.Duration
	StopTime time.Duration
	Kinds    []Kind
	// Length is how long jobs arrive.
	Length time.Duration
	// Rate is the factor on the arrival rate at a given time.
	Rate   func(at time.Duration) float64
	Faults []Fault
	// Locations are the places that callers are at, one for each entry. If there are
	// none, each job goes to a random entry.
	Locations []Location
	// StragglerShare is the share of tasks that take StragglerFactor times as long as
	// the others of their job.
	StragglerShare, StragglerFactor float64
	// Subset is the number of agents that each entry wants to use at least; 0 means all.
	Subset int
	// NoSpeeds makes agents report no speed of their servers, as older versions do.
	NoSpeeds bool
	// Baseline makes entries decide by the simple policy that experiments compare
	// the product with.
	Baseline bool
}

// Location is a place that callers are at. They send their jobs to its entry first. The
// rate of its jobs follows a wave.
type Location struct {
	Share  float64 // of all jobs
	Wave   float64 // amplitude, relative to the mean rate
	Period time.Duration
	Phase  time.Duration // by which the wave is ahead
}

// rate returns the rate of the location's jobs, relative to that of all jobs.
func (l *Location) rate(at time.Duration) float64 {
	return l.Share * (1 + l.Wave*math.Sin(2*math.Pi*(at+l.Phase).Seconds()/l.Period.Seconds()))
}

// Kind is a kind of job.
type Kind struct {
	Route operator.Route
	// PerSecond is the mean arrival rate in jobs per second.
	PerSecond float64
	// Rate is a further factor on the arrival rate of this kind; nil means 1.
	Rate     func(at time.Duration) float64
	Width    int           // mean number of tasks
	MaxWidth int           // 0 means no limit
	Work     time.Duration // mean run time of one task
	Spread   float64       // of the run time, as the sigma of its logarithm
	Demand   work.Demand
	// MaxEstimateError is the largest relative error of estimates, in either direction.
	MaxEstimateError float64
	FailShare        float64       // share of runs that fail
	Worth            float64       // value of a job that is completed within its objective
	LateWorth        float64       // value of a job that is completed later
	CallerTimeout    time.Duration // how long a caller waits for a job in all
}

// FaultKind is the kind of a fault.
type FaultKind int

// Kinds of faults. For and Magnitude are the fields of Fault.
const (
	// KillAgent and KillEntry kill a process, which starts again after For.
	KillAgent FaultKind = iota + 1
	KillEntry
	// FreezeAgent and FreezeEntry suspend a process for For.
	FreezeAgent
	FreezeEntry
	// SilentServer makes a backend server silent for For; its tasks run on.
	SilentServer
	// CrashServer ends a backend server. A new incarnation starts after For.
	CrashServer
	// SlowServer makes new tasks of a server take Magnitude times as long, for For.
	SlowServer
	// StuckServer makes new tasks of a server hang, for For.
	StuckServer
	// FailingServer makes new tasks of a server fail, for For.
	FailingServer
	// CutLink drops all messages between an entry and an agent for For.
	CutLink
	// CutDomain cuts a failure domain off from all others for For. Callers still reach its
	// entries.
	CutDomain
	// SplitDomains makes a failure domain and the next one unreachable for each other for
	// For, while all others reach both.
	SplitDomains
	// SlowEntry makes an entry process the messages of every second agent Magnitude
	// seconds late, for For: it can't keep up, and starves some connections. Its own
	// messages are sent in time.
	SlowEntry
	// LateOrders leaves a share Magnitude of all orders (calls of agents that start
	// and stop runs on backend servers) unanswered for For, and executes them seconds
	// later.
	LateOrders
	// LostAnswers executes orders, but loses a share Magnitude of the answers for For.
	LostAnswers
	// DrainServer makes a server report that it drains. It ends after For, which it reports
	// as well if Magnitude is above 0.
	DrainServer
	// LeaveServer makes a server report at once that it drains. For is the time that is left;
	// it ends then, and a new incarnation starts Magnitude seconds later.
	LeaveServer
	// WithdrawDomain takes a failure domain out of service for For.
	WithdrawDomain
	// DisconnectCallers makes the callers of a share Magnitude of the jobs that arrive
	// during For disconnect after an eighth of their waiting time.
	DisconnectCallers
)

// Fault is one fault. Index picks the VM, entry or failure domain that it affects.
type Fault struct {
	Kind      FaultKind
	At        time.Duration // after the start of the load
	For       time.Duration
	Index     int
	Magnitude float64 // its meaning depends on the kind
}

// Service is the only service of a simulated site.
const Service ident.Service = "service"

// StandardKinds returns the load of the users' first sites: short jobs of many
// tasks, long jobs, and many small jobs, with priorities 0, 2 and 1 in this order.
func StandardKinds() []Kind {
	kind := func(name string, priority work.Priority, perSecond float64, width int, task time.Duration, worth float64) Kind {
		return Kind{
			Route: operator.Route{
				Name: name, Host: "site", PathPrefix: "/" + name + "/", Service: Service, Priority: priority,
				Attempts: 3, Timeout: 1500 * time.Millisecond, Stretch: 1.6, TargetLatency: 60 * time.Millisecond,
			},
			PerSecond: perSecond, Width: width, Work: task, Spread: 0.4,
			Demand: work.Demand{CPUMilli: 1600, MemoryMB: 64}, MaxEstimateError: 0.4, FailShare: 0.002,
			Worth: worth, LateWorth: worth / 5, CallerTimeout: 1500*time.Millisecond + 5*task,
		}
	}
	return []Kind{
		kind("wide", 0, 34.4, 8, 60*time.Millisecond, 0.0291),
		kind("long", 2, 6.25, 4, 900*time.Millisecond, 0.16),
		kind("small", 1, 100, 2, 200*time.Millisecond, 0.01),
	}
}

// StandardSite returns a site like the users' first ones, without faults.
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
