package schedule

import (
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/work"
)

// dispatch offers waiting tasks, in order, while agents have room. It stops for a
// service at the first task that finds no room, so that no less urgent task takes the
// room that a more urgent one waits for.
func (c *Core) dispatch() {
	if len(c.waiting) == 0 {
		return
	}
	c.refreshSpeeds()
	c.findCandidates()
	full := map[ident.Service]bool{}
	for _, j := range slices.Clone(c.waiting) {
		if len(c.candidates) == 0 {
			return
		}
		if full[j.Route.Service] {
			continue
		}
		if c.dispatchJob(j) == noRoom {
			full[j.Route.Service] = true
		}
	}
}

// findCandidates collects the agents that have room for at least some task.
func (c *Core) findCandidates() {
	c.candidates = c.candidates[:0]
	for _, a := range c.order {
		if !c.acceptsOffers(a) {
			continue
		}
		free := a.free(c.mostUrgent)
		if free.CPUMilli > 0 || free.CPUMilli == 0 && c.mayQueueAtAgent(a.server.Service, c.mostUrgent) {
			c.candidates = append(c.candidates, a)
		}
	}
}

// searchResult is the result of the search for an agent.
type searchResult int

const (
	// agentFound: an agent was chosen.
	agentFound searchResult = iota
	// noRoom: no agent has room.
	noRoom
	// tooSlow: only agents with slow backend servers have room, where the task would be
	// late, while it could still end in time on another agent.
	tooSlow
	// notAlone: the task has to run alone, and no backend server may be emptied for it now.
	notAlone
	// enoughPlaced: so many tasks of the job are placed that the others wait for their ends.
	enoughPlaced
)

// Bounds for tasks that need little or nothing, of which capacity allows any number. The search
// for an agent takes time in proportion to the offers in flight.
const (
	// maxPlaced is how many tasks of a job may be placed at the same time: those of the largest
	// job that is expected.
	maxPlaced = 1000
	// maxInFlight is how many offers may be in flight to an agent: many more than fit a backend
	// server within a round trip.
	maxInFlight = 512
)

// dispatchJob offers the waiting tasks of a job until one finds no agent.
func (c *Core) dispatchJob(j *jobState) searchResult {
	offers := map[*agentState][]OfferedTask{}
	result := agentFound
	remaining := false
	for s := range j.steps {
		if !j.ready(s) {
			remaining = true
			continue
		}
		st := &j.steps[s]
		for st.next < len(st.tasks) && result == agentFound {
			t := &st.tasks[st.next]
			if t.phase == taskWaiting {
				if j.placed >= maxPlaced {
					result = enoughPlaced
					break
				}
				var a *agentState
				if a, result = c.chooseWithReserve(j, s, t); result != agentFound {
					break
				}
				c.place(j, s, st.next, a, offers)
			}
			st.next++
		}
		remaining = remaining || st.next < len(st.tasks)
	}
	c.send(j, offers)
	c.countBacklog(j)
	if !remaining || !c.anyReady(j) {
		c.dequeue(j)
	}
	return result
}

// anyReady reports whether some waiting task could be offered now.
func (c *Core) anyReady(j *jobState) bool {
	for s := range j.steps {
		if j.ready(s) && j.steps[s].next < len(j.steps[s].tasks) {
			return true
		}
	}
	return false
}

func (c *Core) place(j *jobState, step, index int, a *agentState, offers map[*agentState][]OfferedTask) {
	t := &j.steps[step].tasks[index]
	t.phase = taskPlaced
	t.run++
	t.agent = a
	t.placedAt = c.now
	j.placed++
	task := work.Task{Job: j.ID, Step: step, Index: index}
	demand := j.Steps[step].Demand
	if t.runsAlone() {
		demand = a.server.Capacity
	}
	a.runs[task] = t.run
	c.noteRack(j.Steps[step].Near)
	offer := OfferedTask{
		Run: work.Run{Task: task, ID: t.run}, Demand: demand,
		Expected: c.expectedTask(j.Route.Name, &j.Steps[step]),
		Slack:    j.targetEnd - j.expected - c.now, Estimate: j.Steps[step].Estimate,
	}
	a.noteWaiting(&offer, j.Route.Priority)
	a.inFlight = append(a.inFlight, sentOffer{sequence: a.sequence + 1, priority: j.Route.Priority, demand: demand})
	c.recordFree(a)
	offers[a] = append(offers[a], offer)
	c.recordOccupancy(j.Route.Service, demand, offer.Expected)
	if !j.offered {
		j.offered = true
		j.firstOffer = c.now
		c.plans.unsorted = true
	}
	j.runs++
	c.placed.add(j.Route.Priority, c.now, c.cpuWork(j, step))
}

func (c *Core) send(j *jobState, offers map[*agentState][]OfferedTask) {
	for _, a := range c.order {
		tasks := offers[a]
		if len(tasks) == 0 {
			continue
		}
		a.sequence++
		c.emit(SendOffers{
			Agent: a.id, Sequence: a.sequence, Job: j.ID, Spec: j.Spec,
			Server: a.server.Incarnation, Service: j.Route.Service, Priority: j.Route.Priority, Route: j.Route.Name, Tasks: tasks,
		})
	}
}

// choose returns the agent at which the task is expected to end first or, while the
// speeds of the backend servers are apart, the one that chooseBySlack finds.
//
// A slow backend server on which the task would be late is not used while the task
// can still end in time on another one that has no room yet.
func (c *Core) choose(j *jobState, step int, t *taskState) (*agentState, searchResult) {
	s := &j.Steps[step]
	if t.runsAlone() {
		return c.chooseAlone(j, s)
	}
	expected := c.expectedTask(j.Route.Name, s)
	if f := c.speedsOf(j.Route.Service); f.apart && j.hasObjective() {
		return c.chooseBySlack(f, j, s, t, expected)
	}
	timeLeft := j.targetEnd - c.now
	var best, free option
	for _, a := range c.candidates {
		if !c.usable(a, j, s) {
			continue
		}
		cost, ok := c.cost(a, j.Route.Priority, s, expected)
		if !ok || !c.mayWaitAt(a, j, s, expected) {
			continue
		}
		o := option{agent: a, cost: cost + c.penalty(a, t)}
		if o.faster(best) {
			best = o
		}
		if !o.waits(j.Route.Priority, s) && o.faster(free) {
			free = o
		}
	}
	if best.agent == nil {
		return nil, noRoom
	}
	// A wait at an agent is uncertain, and a job is as late as the last of its tasks.
	if free.agent != nil && free.cost <= timeLeft {
		best = free
	}
	slow := best.agent.speed.factor() >= slowPace && !best.agent.speed.trialDue(c.now, len(best.agent.runs))
	if best.cost > timeLeft && !j.late && slow && c.inTimeElsewhere(j, s, expected, timeLeft) {
		return nil, tooSlow
	}
	return best.agent, agentFound
}

// penalty returns what is added to the cost of an agent for the task.
func (c *Core) penalty(a *agentState, t *taskState) time.Duration {
	if t.avoid == a.id || t.suspect() && c.holdsSuspect(a) {
		return avoidPenalty
	}
	return 0
}

// speedClass is the ratio of speeds within which servers count as equally fast. The
// errors of their figures are of this size.
const speedClass = 1.15

// slowShare is the part of the useful time left within which a task of a late job must be
// expected to end for it to be placed on a slow server by choice. Estimates are off by up to
// 40 %, so with a smaller margin many of these tasks would be late.
const slowShare = 0.55

// option is a way to place a task: an agent with room, and what speaks for it.
type option struct {
	agent *agentState
	cost  time.Duration
	// class is the server's speed as a power of speedClass.
	class int
}

// faster reports whether the option is better because its task ends first.
func (o option) faster(than option) bool { return than.agent == nil || o.cost < than.cost }

// waits reports whether a task of the step would have to wait at the agent.
func (o option) waits(p work.Priority, s *Step) bool { return !s.Demand.Fits(o.agent.free(p)) }

// slower reports whether the option is better because it uses the slowest server, or
// among equally slow ones that on which the task ends first.
func (o option) slower(than option) bool {
	if than.agent == nil || o.class != than.class {
		return than.agent == nil || o.class > than.class
	}
	return o.cost < than.cost
}

// chooseBySlack chooses the agent for a task while the speeds of the servers are apart.
//
// A task that can end in time on some server with room takes the one where it ends first; it
// waits at an agent only if there is none. It doesn't leave fast capacity to others by taking
// a slow server: the slow ones filled up first, tasks waited at their agents, and fewer jobs
// were in time. A task that only slow servers have room for and that is late there, yet in
// time on a server without room, waits. A task of a job that is already late takes
// the slowest server on which it is still of use, so that no other job becomes late
// because of it. A task that is expected to be a little late everywhere takes the server
// where it ends first, since it may still end in time.
func (c *Core) chooseBySlack(f *fleetSpeeds, j *jobState, s *Step, t *taskState, expected time.Duration) (*agentState, searchResult) {
	timeLeft := j.targetEnd - c.now
	usefulLeft := lateFactor*(j.targetEnd-j.arrived) - (c.now - j.arrived)
	late := j.late || timeLeft <= 0
	var first, inTime, free, useful option
	for _, a := range c.candidates {
		if !c.usable(a, j, s) {
			continue
		}
		cost, ok := c.cost(a, j.Route.Priority, s, expected)
		if !ok || !c.mayWaitAt(a, j, s, expected) {
			continue
		}
		o := option{agent: a, cost: cost, class: a.speed.class()}
		if p := c.penalty(a, t); p > 0 {
			o.cost, o.class = cost+p, math.MinInt
		}
		if o.faster(first) {
			first = o
		}
		end := c.runTime(a, s, expected)
		if end <= timeLeft && o.faster(inTime) {
			inTime = o
		}
		if end <= timeLeft && !o.waits(j.Route.Priority, s) && o.faster(free) {
			free = o
		}
		if float64(end) <= slowShare*float64(usefulLeft) && o.slower(useful) {
			useful = o
		}
	}
	switch {
	case first.agent == nil:
		return nil, noRoom
	case free.agent != nil && !late:
		return free.agent, agentFound
	case inTime.agent != nil && !late:
		return inTime.agent, agentFound
	case !late && first.agent.speed.factor() > f.fastLimit && !first.agent.speed.trialDue(c.now, len(first.agent.runs)) && c.inTimeElsewhere(j, s, expected, timeLeft):
		return nil, tooSlow
	case late && useful.agent != nil:
		return useful.agent, agentFound
	}
	return first.agent, agentFound
}

// inTimeElsewhere reports whether some agent, with room or without, would end the
// task in time if it started it now.
func (c *Core) inTimeElsewhere(j *jobState, s *Step, expected, timeLeft time.Duration) bool {
	for _, a := range c.order {
		if c.acceptsOffers(a) && c.usable(a, j, s) && time.Duration(float64(expected)*a.speed.factor()) <= timeLeft {
			return true
		}
	}
	return false
}

// avoidPenalty is added to the cost of an agent at which the task failed, and to the cost
// of one with another suspect task for a suspect one, so that any other agent with room is
// preferred.
const avoidPenalty = time.Minute

// acceptsOffers reports whether the agent may be offered tasks now.
func (c *Core) acceptsOffers(a *agentState) bool {
	if !c.responsive(a) || a.server.Incarnation == "" || a.server.Draining || c.now < a.cooldownUntil {
		return false
	}
	return !c.operator.IsWithdrawn(a.server.Domain)
}

// usable reports whether the agent's backend server can run the task and is healthy
// enough for it.
func (c *Core) usable(a *agentState, j *jobState, s *Step) bool {
	if a.server.Service != j.Route.Service || !a.health.mayTake(c.now, len(a.runs)) {
		return false
	}
	return s.Requires == "" || slices.Contains(a.server.Labels, s.Requires)
}

// loadWeight is the share of a task's time that is added to the cost of a full
// backend server over an empty one. It spreads work, so that fewer tasks are affected
// when one server fails.
const loadWeight = 0.2

// cost returns the expected time from now until the task ends at the agent. ok is
// false if the agent has no room for it.
func (c *Core) cost(a *agentState, p work.Priority, s *Step, expected time.Duration) (cost time.Duration, ok bool) {
	if len(a.inFlight) >= maxInFlight {
		return 0, false
	}
	free := a.free(p)
	room := free
	if c.mayQueueAtAgent(a.server.Service, p) {
		room = free.Plus(s.Demand)
	}
	if !s.Demand.Fits(room) || !s.Demand.Fits(a.server.Capacity) {
		return 0, false
	}
	d := float64(c.runTime(a, s, expected))
	if capacity := a.server.Capacity.CPUMilli; capacity > 0 {
		used := float64(capacity-free.CPUMilli) / float64(capacity)
		d *= 1 + loadWeight*used
	}
	if !s.Demand.Fits(free) {
		d += float64(expected) * queueWaitShare
	}
	return time.Duration(d), true
}

// runTime returns how long the task is expected to run at the agent.
func (c *Core) runTime(a *agentState, s *Step, expected time.Duration) time.Duration {
	d := float64(expected) * a.speed.factor()
	if s.Near != "" && !slices.Contains(a.server.Labels, s.Near) {
		d *= c.cfg.RemoteFactor
	}
	return time.Duration(d)
}

// priorities returns the most and the least urgent priority of all routes.
func priorities(m *operator.Manifest) (first, last work.Priority) {
	if m == nil || len(m.Routes) == 0 {
		return 0, 0
	}
	first, last = m.Routes[0].Priority, m.Routes[0].Priority
	for i := range m.Routes {
		first = min(first, m.Routes[i].Priority)
		last = max(last, m.Routes[i].Priority)
	}
	return first, last
}

// queueWaitShare is the part of a task's time that the one task queued at a full agent
// is expected to wait. It is small because the first of the many tasks that run there
// ends soon.
const queueWaitShare = 0.25
