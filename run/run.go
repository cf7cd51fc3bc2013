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
	"cmp"
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
	queue  []*task
	// entries are the times when each entry was last heard.
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
		c.entries[e.Entry] = c.now
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

func (c *Core) offered(e Offered) {
	if reason := c.offerRefusal(e); reason != "" {
		c.do(Report{Entry: e.Entry, Run: e.Run, Outcome: work.NotStarted, Reason: reason})
		return
	}
	if old := c.tasks[e.Run.Task]; old != nil {
		c.offeredAgain(old, e)
		return
	}
	c.arrivals++
	t := &task{
		run: e.Run, entry: e.Entry, spec: e.Spec, priority: e.Priority,
		demand: e.Demand, expected: e.Expected, arrival: c.arrivals, since: c.now,
	}
	c.tasks[e.Run.Task] = t
	at, _ := slices.BinarySearchFunc(c.queue, t, compareTasks)
	c.queue = slices.Insert(c.queue, at, t)
}

func compareTasks(a, b *task) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
}

func (c *Core) offerRefusal(e Offered) string {
	if reason := c.refusal(); reason != "" {
		return reason
	}
	if e.Service != c.server.report.Server.Service {
		return reasonService
	}
	if len(c.queue) >= c.cfg.QueueLimit {
		return reasonFull
	}
	return ""
}

// offeredAgain takes an offer of a task that the agent holds. A later sending of
// its job replaces an earlier one, which is stopped first; the new run is
// returned, and its entry may offer it again.
func (c *Core) offeredAgain(old *task, e Offered) {
	if old.entry == e.Entry && old.run.ID >= e.Run.ID {
		return
	}
	c.do(Report{Entry: e.Entry, Run: e.Run, Outcome: work.NotStarted, Reason: reasonReplaced})
	c.stop(old, reasonReplaced)
}

func (c *Core) stopAsked(e StopAsked) {
	t := c.tasks[e.Run.Task]
	if t == nil || t.run != e.Run || t.entry != e.Entry {
		return
	}
	c.stop(t, reasonStopped)
}

// stop ends a run as fast as its phase allows.
func (c *Core) stop(t *task, reason string) {
	t.stop.wanted = true
	if t.phase == phaseQueued {
		c.end(t, work.NotStarted, reason)
	}
}

// end removes a task and tells its entry.
func (c *Core) end(t *task, outcome work.Outcome, reason string) {
	delete(c.tasks, t.run.Task)
	if t.phase == phaseQueued {
		c.queue = slices.DeleteFunc(c.queue, func(q *task) bool { return q == t })
	}
	var ran time.Duration
	if t.phase != phaseQueued {
		ran = c.now - t.started
	}
	c.do(Report{Entry: t.entry, Run: t.run, Outcome: outcome, Ran: ran, Reason: reason})
}

// expireEntries stops the runs of entries that haven't been heard for their lease.
func (c *Core) expireEntries() {
	for entry, heard := range c.entries {
		if c.now-heard > c.cfg.Terms.Entry {
			delete(c.entries, entry)
		}
	}
	for _, t := range c.sorted() {
		if _, live := c.entries[t.entry]; !live && !t.stop.wanted {
			c.stop(t, reasonNoLease)
		}
	}
}

// sorted returns the tasks in an order that doesn't depend on the map.
func (c *Core) sorted() []*task {
	list := make([]*task, 0, len(c.tasks))
	for _, t := range c.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return cmp.Compare(a.arrival, b.arrival) })
	return list
}

// returnQueue hands back what waits, once nothing may be started here.
func (c *Core) returnQueue() {
	reason := c.refusal()
	if reason == "" {
		return
	}
	for len(c.queue) > 0 {
		c.end(c.queue[0], work.NotStarted, reason)
	}
}

// pump starts waiting tasks while there is room.
func (c *Core) pump() {
	if c.refusal() != "" || c.server.foreign > 0 || c.silent() {
		return
	}
	room := c.server.report.Server.Capacity.Minus(c.used())
	for i := 0; i < len(c.queue); {
		t := c.queue[i]
		if t.demand.Fits(room) {
			c.queue = slices.Delete(c.queue, i, i+1)
			room = room.Minus(t.demand)
			c.start(t)
			continue
		}
		// A task that has waited long keeps smaller ones from taking its room.
		if c.now-t.since > c.cfg.BackfillAfter {
			return
		}
		i++
	}
}

func (c *Core) start(t *task) {
	t.phase = phaseStarting
	t.since = c.now
	t.started = c.now
	t.moved = c.now
	t.expiry = c.extend()
	c.do(CallStart{Run: t.run, Spec: t.spec, Expiry: t.expiry, Fence: c.server.fence})
}

func (c *Core) startAnswered(e StartAnswered) {
	t := c.tasks[e.Run.Task]
	if !c.stamped(e.Stamp) || t == nil || t.run != e.Run || t.phase != phaseStarting {
		return
	}
	switch e.Reply {
	case Started:
		t.phase = phaseRunning
		t.heldFrom = c.holds.next
	case NoAnswer:
		t.phase = phaseDoubt
		t.heldFrom = c.holds.next
		c.holds.lookNow = true
	case RefusedFence:
		c.end(t, work.NotStarted, e.Reply.String())
		c.reclaim()
		return
	default:
		c.end(t, work.NotStarted, e.Reply.String())
		return
	}
	t.since = c.now
}

// stopRepeat is how long the core waits for the answer to a stop before it sends
// the order again; a backend server on the same VM answers within a millisecond.
const stopRepeat = 40 * time.Millisecond

// pursueStops sends the orders to stop, again and again until they are answered.
func (c *Core) pursueStops() {
	if c.server.state == serverNone {
		return
	}
	for _, t := range c.sorted() {
		s := &t.stop
		if !s.wanted || s.answered || t.phase == phaseQueued || t.phase == phaseStarting {
			continue
		}
		if s.sent && c.now-s.sentAt < stopRepeat {
			continue
		}
		s.sent = true
		s.sentAt = c.now
		c.do(CallStop{Run: t.run, Fence: c.server.fence})
	}
}

func (c *Core) stopAnswered(e StopAnswered) {
	t := c.tasks[e.Run.Task]
	if !c.stamped(e.Stamp) || t == nil || t.run != e.Run || !e.Answered {
		return
	}
	t.stop.answered = true
	t.heldFrom = c.holds.next
	c.holds.lookNow = true
}
