// Package run is the decision core of an agent: the gate to one backend server.
// It starts tasks under a lease, guards the server's capacity, and finds out how
// each run ended, also where an order got no answer or is carried out late.
//
// Invariants:
//   - What may be running on the backend server, with what is being stopped,
//     never demands more than the server's capacity.
//   - Two runs of one task are never under way at the same time.
//   - NotStarted is reported only once no start of the run can be carried out
//     any more: it never left, the server refused it, or the server lists neither
//     run nor end after the run was stopped there or its expiry had passed.
//   - Nothing is started for an entry that hasn't been heard for its lease, while
//     the server drains, or while the failure domain is withdrawn.
package run

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/work"
)

// Config are the bounds of the core.
type Config struct {
	Terms lease.Terms
	// QueueLimit is the most tasks that wait at the agent. Above it offers are
	// returned, and the entry places them elsewhere.
	QueueLimit int
	// StallAfter is how long a run may show no progress before its entry is told.
	StallAfter time.Duration
	// BackfillAfter is how long the first waiting task lets smaller ones go ahead.
	BackfillAfter time.Duration
}

// Core is the state of an agent. Its methods are called by one goroutine.
type Core struct {
	cfg    Config
	now    time.Duration
	server serverState
	holds  holdState
	tasks  map[work.Task]*task
	// held are the same tasks in the order of their arrival.
	held  []*task
	queue []*task
	// entries are the times that the leases of entries count from.
	entries   map[ident.Incarnation]time.Duration
	pace      pace
	withdrawn bool
	closing   bool
	arrivals  uint64
	out       []Action
}

// New returns the core of an agent that knows no backend server yet.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		tasks:   map[work.Task]*task{},
		entries: map[ident.Incarnation]time.Duration{},
	}
}

// phase is the state of a task at the agent.
type phase int

const (
	phaseQueued phase = iota
	// phaseStarting: the order is out.
	phaseStarting
	// phaseDoubt: the order got no answer.
	phaseDoubt
	phaseRunning
	// phaseUnsure: the run was ordered before the agent learnt that another
	// incarnation of the backend server is there. It may have begun on either.
	phaseUnsure
)

// task is one task that the agent holds, with its current run.
type task struct {
	run      work.Run
	entry    ident.Incarnation
	spec     string
	priority work.Priority
	demand   work.Demand
	expected time.Duration
	phase    phase
	arrival  uint64
	since    time.Duration // when it entered its phase
	started  time.Duration // when its start was sent
	expiry   time.Duration // of its start, on the server's clock
	// heldFrom is the number of the first CallHold whose answer must list it.
	heldFrom uint64
	stop     stopState
	percent  int
	moved    time.Duration // when the percent last changed
	stalled  bool
}

// stopState is what is known of the order to stop a run.
type stopState struct {
	wanted   bool
	sent     bool
	sentAt   time.Duration
	answered bool
}

// Step takes one event and returns what is to be done. now is monotonic.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.now = max(c.now, now)
	c.out = nil
	switch e := e.(type) {
	case ServerReported:
		c.serverReported(e)
	case ServerLeft:
		c.serverLeft(e)
	case Offered:
		c.offered(e)
	case StopAsked:
		c.stopAsked(e)
	case EntryHeard:
		c.entryHeard(e)
	case DomainWithdrawn:
		c.withdrawn = e.Withdrawn
	case Closing:
		c.closing = true
	case StartAnswered:
		c.startAnswered(e)
	case StopAnswered:
		c.stopAnswered(e)
	case HoldAnswered:
		c.holdAnswered(e)
	case HoldFailed:
		c.holdFailed(e)
	case Tick:
	}
	c.expireEntries()
	c.expireServer()
	c.expireUnsure()
	c.pursueStops()
	c.returnQueue()
	c.pump()
	c.hold()
	return c.out
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

// Room is what the agent tells entries about its backend server.
type Room struct {
	// Server is the zero value while no backend server is in use.
	Server work.Server
	Used   work.Demand
	// Queued is what waits, by priority in rising order.
	Queued []QueuedDemand
	// Closed is true if no new work is taken.
	Closed bool
	// Pace is by how much tasks take longer than expected, 0 if that isn't known.
	Pace float64
}

// QueuedDemand is what the waiting tasks of one priority demand.
type QueuedDemand struct {
	Priority work.Priority
	Demand   work.Demand
}

// Equal reports whether two rooms are the same to an entry.
func (r *Room) Equal(o *Room) bool {
	return r.Server.Incarnation == o.Server.Incarnation && r.Server.Draining == o.Server.Draining &&
		r.Used == o.Used && r.Closed == o.Closed && r.Pace == o.Pace && slices.Equal(r.Queued, o.Queued)
}

// Room returns the room as of the last step.
func (c *Core) Room() Room {
	r := Room{Used: c.used(), Closed: c.refusal() != "", Pace: c.pace.told(c.now)}
	if c.server.state == serverOpen {
		r.Server = c.server.report.Server
	}
	for _, t := range c.queue {
		if n := len(r.Queued); n == 0 || r.Queued[n-1].Priority != t.priority {
			r.Queued = append(r.Queued, QueuedDemand{Priority: t.priority})
		}
		last := &r.Queued[len(r.Queued)-1]
		last.Demand = last.Demand.Plus(t.demand)
	}
	return r
}

// Idle reports whether the agent holds no task.
func (c *Core) Idle() bool { return len(c.tasks) == 0 }

// Held returns the runs that the agent holds for the entry, in order.
func (c *Core) Held(entry ident.Incarnation) []work.Run {
	var held []work.Run
	for _, t := range c.tasks {
		if t.entry == entry {
			held = append(held, t.run)
		}
	}
	slices.SortFunc(held, func(a, b work.Run) int { return a.Task.Compare(b.Task) })
	return held
}

// used is the demand of everything that may be running.
func (c *Core) used() work.Demand {
	var sum work.Demand
	for _, t := range c.tasks {
		if t.phase != phaseQueued {
			sum = sum.Plus(t.demand)
		}
	}
	return sum
}

// Reasons for which a task is returned unstarted.
const (
	reasonNoServer  = "no backend server"
	reasonDraining  = "backend server drains"
	reasonWithdrawn = "failure domain withdrawn"
	reasonClosing   = "agent closes"
	reasonService   = "other service"
	reasonFull      = "queue full"
	reasonOldRun    = "old run"
	reasonNoLease   = "entry not heard"
	reasonStopped   = "stopped"
	reasonNewLife   = "backend server started anew"
	reasonLapsed    = "lease lapsed"
	reasonGone      = "run not listed"
	reasonReplaced  = "replaced by a later sending"
)

// refusal returns why no task is started now, or "".
func (c *Core) refusal() string {
	switch {
	case c.closing:
		return reasonClosing
	case c.server.state != serverOpen:
		return reasonNoServer
	case c.server.report.Server.Draining:
		return reasonDraining
	case c.withdrawn:
		return reasonWithdrawn
	}
	return ""
}

// entryHeard renews a lease, unless it was given on an older word of the agent.
func (c *Core) entryHeard(e EntryHeard) {
	if e.AsOf <= c.now {
		c.entries[e.Entry] = max(c.entries[e.Entry], e.AsOf)
	}
}

// expireEntries stops the runs of entries that haven't been heard for their lease.
func (c *Core) expireEntries() {
	for entry, asOf := range c.entries {
		if c.now-asOf > c.cfg.Terms.Entry {
			delete(c.entries, entry)
		}
	}
	for _, t := range c.inOrder() {
		if _, live := c.entries[t.entry]; !live && !t.stop.wanted {
			c.stop(t, reasonNoLease)
		}
	}
}

// inOrder returns the tasks in the order of their arrival. They may be ended meanwhile.
func (c *Core) inOrder() []*task { return slices.Clone(c.held) }
