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
	// inFlight are offers that the agent's last room didn't count yet.
	inFlight []sentOffer
	sequence uint64
	// heard is when the agent's newest word was worked off. No lease counts from
	// later.
	heard time.Duration
	// taken is when the newest heartbeat that the agent has taken was sent.
	taken time.Duration
	// runs are the runs of this entry that the agent may hold.
	runs map[work.Task]work.RunID
	// cooling is until when the agent gets nothing, after it has returned work.
	cooling time.Duration
	speed   speed
	health  health
}

type sentOffer struct {
	sequence uint64
	priority work.Priority
	demand   work.Demand
}

// free is the room that is left for tasks of the priority, as far as the entry
// knows. What waits at the agent and is less urgent doesn't count, since the agent
// starts the more urgent first.
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

// coolTime is how long an agent gets nothing after it has returned a task for a
// reason that its next room will tell.
const coolTime = 5 * time.Millisecond

func (a *agentState) returned(now time.Duration, reason string) {
	if reason != "old" && reason != "stopped" {
		a.cooling = now + coolTime
	}
}

// silentBeats is after how many heartbeats without an answer an agent gets no
// new work.
const silentBeats = 2

// fresh reports whether the agent has answered lately.
func (c *Core) fresh(a *agentState) bool {
	return a.attached && c.now-a.taken <= silentBeats*c.cfg.Terms.Beat
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
	a.heard = c.now
	a.taken = max(a.taken, e.Asked)
	a.inFlight = nil
	a.server = work.Server{}
	c.do(Noted{Event: "agent attached", Agent: a.id})
	c.reconcile(a, e.Held)
}

func compareAgents(a, b *agentState) int { return cmp.Compare(a.id, b.id) }

// reconcile takes back the runs that never arrived at the agent, and stops those
// that it holds in vain.
func (c *Core) reconcile(a *agentState, held []work.Run) {
	holds := make(map[work.Run]bool, len(held))
	var stray []work.Run
	for _, r := range held {
		holds[r] = true
		if id, mine := a.runs[r.Task]; !mine || id != r.ID {
			stray = append(stray, r)
		}
	}
	for _, task := range sortedTasks(a.runs) {
		run := work.Run{Task: task, ID: a.runs[task]}
		if !holds[run] {
			c.runEnded(RunEnded{Agent: a.id, Run: run, Outcome: work.NotStarted, Reason: "offer lost"})
		}
	}
	if len(stray) > 0 {
		c.do(SendStops{Agent: a.id, Runs: stray})
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
	c.do(Noted{Event: "agent detached", Agent: a.id, Reason: e.Reason, Age: c.now - a.heard})
	if len(a.runs) == 0 {
		c.forget(a)
	}
}

func (c *Core) forget(a *agentState) {
	delete(c.agents, a.id)
	c.order = slices.DeleteFunc(c.order, func(o *agentState) bool { return o == a })
}

func (c *Core) agentRoom(e AgentRoom) {
	a := c.agents[e.Agent]
	if a == nil || !a.attached {
		return
	}
	if e.Server.Incarnation != a.server.Incarnation && e.Server.Incarnation != "" {
		a.speed, a.health = speed{}, health{}
		c.succeed(a)
	}
	a.server = e.Server
	a.used = e.Used
	a.queued = e.Queued
	a.speed.tell(e.Pace)
	a.inFlight = slices.DeleteFunc(a.inFlight, func(o sentOffer) bool { return o.sequence <= e.Taken })
}

// succeed ends the runs of earlier agents at the same address: an agent takes its
// backend server into use only after everything older there has ended.
func (c *Core) succeed(next *agentState) {
	for _, a := range slices.Clone(c.order) {
		if a != next && a.address == next.address && !a.attached {
			c.loseRuns(a, "agent replaced")
		}
	}
}

func (c *Core) agentHeard(e AgentHeard) {
	if a := c.agents[e.Agent]; a != nil && a.attached {
		a.heard = c.now
		a.taken = max(a.taken, e.Taken)
	}
}

// expireAgents ends the runs of agents that are gone once their leases are over.
func (c *Core) expireAgents() {
	for _, a := range slices.Clone(c.order) {
		if !a.attached && c.now-a.heard > c.cfg.Terms.Gone() {
			c.loseRuns(a, "lease of the agent over")
		}
	}
}

// loseRuns takes back every run of an agent that is gone, and forgets it.
func (c *Core) loseRuns(a *agentState, reason string) {
	for _, task := range sortedTasks(a.runs) {
		run := work.Run{Task: task, ID: a.runs[task]}
		c.runEnded(RunEnded{Agent: a.id, Run: run, Outcome: work.Lost, Reason: reason})
	}
	c.forget(a)
}
