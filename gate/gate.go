// Package gate is the decision core of an agent's gate: the only part of the
// agent that sends tasks to the backend server beside it. The tasks come from
// homes (package home), which own the records of jobs. The gate decides which task
// starts when, and it guarantees that every task starts at most once: a task is
// recorded before it is sent, and a task with a record of a start is never sent
// again. Jobs whose record no agent keeps are run by package run instead.
//
// A refused attempt of a task is sealed: it has not started and never will, so
// that the home may send the task to another agent.
//
// The core does no I/O and has no clock. Its caller passes monotonic time to
// Step, performs the returned actions, and reports back by events.
package gate

import (
	"slices"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
)

// Config holds the limits of a gate.
type Config struct {
	// QueueLimit is the number of tasks that may wait beyond those for which a
	// slot is idle. A longer queue hides load from the homes; a shorter one
	// causes more refusals.
	QueueLimit int
	// Retention is how long the record of a task is kept after its last change.
	// It must be longer than any request can be delayed and still be accepted
	// (see MaxAge).
	Retention time.Duration
	// MaxAge is the age beyond which a request starts no task.
	MaxAge time.Duration
	// MaxRecords is the maximum number of task records. At the limit new tasks
	// are refused; records are never dropped early, since that could let a
	// task start twice.
	MaxRecords int
	// ResultBytes is the maximum total size of the results that are kept for
	// homes that lost their connection. Beyond it the oldest results are
	// dropped, but not their records.
	ResultBytes int
}

// DefaultConfig returns the values that the agent process uses unless its
// settings say otherwise.
func DefaultConfig() Config {
	return Config{
		QueueLimit:  256,
		Retention:   job.MaxDeadline + 3*job.ClockSkew,
		MaxAge:      job.MaxDeadline + job.ClockSkew,
		MaxRecords:  200_000,
		ResultBytes: 16 << 20,
	}
}

// Stats holds the counters of a gate for metrics.
type Stats struct {
	Started  uint64 // tasks sent to the backend server
	Finished uint64 // tasks whose end was reported, failed ones included
	Failed   uint64 // tasks that ended without a result
	Refused  uint64 // refused attempts
	Attached uint64 // requests for tasks that already had a record
	Expired  uint64 // records dropped after Retention
}

// Gate is the decision core for one backend server. It is not safe for concurrent
// use. The zero value is not usable; call New.
type Gate struct {
	cfg      Config
	permit   permit.Permit
	services []ident.Service
	slots    int
	// usable is the number of slots that may be busy now; see ramp.
	usable      int
	ramp        ramp
	running     int
	stopping    bool
	records     map[ident.TaskID]*taskRecord
	queue       rankQueue
	expiryOrder []expiryEntry  // in the order of the records' changes
	keptResults []ident.TaskID // tasks whose results are kept, oldest first
	resultBytes int
	pace        pace
	stats       Stats
	out         []Action
}

// New returns a gate without a backend server and without a permit. It starts
// nothing until it has both.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:     cfg,
		records: make(map[ident.TaskID]*taskRecord),
	}
}

// Stats returns the counters.
func (g *Gate) Stats() Stats { return g.stats }

// Load is the load of a gate as heartbeats report it.
type Load struct {
	dispatch.Load
	Slots   int // slots of the backend server
	Running int // tasks sent to the backend server and not finished
	Records int // task records
}

// Load returns the present load.
func (g *Gate) Load() Load {
	return Load{Load: g.dispatchLoad(), Slots: g.slots, Running: g.running, Records: len(g.records)}
}

// dispatchLoad returns the part of the load that homes use to choose an executor.
func (g *Gate) dispatchLoad() dispatch.Load {
	return dispatch.Load{Free: g.free(), Queued: g.queue.Len(), Pace: g.pace.value(g.slots)}
}

// Step processes one event at the monotonic time now and returns what to do.
// The returned slice is valid until the next call.
func (g *Gate) Step(now time.Duration, e Event) []Action {
	g.out = g.out[:0]
	g.pace.advance(now, g.running, g.slots)
	g.usable = g.ramp.usable(now, g.slots)
	switch e := e.(type) {
	case Execute:
		g.execute(now, e)
	case Finished:
		g.finished(now, e)
	case NotSent:
		g.notSent(now, e)
	case SetPermit:
		g.setPermit(now, e.Permit)
	case SetBackend:
		g.services = slices.Clone(e.Services)
		g.slots = e.Slots
		g.usable = g.ramp.usable(now, g.slots)
	case Revoke:
		g.revoke(now, e)
	case StopStarting:
		g.stopping = true
	case Tick:
		g.expire(now)
	}
	g.startWaiting(now)
	return g.out
}

// free returns the number of idle slots that may be used now.
func (g *Gate) free() int {
	return max(0, g.usable-g.running)
}

// startBlocked returns why no task may start now, or "" if tasks may start.
// Invariant: Step returns no Send unless startBlocked returned "" for the same
// now.
func (g *Gate) startBlocked(now time.Duration) job.Reason {
	switch {
	case g.stopping:
		return job.ReasonStopping
	case !g.permit.Live(now):
		return job.ReasonNoPermit
	case !g.permit.InService:
		return job.ReasonFailureDomainOut
	case g.slots == 0:
		return job.ReasonCannotRun
	}
	return ""
}

func (g *Gate) emit(a Action) { g.out = append(g.out, a) }
