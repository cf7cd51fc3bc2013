// Package run is the decision core of an agent on the path where jobs are answered
// at their end. It decides which tasks are started on the agent's one backend server
// and when they are stopped; package runner is the agent process around it. The core
// has no I/O and no clock: it takes events and returns actions.
//
// It starts tasks under a lease, keeps within the server's capacity, and finds out
// how each run ended, even if a call to the server got no answer or is carried out
// late. Package schedule is the decision core of the entries that offer the tasks; the
// agent core for jobs whose record an agent keeps is package gate.
//
// Invariants:
//   - The demand of all runs that may be running on the backend server, including
//     those being stopped, never exceeds the server's capacity.
//   - Two runs of one task are never in progress at the same time.
//   - NotStarted is reported only once no start of the run can be carried out
//     any more: it was never sent, the server refused it, or the server lists the
//     run neither as running nor as ended after it was stopped there or its expiry
//     had passed.
//   - Nothing is started for an entry whose lease has expired, while the server
//     drains, or while the failure domain is withdrawn.
package run

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/work"
)

// Config holds the limits and timeouts of the core.
type Config struct {
	Terms lease.Terms
	// QueueLimit is the maximum number of tasks that wait at the agent. Offers
	// above it are returned, and the entry places them elsewhere.
	QueueLimit int
	// StallAfter is how long a run may make no progress before its entry is notified.
	StallAfter time.Duration
	// ReportInterval is the interval between the reports of a backend server.
	ReportInterval time.Duration
	// BackfillAfter is how long a waiting task that doesn't fit lets smaller tasks
	// start before it.
	BackfillAfter time.Duration
}

// Core is the state of an agent. Its methods must be called by one goroutine only.
type Core struct {
	cfg    Config
	now    time.Duration
	server serverState
	holds  holdState
	// proposed is a report of another incarnation than the one in use.
	proposed proposal
	tasks    map[work.Task]*task
	// held lists the tasks of the map in order of arrival.
	held  []*task
	queue []*task
	// entries holds the start of each entry's lease.
	entries   map[ident.Incarnation]time.Duration
	waiting   []entryWaiting // by entry
	pace      pace
	speed     serverSpeed
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
	// phaseStarting: CallStart was sent and has no result yet.
	phaseStarting
	// phaseUnconfirmed: CallStart got no answer; the run may have started.
	phaseUnconfirmed
	phaseRunning
	// phaseOrphaned: the start was sent before the agent found that the backend
	// server's incarnation had changed. The run may have started on either one.
	phaseOrphaned
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
	// latestStart is the latest start with which the job can still end in time.
	latestStart time.Duration
	since       time.Duration // when it entered its current phase
	started     time.Duration // when CallStart was issued
	server      Incarnation   // of the backend server that CallStart was sent to
	expiry      time.Duration // of its start, on the server's clock
	// listedFrom is the number of the first CallHold whose answer must list the run.
	listedFrom   uint64
	stop         stopState
	percent      int
	progressedAt time.Duration // when the percent last changed
	stalled      bool
	// lostReason is why an orphaned run counts as lost if no list has it.
	lostReason string
}

// stopState is the progress of stopping a run.
type stopState struct {
	wanted   bool
	sent     bool
	sentAt   time.Duration
	answered bool
}

// Step processes one event and returns the resulting actions. now is the agent's
// monotonic clock; values below an earlier one count as that one.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.out = nil
	c.advance(now)
	switch e := e.(type) {
	case ServerReported:
		c.serverReported(e)
	case ServerLeft:
		c.serverLeft(e)
	case Offered:
		c.offered(e)
	case StopRequested:
		c.stopRequested(e)
	case EntryHeartbeat:
		c.entryHeartbeat(e)
	case WaitingReported:
		c.waitingReported(e)
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
	c.expireOrphaned()
	c.sendStops()
	c.returnQueue()
	c.startQueued()
	c.issueHolds()
	return c.out
}

// advance sets the time of a step. Steps come often, at least with each Tick. After a gap that
// would make runs outlast the resubmission of their jobs if it was a suspension of the VM, the
// server has to be heard before its clock counts again.
func (c *Core) advance(now time.Duration) {
	last := c.now
	c.now = max(c.now, now)
	if c.server.phase != serverNone && c.now-last > c.cfg.Terms.Margin() {
		c.holds.resumedFrom = c.nextCall()
		c.holds.shortPollWanted = true
		c.emit(LogMessage{Text: "agent process was paused", Incarnation: c.server.report.Server.Incarnation, Age: c.now - last})
	}
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// Room is the state of the agent's backend server that entries are sent.
type Room struct {
	// Server is the zero value while no backend server is in use.
	Server work.Server
	// Used is the demand of everything that may be running, including what is
	// being stopped, and what the server may no longer have of its capacity.
	Used work.Demand
	// Queued is the demand of the waiting tasks, by priority in rising order.
	Queued []QueuedDemand
	// Closed is true if no new tasks are accepted.
	Closed bool
	// Pace is the ratio of actual to expected run time of the running tasks, 0 if
	// unknown.
	Pace float64
	// endsAt is the end of the server that Server.Remaining follows from.
	endsAt time.Duration
	// Speed is that of the runs that have ended. Only its value counts for Equal, since a
	// change of the others is no reason for a message.
	Speed SpeedFigure
}

// QueuedDemand is the total demand of the waiting tasks of one priority.
type QueuedDemand struct {
	Priority work.Priority
	Demand   work.Demand
}

// Equal reports whether both rooms hold the same values for an entry, which needs
// no update then.
func (r *Room) Equal(o *Room) bool {
	return r.Server.Incarnation == o.Server.Incarnation && r.Server.Draining == o.Server.Draining &&
		r.Server.Service == o.Server.Service && r.Server.Domain == o.Server.Domain && slices.Equal(r.Server.Labels, o.Server.Labels) &&
		r.Server.Capacity == o.Server.Capacity && r.Used == o.Used && r.Closed == o.Closed && r.Pace == o.Pace && r.endsAt == o.endsAt &&
		r.Speed.Value == o.Speed.Value && slices.Equal(r.Queued, o.Queued)
}

// Room returns the state of the backend server as of the last step.
func (c *Core) Room() Room {
	r := Room{Used: c.used(), Closed: c.refusal() != "", Pace: c.pace.quantized(c.now), Speed: c.speed.figure(c.now)}
	if c.server.phase == serverInUse {
		r.Server, r.endsAt = c.server.report.Server, c.server.endsAt
		r.Server.Draining = c.server.draining()
		r.Used = r.Used.Plus(r.Server.Capacity.Minus(c.server.capacity()))
		r.Server.Incarnation = c.server.report.incarnation().String()
		r.Server.Remaining = c.server.remaining(c.now)
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

// Asking reports whether a call to the server has to be repeated until it is answered: its
// answer decides what the agent believes. A server without a process isn't asked more often.
func (c *Core) Asking() bool {
	asking := c.proposed.report != nil || c.holds.resumedFrom > 0
	return c.server.fenceStep > 0 || asking && !c.server.refuses
}

// Held returns the runs that wait or run at the agent for the entry, in task order.
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

// used returns the total demand of all runs that may be running.
func (c *Core) used() work.Demand {
	var sum work.Demand
	for _, t := range c.tasks {
		if t.phase != phaseQueued {
			sum = sum.Plus(t.demand)
		}
	}
	return sum
}

// Reasons that reports to entries give.
const (
	reasonNoServer        = "no backend server"
	reasonDraining        = "backend server drains"
	reasonWithdrawn       = "failure domain withdrawn"
	reasonClosing         = "agent closes"
	reasonService         = "other service"
	reasonIncarnation     = "chosen for another incarnation of the backend server"
	reasonFull            = "queue full"
	reasonTooLarge        = "larger than the backend server"
	reasonInvalidDemand   = "negative demand"
	reasonNoLease         = "entry not heard"
	reasonStopped         = "stopped"
	reasonServerRestarted = "backend server started anew"
	reasonServerRefuses   = "backend server refuses connections"
	reasonServerLeft      = "backend server left"
	reasonLeaseLapsed     = "lease lapsed"
	reasonNotListed       = "run not listed"
	reasonReplaced        = "replaced by a later sending"
)

// ServerWentDown reports whether a run that was lost for the reason was lost because its
// backend server itself went down: not as planned, and not the agent, the entry or the
// network.
func ServerWentDown(reason string) bool {
	return reason == reasonServerRestarted || reason == reasonServerRefuses
}

// refusal returns why no task may be started now, or "" if tasks may be started.
func (c *Core) refusal() string {
	switch {
	case c.closing:
		return reasonClosing
	case c.server.phase != serverInUse:
		return reasonNoServer
	case c.server.draining():
		return reasonDraining
	case c.withdrawn:
		return reasonWithdrawn
	}
	return ""
}

// entryHeartbeat renews the lease of an entry. The lease never moves back, and a time
// that lies ahead of the agent's clock renews nothing, since this agent can't have
// sent it.
func (c *Core) entryHeartbeat(e EntryHeartbeat) {
	if e.AsOf <= c.now {
		c.entries[e.Entry] = max(c.entries[e.Entry], e.AsOf)
	}
}

// HasLease reports whether tasks of the entry may be started and go on, as of the last step.
func (c *Core) HasLease(entry ident.Incarnation) bool {
	_, live := c.entries[entry]
	return live
}

// expireEntries drops expired leases and stops the runs of entries without one.
func (c *Core) expireEntries() {
	for entry, asOf := range c.entries {
		if c.now-asOf > c.cfg.Terms.Entry {
			delete(c.entries, entry)
		}
	}
	for _, t := range c.inOrder() {
		if !c.HasLease(t.entry) && !t.stop.wanted {
			c.stop(t, reasonNoLease)
		}
	}
}

// inOrder returns a copy of the tasks in order of arrival, so that tasks may be
// removed while the caller iterates.
func (c *Core) inOrder() []*task { return slices.Clone(c.held) }
