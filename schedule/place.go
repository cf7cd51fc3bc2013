package schedule

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/work"
)

// dispatch offers waiting tasks, in order, while there is room. It stops for a
// service at the first task that finds none, so that no less urgent task takes
// the room that a more urgent one waits for.
func (c *Core) dispatch() {
	if len(c.waiting) == 0 {
		return
	}
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

// findCandidates notes the agents that have room for anything at all.
func (c *Core) findCandidates() {
	c.candidates = c.candidates[:0]
	for _, a := range c.order {
		if !c.mayStart(a) {
			continue
		}
		free := a.free(c.first)
		if free.CPUMilli > 0 || c.overtakes(c.first) && free.CPUMilli == 0 {
			c.candidates = append(c.candidates, a)
		}
	}
}

// found is what the search for an agent came to.
type found int

const (
	// placed: there is an agent.
	placed found = iota
	// noRoom: no agent has room.
	noRoom
	// tooSlow: there is room only where the task would be late, while elsewhere it
	// could still end in time.
	tooSlow
)

// dispatchJob offers the waiting tasks of a job until one finds no agent.
func (c *Core) dispatchJob(j *jobState) found {
	offers := map[*agentState][]OfferedTask{}
	result := placed
	left := false
	for s := range j.steps {
		if !j.ready(s) {
			left = true
			continue
		}
		st := &j.steps[s]
		for st.next < len(st.tasks) && result == placed {
			t := &st.tasks[st.next]
			if t.phase == taskWaiting {
				var a *agentState
				if a, result = c.choose(j, s, t); result != placed {
					break
				}
				c.place(j, s, st.next, a, offers)
			}
			st.next++
		}
		left = left || st.next < len(st.tasks)
	}
	c.send(j, offers)
	if !left || !c.anyReady(j) {
		c.dequeue(j)
	}
	return result
}

// anyReady reports whether a task waits that could be offered now.
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
	t.placed = c.now
	task := work.Task{Job: j.ID, Step: step, Index: index}
	demand := j.Steps[step].Demand
	a.runs[task] = t.run
	a.inFlight = append(a.inFlight, sentOffer{sequence: a.sequence + 1, priority: j.Route.Priority, demand: demand})
	offers[a] = append(offers[a], OfferedTask{
		Run: work.Run{Task: task, ID: t.run}, Demand: demand,
		Expected: c.expectedTask(j.Route.Name, &j.Steps[step]),
	})
	if !j.offered {
		j.offered = true
		j.first = c.now
	}
	j.runs++
	c.placed.add(j.Route.Priority, c.now, c.effort(j, step))
}

func (c *Core) send(j *jobState, offers map[*agentState][]OfferedTask) {
	for _, a := range c.order {
		tasks := offers[a]
		if len(tasks) == 0 {
			continue
		}
		a.sequence++
		c.do(SendOffers{
			Agent: a.id, Sequence: a.sequence, Job: j.ID, Spec: j.Spec,
			Service: j.Route.Service, Priority: j.Route.Priority, Tasks: tasks,
		})
	}
}

// choose returns the agent at which the task is expected to end first.
//
// A slow backend server is left alone while the task can still end in time on
// another one that has no room yet: on the slow one it would surely be late.
func (c *Core) choose(j *jobState, step int, t *taskState) (*agentState, found) {
	s := &j.Steps[step]
	expected := c.expectedTask(j.Route.Name, s)
	var best *agentState
	var bestCost time.Duration
	for _, a := range c.candidates {
		if !c.usable(a, j, s) {
			continue
		}
		cost, ok := c.cost(a, j.Route.Priority, s, expected)
		if !ok {
			continue
		}
		if t.avoid == a.id {
			cost += avoidPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = a, cost
		}
	}
	if best == nil {
		return nil, noRoom
	}
	left := j.aim - c.now
	slow := best.speed.factor() >= slowPace && !best.speed.trialDue(c.now, len(best.runs))
	if bestCost > left && !j.late && slow && c.inTimeElsewhere(j, s, expected, left) {
		return nil, tooSlow
	}
	return best, placed
}

// inTimeElsewhere reports whether some agent, with room or without, would end the
// task in time if it started it now.
func (c *Core) inTimeElsewhere(j *jobState, s *Step, expected, left time.Duration) bool {
	for _, a := range c.order {
		if c.mayStart(a) && c.usable(a, j, s) && time.Duration(float64(expected)*a.speed.factor()) <= left {
			return true
		}
	}
	return false
}

// avoidPenalty sends a task that failed at an agent elsewhere if anything else
// has room.
const avoidPenalty = time.Minute

// mayStart reports whether the agent may get any task now.
func (c *Core) mayStart(a *agentState) bool {
	if !c.fresh(a) || a.server.Incarnation == "" || a.server.Draining || c.now < a.cooling {
		return false
	}
	return !c.operator.IsWithdrawn(a.server.Domain)
}

// usable reports whether the agent's backend server can run the task, and may be
// trusted with it.
func (c *Core) usable(a *agentState, j *jobState, s *Step) bool {
	if a.server.Service != j.Route.Service || !a.health.mayTake(c.now, len(a.runs)) {
		return false
	}
	return s.Requires == "" || slices.Contains(a.server.Labels, s.Requires)
}

// loadWeight is the share of a task's time by which a full backend server is
// taken for slower than an empty one. It spreads work, so that fewer tasks are
// hit when one server fails.
const loadWeight = 0.2

// cost is when the task is expected to end at the agent, from now. ok is false if
// the agent has no room for it.
func (c *Core) cost(a *agentState, p work.Priority, s *Step, expected time.Duration) (cost time.Duration, ok bool) {
	free := a.free(p)
	room := free
	if c.overtakes(p) {
		room = free.Plus(s.Demand)
	}
	if !s.Demand.Fits(room) || !s.Demand.Fits(a.server.Capacity) {
		return 0, false
	}
	d := float64(expected) * a.speed.factor()
	if s.Near != "" && !slices.Contains(a.server.Labels, s.Near) {
		d *= c.cfg.RemoteFactor
	}
	if capacity := a.server.Capacity.CPUMilli; capacity > 0 {
		used := float64(capacity-free.CPUMilli) / float64(capacity)
		d *= 1 + loadWeight*used
	}
	if !s.Demand.Fits(free) {
		d += float64(expected) * queueShare
	}
	return time.Duration(d), true
}

// overtakes reports whether a task of the priority may wait at an agent: only the
// most urgent do, and only where others are less urgent. There they get the next
// room before whatever other entries hold back. All other tasks wait at their
// entry, which can still place them wherever room comes first.
func (c *Core) overtakes(p work.Priority) bool { return p == c.first && c.first < c.last }

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

// queueShare is the part of a task's time that the one task which waits at a full
// agent is expected to wait: of many tasks that run there, the first ends soon.
const queueShare = 0.25
