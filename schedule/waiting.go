package schedule

import (
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// mayQueueAtAgent reports whether a task of the priority may wait at an agent. Tasks of
// all priorities but the least urgent of the service may: they get the next free room at
// the agent ahead of the less urgent tasks that other entries still hold. The least urgent
// ones wait at their entry, which can place them wherever room becomes free first.
//
// The most urgent priority of all routes may also if its service has no other.
func (c *Core) mayQueueAtAgent(service ident.Service, p work.Priority) bool {
	return p < c.leastUrgentOf[service] || p == c.mostUrgent && c.mostUrgent < c.leastUrgent
}

// leastUrgentByService returns the largest priority number of the routes of each service.
func leastUrgentByService(m *operator.Manifest) map[ident.Service]work.Priority {
	if m == nil {
		return nil
	}
	least := map[ident.Service]work.Priority{}
	for i := range m.Routes {
		r := &m.Routes[i]
		if known, ok := least[r.Service]; !ok || r.Priority > known {
			least[r.Service] = r.Priority
		}
	}
	return least
}

// occupancyWindow is the time constant of the mean run time: about the longest common run
// time, so that tasks that hold room for long count with their share of the capacity.
const occupancyWindow = time.Second

// occupancy tells how long placed tasks are expected to hold the capacity that they use.
// Both sums decay.
type occupancy struct {
	cpuWork float64 // CPU demand x expected run time, in millicore-nanoseconds
	cpu     float64 // CPU demand, in thousandths of a core
	at      time.Duration
}

func (o *occupancy) add(now time.Duration, cpuMilli int64, expected time.Duration) {
	decay := math.Exp(-float64(now-o.at) / float64(occupancyWindow))
	o.cpuWork = o.cpuWork*decay + float64(cpuMilli)*float64(expected)
	o.cpu = o.cpu*decay + float64(cpuMilli)
	o.at = now
}

// meanRunTime returns the run time, averaged over the CPU demand of the tasks that were
// placed recently, or the given one if there were none. Used capacity divided by it is the
// rate at which capacity becomes free.
func (o *occupancy) meanRunTime(otherwise time.Duration) time.Duration {
	if o == nil || o.cpu <= 0 {
		return otherwise
	}
	return time.Duration(o.cpuWork / o.cpu)
}

// recordOccupancy counts a task that is offered now.
func (c *Core) recordOccupancy(service ident.Service, demand work.Demand, expected time.Duration) {
	if c.occupancy == nil {
		c.occupancy = map[ident.Service]*occupancy{}
	}
	o := c.occupancy[service]
	if o == nil {
		o = &occupancy{at: c.now}
		c.occupancy[service] = o
	}
	o.add(c.now, demand.CPUMilli, expected)
}

// expectedWaitAt returns how long a task is expected to wait at the agent until its CPU
// demand is free, given the capacity that is free for its priority: the rest has to be freed
// by what runs there.
func (c *Core) expectedWaitAt(a *agentState, demand, free work.Demand, expected time.Duration) time.Duration {
	if demand.Fits(free) {
		return 0
	}
	missing := float64(max(demand.CPUMilli-free.CPUMilli, 0))
	mean := float64(c.occupancy[a.server.Service].meanRunTime(expected)) * a.speed.factor()
	return time.Duration(missing * mean / float64(max(a.used.CPUMilli, 1)))
}

// mayWaitAt reports whether a task fits into the free room of the agent or is expected to
// wait there for less than its slack. A job without a latency objective has no such bound. A
// late job has no slack, so its tasks wait at their entry. For the most urgent priority the
// slack of a late job reaches to the latest start with which the answer is still of use,
// since at the entry its tasks would lose the room that becomes free at the agents to less
// urgent tasks of other entries.
func (c *Core) mayWaitAt(a *agentState, j *jobState, s *Step, expected time.Duration) bool {
	free := a.free(j.Route.Priority)
	if s.Demand.Fits(free) || !j.hasObjective() {
		return true
	}
	slack := j.targetEnd - j.expected - c.now
	if slack <= 0 && j.Route.Priority == c.mostUrgent {
		slack = j.arrived + j.usefulWait() - c.now
	}
	return c.expectedWaitAt(a, s.Demand, free, expected) < slack
}

// waitingRun is a run that was offered to an agent without free room for it, and that
// waits there as far as the agent has told.
type waitingRun struct {
	run      work.Run
	priority work.Priority
	demand   work.Demand
	offer    uint64 // sequence of its offer
	// slack is the time that was left until the latest start of its job when it was offered.
	slack time.Duration
}

// noteWaiting records an offer that doesn't fit into the agent's free room.
func (a *agentState) noteWaiting(task *OfferedTask, p work.Priority) {
	if !task.Demand.Fits(a.free(p)) {
		a.waits = append(a.waits, waitingRun{run: task.Run, priority: p, demand: task.Demand, offer: a.sequence + 1, slack: task.Slack})
	}
}

// checkWaiting compares the runs that may wait at the agent with the demand that it reports
// as waiting. Reports name no runs, so a run counts as waiting only while every report since
// its offer shows just the demand of this entry's waiting runs of its priority. If the
// figures differ, some run has started or tasks of other entries wait there as well. No run
// of that priority is then taken back, since it may be under way.
func (a *agentState) checkWaiting(queued []run.QueuedDemand, lastOffer uint64) {
	if len(a.waits) == 0 {
		return
	}
	reported, own := map[work.Priority]work.Demand{}, map[work.Priority]work.Demand{}
	for _, q := range queued {
		reported[q.Priority] = q.Demand
	}
	a.waits = slices.DeleteFunc(a.waits, func(w waitingRun) bool { return a.runs[w.run.Task] != w.run.ID })
	for _, w := range a.waits {
		if w.offer <= lastOffer {
			own[w.priority] = own[w.priority].Plus(w.demand)
		}
	}
	a.waits = slices.DeleteFunc(a.waits, func(w waitingRun) bool {
		return w.offer <= lastOffer && own[w.priority] != reported[w.priority]
	})
}

// takeBackShare is the part of its slack after which a task that waits at an agent is taken
// back if another agent has room. The other half is left for the stop and the new start.
const takeBackShare = 0.5

// takeBackWaiting stops runs that have waited at their agents for too long while other
// agents have room. Their tasks start there once the agents report the end.
func (c *Core) takeBackWaiting() {
	for _, a := range c.order {
		if !a.attached {
			continue
		}
		for _, w := range slices.Clone(a.waits) {
			c.takeBackIfLong(a, w)
		}
	}
}

func (c *Core) takeBackIfLong(a *agentState, w waitingRun) {
	if slices.ContainsFunc(a.inFlight, func(o sentOffer) bool { return o.sequence == w.offer }) {
		return // the agent has not told yet whether the run waits
	}
	j, t := c.findRun(a.id, w.run)
	if t == nil || t.stopping {
		return
	}
	waited := c.now - t.placedAt
	if float64(waited) <= takeBackShare*float64(w.slack) || !c.freeElsewhere(a, j, w.run.Task.Step) {
		return
	}
	a.waits = slices.DeleteFunc(a.waits, func(o waitingRun) bool { return o.run == w.run })
	c.takenBack++
	c.reassign(t, w.run, "task waits at a full agent while another one has room; taking it back")
}

// freeElsewhere reports whether another agent has free room for a task of the step and
// would, unless the job is late anyway, end it in time.
func (c *Core) freeElsewhere(full *agentState, j *jobState, step int) bool {
	s := &j.Steps[step]
	expected := float64(c.expectedTask(j.Route.Name, s))
	timeLeft := float64(j.targetEnd - c.now - reassignMargin)
	for _, a := range c.order {
		if a == full || !c.acceptsOffers(a) || !c.usable(a, j, s) || !s.Demand.Fits(a.free(j.Route.Priority)) {
			continue
		}
		if inTime := expected*a.speed.factor() <= timeLeft; inTime || expected > timeLeft {
			return true
		}
	}
	return false
}
