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

// recordNeed counts what an arriving job needs at once.
func (c *Core) recordNeed(j *jobState) {
	p := j.Route.Priority
	if c.mostUrgent >= c.leastUrgent {
		return // no work leaves room for other work
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
			n.Shortage(c.now, !j.putOff())
		}
	}
}

// putOff reports whether the job goes behind the jobs of its priority that can still end in
// time.
func (j *jobState) putOff() bool { return j.late && !j.offered }

// reservedFor returns what the job leaves free if its priority is the least urgent one of
// the service: the sum of what one large job of each more urgent priority needs. A job that
// is put off leaves room for one that can end in time as well. The need is zero unless
// such work found too little free capacity within the last second.
//
// Priorities between the first and the last leave no room. They free their slots soon, and
// are refused where they do: with priority 1 leaving room for priority 0, 77 instead of 28
// jobs of it were refused at a site close to its capacity.
func (c *Core) reservedFor(j *jobState, putOff bool) overload.Need {
	s := c.reserve.services[j.Route.Service]
	if s == nil || len(s.priorities) < 2 || j.Route.Priority < s.priorities[len(s.priorities)-1] {
		return overload.Need{}
	}
	var sum overload.Need
	short := false
	for i, other := range s.priorities {
		n := s.needs[i]
		switch {
		case other < j.Route.Priority:
			short = short || n.Short(c.now)
		case other == j.Route.Priority && putOff:
			short = short || n.ShortInTime(c.now)
		default:
			continue
		}
		large := n.Large()
		sum.Milli += large.Milli
		sum.TaskMilli = max(sum.TaskMilli, large.TaskMilli)
	}
	if !short {
		return overload.Need{}
	}
	return sum
}

// leavesRoom reports whether enough stays free for more urgent work once a task of the job
// has taken its demand. A job that was started in an earlier step goes on, since the work of
// its other tasks would be wasted if the last ones waited until it is late. The room of the
// agents that the entry sees counts in whole tasks of the more urgent job, since what is left
// over on each server is of no use to it.
func (c *Core) leavesRoom(j *jobState, demand work.Demand) bool {
	need := c.reservedFor(j, j.putOff())
	if need.Milli == 0 || j.offered && j.firstOffer < c.now {
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
