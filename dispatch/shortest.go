package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"foxtaildock.example/dock/ident"
)

// Constants of ShortestQueue.
const (
	// UrgentFlight is the number of tasks in flight below which a job's next
	// task is urgent.
	UrgentFlight = 8
	// defaultFresh is one heartbeat period.
	defaultFresh = 500 * time.Millisecond
	// loadMemory is the time constant with which an executor's load returns to
	// the mean of all: about the run time of a task.
	loadMemory = 300 * time.Millisecond
	// depthPerSlot is the number of waiting tasks at a gate, for each of its
	// slots, up to which a task that is not urgent may join them.
	depthPerSlot = 0.5
	// urgentDepthPerSlot is the same for urgent tasks. More would be refused by
	// the gates, and each refusal costs two messages.
	urgentDepthPerSlot = 8
)

// Config configures ShortestQueue.
type Config struct {
	// Own is the executor in the same process as the home.
	Own ident.Incarnation
	// Random breaks ties, so that homes with equal knowledge don't all choose
	// the same executor.
	Random *rand.Rand
	// Fresh is how long an executor's own word outranks listed load; zero
	// means one heartbeat period.
	Fresh time.Duration
}

// ShortestQueue sends a task to its own executor if a slot is idle there, else
// to the one with the most idle slots or the shortest queue by what answers and
// heartbeats said. A few tasks may wait at a gate, so that a slot never idles
// for a round trip and no message is spent on asking. The bulk of a large job
// waits at its home, where it can still go to any executor; but each job may
// have a few tasks at the gates whatever their queues, because gates serve by
// rank and a home without tasks in flight hears of no slot that falls idle.
//
// An executor that fails or slows down beyond the rest of the fleet is avoided
// and gets a small share of the tasks, which shows when it is well again.
type ShortestQueue struct {
	config    Config
	executors executorSet
	fleet     fleet
}

var _ Pool = (*ShortestQueue)(nil)

// NewShortestQueue returns an empty pool.
func NewShortestQueue(config Config) *ShortestQueue {
	if config.Fresh == 0 {
		config.Fresh = defaultFresh
	}
	return &ShortestQueue{config: config}
}

// SetExecutors implements Pool.
func (p *ShortestQueue) SetExecutors(now time.Duration, executors []Executor) {
	p.executors.replace(now, p.config.Fresh, executors)
}

// Remove implements Pool.
func (p *ShortestQueue) Remove(executor ident.Incarnation) {
	p.executors.remove(executor)
}

// Observe implements Pool.
func (p *ShortestQueue) Observe(now time.Duration, executor ident.Incarnation, l Load) {
	if e := p.executors.find(executor); e != nil {
		e.tell(now, l)
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
	e.health.note(&p.fleet, r)
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
	depth := depthPerSlot
	if urgent {
		depth = urgentDepthPerSlot
	}
	if float64(e.idle) <= -depth*float64(e.Slots) {
		return "", false
	}
	e.take()
	return e.Incarnation, true
}

// probe returns an avoided executor whose turn it is to get a task, or nil.
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

// choose returns the executor that should finish a task soonest, or nil. Failing
// executors are used only if there is no other.
func (p *ShortestQueue) choose(now time.Duration, service ident.Service) *executorState {
	own := p.executors.find(p.config.Own)
	if own != nil && own.serves(now, service) && own.idle > 0 && !own.health.avoided(&p.fleet) {
		return own
	}
	mean := p.meanIdle(now, service)
	best := choice{random: p.config.Random}
	last := choice{random: p.config.Random}
	for _, e := range p.executors.list {
		if !e.serves(now, service) {
			continue
		}
		score := p.score(now, e, mean)
		if e.health.failing(&p.fleet) {
			last.consider(e, score)
			continue
		}
		best.consider(e, score)
	}
	if best.executor == nil {
		return last.executor
	}
	return best.executor
}

// score is the number of slots believed idle, or less than zero the length of
// the queue. What was last heard of an executor fades into the mean of all, and
// own tasks in flight count extra, since other homes send there for the same
// reasons. A straggler is as bad as a queue that takes the time it loses.
func (p *ShortestQueue) score(now time.Duration, e *executorState, mean float64) float64 {
	memory := math.Exp(-float64(now-e.told) / float64(loadMemory))
	idle := mean + (float64(e.idle)-mean)*memory
	return idle - float64(e.inFlight) - e.health.delay(&p.fleet)*float64(e.Slots)
}

// meanIdle returns the mean of the believed idle slots.
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
