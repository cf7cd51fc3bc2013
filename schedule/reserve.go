package schedule

import (
	"slices"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/overload"
	"foxtaildock.example/dock/work"
)

// serviceNeeds are the needs of the jobs of a service, by priority.
type serviceNeeds struct {
	priorities []work.Priority // rising
	needs      []*overload.Needs
}

// reservations decide how much free capacity less urgent tasks leave to more urgent ones.
type reservations struct {
	services map[ident.Service]*serviceNeeds
	// held counts the searches for room that ended because the room is reserved.
	held uint64
}

func (s *serviceNeeds) of(p work.Priority) *overload.Needs {
	if i, found := slices.BinarySearch(s.priorities, p); found {
		return s.needs[i]
	}
	return nil
}

// recordNeed counts what an arriving job needs at once. Nothing is kept for the least
// urgent priority, for which no work leaves room.
func (c *Core) recordNeed(j *jobState) {
	p := j.Route.Priority
	if p >= c.leastUrgent {
		return
	}
	s := c.reserve.services[j.Route.Service]
	if s == nil {
		s = &serviceNeeds{}
		c.reserve.services[j.Route.Service] = s
	}
	n := s.of(p)
	if n == nil {
		n = &overload.Needs{}
		at, _ := slices.BinarySearch(s.priorities, p)
		s.priorities = slices.Insert(s.priorities, at, p)
		s.needs = slices.Insert(s.needs, at, n)
	}
	n.Record(needAtOnce(&j.Job))
}

// needAtOnce returns the CPU demand of the tasks of a job that can start together: those
// of its first steps, or those of its widest step if that needs more.
func needAtOnce(j *Job) overload.Need {
	var need overload.Need
	var first, widest int64
	for i := range j.Steps {
		s := &j.Steps[i]
		all := int64(s.Count) * s.Demand.CPUMilli
		if len(s.After) == 0 {
			first += all
		}
		widest = max(widest, all)
		need.TaskMilli = max(need.TaskMilli, s.Demand.CPUMilli)
	}
	need.Milli = max(first, widest)
	return need
}

// shortage records that a task of the job found too little free capacity.
func (c *Core) shortage(j *jobState) {
	if s := c.reserve.services[j.Route.Service]; s != nil {
		if n := s.of(j.Route.Priority); n != nil {
			n.Shortage(c.now)
		}
	}
}

// reservedFor returns the largest need of the more urgent priorities of a service. It is
// zero unless one of them found too little free capacity within the last second.
func (c *Core) reservedFor(service ident.Service, p work.Priority) overload.Need {
	s := c.reserve.services[service]
	if s == nil {
		return overload.Need{}
	}
	var largest overload.Need
	short := false
	for i, other := range s.priorities {
		if other >= p {
			break
		}
		short = short || s.needs[i].Short(c.now)
		if need := s.needs[i].Large(); need.Milli > largest.Milli {
			largest = need
		}
	}
	if !short {
		return overload.Need{}
	}
	return largest
}

// leavesRoom reports whether enough stays free for more urgent work once a task of the job
// has taken its demand. Only work that can't wait at agents leaves room: the order of the
// agents' queues decides between the priorities that can. The room of the agents that the entry sees counts in whole tasks of
// the more urgent job, since what is left over on each server is of no use to it.
func (c *Core) leavesRoom(j *jobState, demand work.Demand) bool {
	if c.mayQueueAtAgent(j.Route.Service, j.Route.Priority) {
		return true
	}
	need := c.reservedFor(j.Route.Service, j.Route.Priority)
	if need.Milli == 0 {
		return true
	}
	var capacity, free int64
	for _, a := range c.order {
		if a.server.Service != j.Route.Service || !c.acceptsOffers(a) {
			continue
		}
		capacity += a.server.Capacity.CPUMilli
		free += need.Usable(a.free(j.Route.Priority).CPUMilli)
	}
	return free-demand.CPUMilli >= need.Reserved(capacity)
}

// chooseWithReserve is choose, but a task that would leave too little room to more urgent
// work finds none. It records when a task finds too little free capacity.
func (c *Core) chooseWithReserve(j *jobState, step int, t *taskState) (*agentState, searchResult) {
	demand := j.Steps[step].Demand
	if !c.leavesRoom(j, demand) {
		c.reserve.held++
		return nil, noRoom
	}
	a, result := c.choose(j, step, t)
	switch {
	case t.runsAlone():
		// Such a task waits for an empty server, not for capacity.
	case result == noRoom && c.fitsSomeServer(j, step), result == agentFound && !demand.Fits(a.free(j.Route.Priority)):
		c.shortage(j)
	}
	return a, result
}

// fitsSomeServer reports whether a server in service could run the step's tasks if it were
// empty. A task that fits none says nothing about scarcity.
func (c *Core) fitsSomeServer(j *jobState, step int) bool {
	s := &j.Steps[step]
	for _, a := range c.order {
		if c.acceptsOffers(a) && c.usable(a, j, s) && s.Demand.Fits(a.server.Capacity) {
			return true
		}
	}
	return false
}
