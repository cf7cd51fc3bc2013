// Package gate is the decision core of the executor's gate, the only way to a
// backend server. It decides which task starts when, and it is where the promise
// that every task starts at most once is kept: a task is noted before it is sent,
// and a noted task is never sent again.
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

// Config bounds a gate.
type Config struct {
	// QueueLimit is the number of tasks that may wait for a slot. A longer
	// queue hides load from the homes; a shorter one causes more refusals.
	QueueLimit int
	// Retention is how long notes are kept. It must be longer than any
	// request can be delayed and still be accepted (see MaxAge).
	Retention time.Duration
	// MaxAge is the age at which a request is refused unread.
	MaxAge time.Duration
	// MaxNotes bounds the notes. At the bound new tasks are refused; notes
	// are never dropped early, since that could let a task start twice.
	MaxNotes int
	// ResultBytes bounds the results that are kept for a home that lost its
	// connection. Beyond it the oldest results are dropped, not their notes.
	ResultBytes int
}

// DefaultConfig returns the bounds that a daemon uses unless its settings say
// otherwise.
func DefaultConfig() Config {
	return Config{
		QueueLimit:  256,
		Retention:   job.MaxDeadline + 3*job.ClockSkew,
		MaxAge:      job.MaxDeadline + job.ClockSkew,
		MaxNotes:    200_000,
		ResultBytes: 16 << 20,
	}
}

// Stats counts what a gate did, for metrics.
type Stats struct {
	Started  uint64
	Finished uint64
	Failed   uint64
	Refused  uint64
	Attached uint64
	Expired  uint64
}

// Gate is the core. The zero value is not usable; call New.
type Gate struct {
	cfg      Config
	permit   permit.Permit
	services []ident.Service
	slots    int
	// usable is the number of slots that may be busy now; see ramp.
	usable  int
	ramp    ramp
	running int
	leaving bool
	notes   map[ident.TaskID]*note
	queue   rankQueue
	order   []aged // notes by time of last change, for expiry
	results []ident.TaskID
	bytes   int
	pace    pace
	stats   Stats
	out     []Action
}

// New returns a gate without a backend server and without a permit: it starts
// nothing until it has both.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:   cfg,
		notes: make(map[ident.TaskID]*note),
	}
}

// Stats returns the counters.
func (g *Gate) Stats() Stats { return g.stats }

// Load describes the gate for heartbeats.
type Load struct {
	dispatch.Load
	Slots   int
	Running int
	Notes   int
}

// Load returns the present load.
func (g *Gate) Load() Load {
	return Load{Load: g.brief(), Slots: g.slots, Running: g.running, Notes: len(g.notes)}
}

// brief is what homes need to know.
func (g *Gate) brief() dispatch.Load {
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
	case Leave:
		g.leaving = true
	case Tick:
		g.expire(now)
	}
	g.advance(now)
	return g.out
}

// free returns the number of idle slots.
func (g *Gate) free() int {
	return max(0, g.usable-g.running)
}

// mayStart returns why nothing may start now, or "" if something may. Invariant:
// no Send leaves Step unless mayStart returned "" for the same now.
func (g *Gate) mayStart(now time.Duration) job.Reason {
	switch {
	case g.leaving:
		return job.ReasonStopping
	case !g.permit.Live(now):
		return job.ReasonNoPermit
	case !g.permit.InService:
		return job.ReasonDomainOut
	case g.slots == 0:
		return job.ReasonCannotRun
	}
	return ""
}

func (g *Gate) emit(a Action) { g.out = append(g.out, a) }
