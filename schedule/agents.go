package schedule

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// agentState is what the entry knows of an agent and its backend server.
type agentState struct {
	id       ident.Incarnation
	address  string
	attached bool
	server   work.Server
	used     work.Demand
	queued   []run.QueuedDemand
	// inFlight are the offers that the agent's last room report did not include yet.
	inFlight []sentOffer
	// sequence is the number of the last offer sent to the agent.
	sequence uint64
	// lastMessage is when the agent's newest message was processed. No lease counts
	// from a later time.
	lastMessage time.Duration
	// ackedHeartbeatSentAt is when the newest heartbeat that renewed the lease at the
	// agent was sent.
	ackedHeartbeatSentAt time.Duration
	// runs are the runs of this entry that the agent may hold.
	runs map[work.Task]work.RunID
	// cooldownUntil is the earliest time of the next offer after the agent returned a task.
	cooldownUntil time.Duration
	load          agentLoad
	counted       countedLoad
	// freeSince is the free capacity within the last freeWithoutWait, by rising time.
	freeSince []freeRecord
	speed     speed
	health    health
	waits     []waitingRun
	endsAt    time.Duration // when the draining server ends at the earliest, 0 if unknown
}

type sentOffer struct {
	sequence uint64
	priority work.Priority
	demand   work.Demand
}

// free returns the capacity left for tasks of the priority, as far as the entry
// knows. Less urgent tasks queued at the agent do not count, since the agent starts
// more urgent tasks first.
func (a *agentState) free(p work.Priority) work.Demand {
	room := a.server.Capacity.Minus(a.used)
	for _, q := range a.queued {
		if q.Priority <= p {
			room = room.Minus(q.Demand)
		}
	}
	for _, o := range a.inFlight {
		if o.priority <= p {
			room = room.Minus(o.demand)
		}
	}
	return room
}

// cooldown is how long an agent gets no offers after it returned a task for a reason
// that its next room report will show.
const cooldown = 5 * time.Millisecond

func (a *agentState) taskReturned(now time.Duration, reason string) {
	if reason != "old" && reason != "stopped" {
		a.cooldownUntil = now + cooldown
	}
}

// maxUnansweredHeartbeats is the number of heartbeat intervals without an acknowledged
// heartbeat after which an agent gets no new work.
const maxUnansweredHeartbeats = 2

// responsive reports whether the agent is attached and has acknowledged a recent
// heartbeat.
func (c *Core) responsive(a *agentState) bool {
	return a.attached && c.now-a.ackedHeartbeatSentAt <= maxUnansweredHeartbeats*c.cfg.Terms.HeartbeatInterval
}

// AgentStatus is what the entry needs to know to choose the agents that it uses.
type AgentStatus struct {
	// Usable is true if the agent is attached and its backend server accepts tasks.
	Usable bool
	// Runs is the number of this entry's runs that the agent may hold.
	Runs int
}

// AgentStatus returns the status of an agent, which is zero if the core doesn't know it.
func (c *Core) AgentStatus(id ident.Incarnation) AgentStatus {
	a := c.agents[id]
	if a == nil {
		return AgentStatus{}
	}
	return AgentStatus{Usable: c.inService(a), Runs: len(a.runs)}
}

// noRoomAfter is how long a job must have waited before the entry counts as having no
// room: several times the pause between the ends of two tasks on a busy server.
const noRoomAfter = 100 * time.Millisecond

// NoRoom reports whether a job has waited for noRoomAfter without a first offer.
func (c *Core) NoRoom() bool {
	for _, j := range c.waiting {
		if !j.offered && c.now-j.arrived >= noRoomAfter {
			return true
		}
	}
	return false
}

func (c *Core) agentAttached(e AgentAttached) {
	a := c.agents[e.Agent]
	if a == nil {
		a = &agentState{id: e.Agent, address: e.Address, runs: map[work.Task]work.RunID{}}
		c.agents[e.Agent] = a
		at, _ := slices.BinarySearchFunc(c.order, a, compareAgents)
		c.order = slices.Insert(c.order, at, a)
	}
	a.attached = true
	a.lastMessage = c.now
	a.ackedHeartbeatSentAt = max(a.ackedHeartbeatSentAt, e.RequestedAt)
	a.inFlight, a.waits, a.endsAt = nil, nil, 0
	a.server = work.Server{}
	a.load, a.freeSince = agentLoad{}, nil
	c.countAgent(a)
	c.emit(LogMessage{Text: "agent attached", Agent: a.id})
	c.reconcile(a, e.Held)
}

func compareAgents(a, b *agentState) int { return cmp.Compare(a.id, b.id) }

// reconcile compares the runs that the agent holds with the entry's records. Runs
// that never reached the agent end as not started; runs that this entry no longer
// wants are stopped.
func (c *Core) reconcile(a *agentState, held []work.Run) {
	holds := make(map[work.Run]bool, len(held))
	var unwanted []work.Run
	for _, r := range held {
		holds[r] = true
		if id, known := a.runs[r.Task]; !known || id != r.ID {
			unwanted = append(unwanted, r)
		}
	}
	for _, task := range sortedTasks(a.runs) {
		run := work.Run{Task: task, ID: a.runs[task]}
		if !holds[run] {
			c.runEnded(RunEnded{Agent: a.id, Run: run, Outcome: work.NotStarted, Reason: "offer lost"})
		}
	}
	if len(unwanted) > 0 {
		c.emit(SendStops{Agent: a.id, Runs: unwanted})
	}
}

func sortedTasks(runs map[work.Task]work.RunID) []work.Task {
	list := make([]work.Task, 0, len(runs))
	for t := range runs {
		list = append(list, t)
	}
	slices.SortFunc(list, work.Task.Compare)
	return list
}

func (c *Core) agentDetached(e AgentDetached) {
	a := c.agents[e.Agent]
	if a == nil || !a.attached {
		return
	}
	a.attached = false
	a.server = work.Server{}
	c.countAgent(a)
	c.emit(LogMessage{Text: "agent detached", Agent: a.id, Reason: e.Reason, Age: c.now - a.lastMessage})
	if len(a.runs) == 0 {
		c.removeAgent(a)
	}
}

func (c *Core) removeAgent(a *agentState) {
	delete(c.agents, a.id)
	c.order = slices.DeleteFunc(c.order, func(o *agentState) bool { return o == a })
}

func (c *Core) agentRoomReported(e AgentRoomReported) {
	a := c.agents[e.Agent]
	if a == nil || !a.attached {
		return
	}
	if e.Server.Incarnation != a.server.Incarnation && e.Server.Incarnation != "" {
		a.speed, a.health = speed{}, health{}
		c.loseReplacedAgents(a)
	}
	before := a.server
	a.server, a.endsAt = e.Server, c.serverEnd(&e.Server)
	if !a.counted.usable || before.Service != e.Server.Service || before.Capacity != e.Server.Capacity || !c.inService(a) {
		c.countAgent(a)
	}
	a.used = e.Used
	a.queued = e.Queued
	a.checkWaiting(e.Queued, e.LastOfferIncluded)
	c.speedReported(a, e)
	c.offersProcessed(a, e.LastOfferIncluded)
}

// offersProcessed drops the offers up to the sequence from those in flight: the newest room
// report includes what they use, which is nothing if the agent has refused them.
func (c *Core) offersProcessed(a *agentState, last uint64) {
	a.inFlight = slices.DeleteFunc(a.inFlight, func(o sentOffer) bool { return o.sequence <= last })
	c.recordFree(a)
}

// loseReplacedAgents ends, as lost, the runs of detached agents at the same address. An
// agent takes its backend server into use only after all runs of its predecessors have
// ended.
func (c *Core) loseReplacedAgents(replacement *agentState) {
	for _, a := range slices.Clone(c.order) {
		if a != replacement && a.address == replacement.address && !a.attached {
			c.loseRuns(a, "agent replaced")
		}
	}
}

func (c *Core) agentMessageReceived(e AgentMessageReceived) {
	if a := c.agents[e.Agent]; a != nil && a.attached {
		a.lastMessage = c.now
		a.ackedHeartbeatSentAt = max(a.ackedHeartbeatSentAt, e.AckedHeartbeatSentAt)
		if e.LastOfferIncluded > 0 {
			c.offersProcessed(a, e.LastOfferIncluded)
		}
	}
}

// expireAgents ends, as lost, the runs of detached agents whose leases have expired.
func (c *Core) expireAgents() {
	for _, a := range slices.Clone(c.order) {
		if !a.attached && c.now-a.lastMessage > c.cfg.Terms.MaxRunAfterEntryLoss() {
			c.loseRuns(a, "lease of the agent over")
		}
	}
}

// loseRuns ends every run of an agent as lost and removes the agent.
func (c *Core) loseRuns(a *agentState, reason string) {
	for _, task := range sortedTasks(a.runs) {
		run := work.Run{Task: task, ID: a.runs[task]}
		c.runEnded(RunEnded{Agent: a.id, Run: run, Outcome: work.Lost, Reason: reason})
	}
	c.removeAgent(a)
}
