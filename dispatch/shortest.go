package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"foxtaildock.example/dock/ident"
)

// Constants of ShortestQueue.
const (
	// UrgentInFlight is the number of tasks in flight below which a job's next
	// task is urgent (see Pool.Pick).
	UrgentInFlight = 8
	// defaultReportedLoadTTL is the default of Config.ReportedLoadTTL: one heartbeat
	// period.
	defaultReportedLoadTTL = 500 * time.Millisecond
	// loadDecayTime is the time constant with which the estimated load of an
	// executor decays to the mean of all executors. It is about the run time of
	// a task.
	loadDecayTime = 300 * time.Millisecond
	// gateQueuePerSlot is the length of a gate's queue per slot up to which a task
	// that is not urgent is sent there.
	gateQueuePerSlot = 0.5
	// urgentGateQueuePerSlot is the same for urgent tasks. Gates would refuse more,
	// and each refusal costs two messages.
	urgentGateQueuePerSlot = 8
)

// Config configures ShortestQueue.
type Config struct {
	// Own is the executor in the same process as the home.
	Own ident.Incarnation
	// Random breaks ties, so that homes with equal knowledge don't all choose
	// the same executor.
	Random *rand.Rand
	// ReportedLoadTTL is how long the load that an executor itself reported takes
	// precedence over the load passed to SetExecutors. Zero means one heartbeat
	// period.
	ReportedLoadTTL time.Duration
}

// ShortestQueue sends a task to the home's own executor if a slot is idle there,
// else to the executor with the most idle slots or the shortest queue according
// to answers and heartbeats. A few tasks may wait at a gate, so that no slot is
// idle for a round trip and no message is needed to ask for work. Most tasks of a
// large job wait at their home, where they can still be sent to any executor. Each
// job may have a few tasks at the gates even if their queues are long, because
// gates serve by rank and a home without tasks in flight does not learn of slots
// that become idle.
//
// An executor whose failure rate or pace is far above the median of the fleet is
// avoided. It gets a small share of the tasks as probes, which show when it has
// recovered.
type ShortestQueue struct {
	config    Config
	executors executorSet
	fleet     fleetMedians
}

var _ Pool = (*ShortestQueue)(nil)

// NewShortestQueue returns an empty pool.
func NewShortestQueue(config Config) *ShortestQueue {
	if config.ReportedLoadTTL == 0 {
		config.ReportedLoadTTL = defaultReportedLoadTTL
	}
	return &ShortestQueue{config: config}
}

// SetExecutors implements Pool.
func (p *ShortestQueue) SetExecutors(now time.Duration, executors []Executor) {
	p.executors.replace(now, p.config.ReportedLoadTTL, executors)
}

// Remove implements Pool.
func (p *ShortestQueue) Remove(executor ident.Incarnation) {
	p.executors.remove(executor)
}

// Observe implements Pool.
func (p *ShortestQueue) Observe(now time.Duration, executor ident.Incarnation, l Load) {
	if e := p.executors.find(executor); e != nil {
		e.updateLoad(now, l)
	}
}

// Report implements Pool.
func (p *ShortestQueue) Report(now time.Duration, executor ident.Incarnation, r Report) {
	e := p.executors.find(executor)
	if e == nil {
		return
	}
	e.answered(now, r)
	p.fleet.refresh(now, p.executors.list)
	e.health.addAnswer(&p.fleet, r)
}

// Pick implements Pool.
func (p *ShortestQueue) Pick(now time.Duration, service ident.Service, urgent bool) (ident.Incarnation, bool) {
	e := p.probe(now, service, urgent)
	if e == nil {
		e = p.choose(now, service)
	}
	if e == nil {
		return "", false
	}
	depth := gateQueuePerSlot
	if urgent {
		depth = urgentGateQueuePerSlot
	}
	if float64(e.idle) <= -depth*float64(e.Slots) {
		return "", false
	}
	e.addTask()
	return e.Incarnation, true
}

// probe returns an avoided executor for which a probe is due, or nil.
func (p *ShortestQueue) probe(now time.Duration, service ident.Service, urgent bool) *executorState {
	var due *executorState
	for _, e := range p.executors.list {
		if !e.serves(now, service) {
			continue
		}
		if e.health.probeDue(&p.fleet, urgent) && e.inFlight == 0 && due == nil {
			due = e
		}
	}
	if due != nil {
		due.health.probed()
	}
	return due
}

// choose returns the executor that is expected to finish a task first, or nil.
// Failing executors are used only if there is no other.
func (p *ShortestQueue) choose(now time.Duration, service ident.Service) *executorState {
	own := p.executors.find(p.config.Own)
	if own != nil && own.serves(now, service) && own.idle > 0 && !own.health.avoided(&p.fleet) {
		return own
	}
	mean := p.meanIdle(now, service)
	best := choice{random: p.config.Random}
	fallback := choice{random: p.config.Random}
	for _, e := range p.executors.list {
		if !e.serves(now, service) {
			continue
		}
		score := p.score(now, e, mean)
		if e.health.failing(&p.fleet) {
			fallback.consider(e, score)
			continue
		}
		best.consider(e, score)
	}
	if best.executor == nil {
		return fallback.executor
	}
	return best.executor
}

// score returns the estimated number of idle slots of an executor, or the negated
// estimated length of its queue. The last known load decays to the mean of all
// executors. The home's own tasks in flight are subtracted once more, since other
// homes send tasks there for the same reasons. A straggler is treated like a
// queue that takes as long as the time it loses.
func (p *ShortestQueue) score(now time.Duration, e *executorState, mean float64) float64 {
	weight := math.Exp(-float64(now-e.loadAt) / float64(loadDecayTime))
	idle := mean + (float64(e.idle)-mean)*weight
	return idle - float64(e.inFlight) - e.health.excessPace(&p.fleet)*float64(e.Slots)
}

// meanIdle returns the mean of the last known idle slots of the executors that
// serve the service.
func (p *ShortestQueue) meanIdle(now time.Duration, service ident.Service) float64 {
	sum, n := 0, 0
	for _, e := range p.executors.list {
		if e.serves(now, service) {
			sum += e.idle
			n++
		}
	}
	return float64(sum) / float64(max(1, n))
}
