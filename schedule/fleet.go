package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// maxLoadAge is the age above which a figure of an agent's load is not used: a figure is up to
// three heartbeat intervals old when the agent sends it, and its successor comes one later.
const maxLoadAge = 500 * time.Millisecond

// FleetLoad is the load that the entry's agents report for one service. Work that waits at an
// entry is spread over all agents of that entry, so that the sum over the agents of this one
// has its part of the whole fleet's work.
type FleetLoad struct {
	// Agents is the number of agents whose load is included, Usable that of the entry's
	// usable agents of the service.
	Agents, Usable int
	// CapacityMilli is the CPU capacity of the included agents, in thousandths of a core.
	CapacityMilli int64
	// RunningMilli is the CPU demand of the runs that are at least as urgent as the priority.
	RunningMilli int64
	// RateMilli is the capacity that the priority may expect, in thousandths of a core: the
	// whole less the averaged demand of more urgent runs, or what runs of the priority itself.
	RateMilli float64
	// WaitingCPUMs is the work that waits and is at least as urgent as the priority, in
	// thousandths of a core times milliseconds.
	WaitingCPUMs int64
	// OldestWait is how long the job that has waited longest of that work has waited.
	OldestWait time.Duration
	// Age is the age of the oldest figure that is included.
	Age time.Duration
}

// fleet holds the sums of the agents' loads by service. They are updated with each report.
type fleet struct {
	services map[ident.Service]*serviceLoad
	// nextExpiry is a lower bound of the time at which a report becomes too old.
	nextExpiry time.Duration
}

// serviceLoad is the sum of the loads of the agents of one service.
type serviceLoad struct {
	usable, reporting int
	capacityMilli     int64
	priorities        []priorityLoad // by rising priority number
	// figureAt is when the oldest figure was taken. Between two ticks it may be that of a
	// report that was replaced meanwhile.
	figureAt time.Duration
}

// priorityLoad is the load of one priority, as the sum of the agents of a service.
type priorityLoad struct {
	priority     work.Priority
	runningMilli int64
	waitingCPUMs int64
	// waitingSince is when the oldest waiting job arrived, math.MaxInt64 if none waits.
	waitingSince time.Duration
	share        averagedShare
}

// agentLoad is the newest load that an agent has reported.
type agentLoad struct {
	known      bool
	figureAt   time.Duration // when the oldest figure was taken
	priorities []priorityLoad
}

// countedLoad is what an agent contributes to the sums.
type countedLoad struct {
	usable, reporting bool
	service           ident.Service
	capacityMilli     int64
	priorities        []priorityLoad
}

// AgentLoadReported is an agent's report of what runs on its backend server and what waits
// for it at all entries.
type AgentLoadReported struct {
	Agent ident.Incarnation
	Load  run.Load
}

func (AgentLoadReported) event() {}

func (c *Core) agentLoadReported(e AgentLoadReported) {
	a := c.agents[e.Agent]
	if a == nil || !a.attached {
		return
	}
	a.load = agentLoad{known: true, figureAt: c.now - e.Load.Age}
	for _, p := range e.Load.Priorities {
		l := priorityLoad{
			priority: p.Priority, runningMilli: p.RunningMilli,
			waitingCPUMs: int64(math.Round(p.WaitingCPUMs)), waitingSince: math.MaxInt64,
		}
		if l.waitingCPUMs > 0 {
			l.waitingSince = c.now - p.Oldest
		}
		a.load.priorities = append(a.load.priorities, l)
	}
	c.fleet.nextExpiry = min(c.fleet.nextExpiry, a.load.figureAt+maxLoadAge)
	c.countAgent(a)
}

// inService reports whether the agent is attached and its backend server accepts tasks.
func (c *Core) inService(a *agentState) bool {
	return a.attached && a.server.Incarnation != "" && !a.server.Draining && !c.operator.IsWithdrawn(a.server.Domain)
}

// countAgent replaces the agent's contribution to the sums by its present one.
func (c *Core) countAgent(a *agentState) {
	now := countedLoad{usable: c.inService(a), service: a.server.Service}
	if now.usable && a.load.known && c.now-a.load.figureAt <= maxLoadAge {
		now.reporting = true
		now.capacityMilli = a.server.Capacity.CPUMilli
		now.priorities = a.load.priorities
	}
	if now.usable != a.counted.usable || now.service != a.counted.service {
		c.noFree = nil // the agent may have come into service
	}
	if a.counted.usable {
		c.addCounted(&a.counted, -1)
	}
	if now.usable {
		c.addCounted(&now, 1)
		if now.reporting {
			c.fleet.services[now.service].include(&a.load)
		}
	}
	a.counted = now
}

// countAgents updates the contributions of all agents.
func (c *Core) countAgents() {
	for _, a := range c.order {
		c.countAgent(a)
	}
}

// addCounted adds a contribution to the sums, or subtracts it if sign is -1.
func (c *Core) addCounted(l *countedLoad, sign int64) {
	s := c.fleet.services[l.service]
	if s == nil {
		if c.fleet.services == nil {
			c.fleet.services = map[ident.Service]*serviceLoad{}
		}
		s = &serviceLoad{figureAt: math.MaxInt64}
		c.fleet.services[l.service] = s
	}
	s.usable += int(sign)
	if !l.reporting {
		return
	}
	s.reporting += int(sign)
	s.average(c.now)
	s.capacityMilli += sign * l.capacityMilli
	for i := range l.priorities {
		p := s.of(l.priorities[i].priority)
		p.runningMilli += sign * l.priorities[i].runningMilli
		p.waitingCPUMs += sign * l.priorities[i].waitingCPUMs
	}
}

// of returns the sum of a priority, which is created if needed.
func (s *serviceLoad) of(p work.Priority) *priorityLoad {
	at, found := slices.BinarySearchFunc(s.priorities, p, func(l priorityLoad, p work.Priority) int { return cmp.Compare(l.priority, p) })
	if !found {
		s.priorities = slices.Insert(s.priorities, at, priorityLoad{priority: p, waitingSince: math.MaxInt64})
	}
	return &s.priorities[at]
}

// average updates the averaged running shares with the sums that held until now.
func (s *serviceLoad) average(now time.Duration) {
	if s.capacityMilli <= 0 {
		return
	}
	for i := range s.priorities {
		p := &s.priorities[i]
		p.share.add(now, float64(p.runningMilli)/float64(s.capacityMilli))
	}
}

// include takes the ages of a report into account.
func (s *serviceLoad) include(l *agentLoad) {
	s.figureAt = min(s.figureAt, l.figureAt)
	for i := range l.priorities {
		p := s.of(l.priorities[i].priority)
		p.waitingSince = min(p.waitingSince, l.priorities[i].waitingSince)
	}
}

// refreshLoads removes reports that are too old from the sums, and finds the ages of the
// oldest of the others.
func (c *Core) refreshLoads() {
	c.fleet.nextExpiry = math.MaxInt64
	for _, s := range c.fleet.services {
		s.figureAt = math.MaxInt64
		for i := range s.priorities {
			s.priorities[i].waitingSince = math.MaxInt64
		}
	}
	for _, a := range c.order {
		if !a.counted.reporting {
			continue
		}
		if c.now-a.load.figureAt > maxLoadAge {
			c.countAgent(a)
			continue
		}
		c.fleet.services[a.counted.service].include(&a.load)
		c.fleet.nextExpiry = min(c.fleet.nextExpiry, a.load.figureAt+maxLoadAge)
	}
}

// fleetLoad returns the load of a service at and above a priority. It returns false if fewer
// than half of the entry's usable agents of the service have reported within maxLoadAge; the
// entry then decides by its own figures.
func (c *Core) fleetLoad(service ident.Service, priority work.Priority) (FleetLoad, bool) {
	if c.now > c.fleet.nextExpiry {
		c.refreshLoads()
	}
	s := c.fleet.services[service]
	if s == nil || s.reporting == 0 || 2*s.reporting < s.usable || s.capacityMilli <= 0 {
		return FleetLoad{}, false
	}
	l := FleetLoad{Agents: s.reporting, Usable: s.usable, CapacityMilli: s.capacityMilli, Age: c.now - s.figureAt}
	oldest := c.now
	left, own := 1.0, 0.0 // shares of the capacity
	for i := range s.priorities {
		p := &s.priorities[i]
		if p.priority > priority {
			break
		}
		l.RunningMilli += p.runningMilli
		l.WaitingCPUMs += p.waitingCPUMs
		oldest = min(oldest, p.waitingSince)
		share := p.share.value(c.now, float64(p.runningMilli)/float64(s.capacityMilli))
		if p.priority < priority {
			left -= share
		} else {
			own = share
		}
	}
	l.OldestWait = c.now - oldest
	l.RateMilli = float64(s.capacityMilli) * max(left, own)
	return l, true
}

// FleetFigure is the load of one service and priority, for the metrics.
type FleetFigure struct {
	Service  ident.Service
	Priority work.Priority
	// WaitingCPUMs is the work that waits, in thousandths of a core times milliseconds.
	WaitingCPUMs int64
	// RunningShare is the demand of the runs as a share of the capacity.
	RunningShare float64
	// Age is the age of the oldest figure of the service.
	Age time.Duration
}

// FleetFigures returns the load of each service whose agents report enough for decisions, by
// service and priority.
func (c *Core) FleetFigures() []FleetFigure {
	var list []FleetFigure
	for service, s := range c.fleet.services {
		l, known := c.fleetLoad(service, math.MaxInt)
		if !known {
			continue
		}
		for _, p := range s.priorities {
			list = append(list, FleetFigure{
				Service: service, Priority: p.priority, WaitingCPUMs: p.waitingCPUMs,
				RunningShare: float64(p.runningMilli) / float64(l.CapacityMilli), Age: l.Age,
			})
		}
	}
	slices.SortFunc(list, func(a, b FleetFigure) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority))
	})
	return list
}
