package schedule

import (
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// freeWithoutWait is how long an agent may have had free capacity for a job that is refused for
// the work ahead of it (docs/design/scarcity.md). Capacity that is free for a shorter time is
// usually about to be used by waiting work.
const freeWithoutWait = 20 * time.Millisecond

// freeRecord is the free capacity of an agent from a time on, until that of the next record.
type freeRecord struct {
	from time.Duration
	free work.Demand
}

// recordFree records what is free at the agent from now on. Records that ended more than
// freeWithoutWait ago are dropped.
func (c *Core) recordFree(a *agentState) {
	free := a.free(c.mostUrgent)
	if n := len(a.freeSince); n > 0 && a.freeSince[n-1].free == free {
		return
	}
	first := 0
	for first+1 < len(a.freeSince) && c.now-a.freeSince[first+1].from > freeWithoutWait {
		first++
	}
	a.freeSince = append(slices.Delete(a.freeSince, 0, first), freeRecord{from: c.now, free: free})
}

// fitsSince returns since when the demand has fitted into the agent's free capacity. It returns
// math.MaxInt64 if the demand doesn't fit now.
func (a *agentState) fitsSince(demand work.Demand) time.Duration {
	since := time.Duration(math.MaxInt64)
	for i := len(a.freeSince) - 1; i >= 0 && demand.Fits(a.freeSince[i].free); i-- {
		since = a.freeSince[i].from
	}
	return since
}

// noFreeCapacity says that no agent will have had free capacity for a demand for longer than
// freeWithoutWait before a time. It spares arrivals the search through all agents.
type noFreeCapacity struct {
	service  ident.Service
	requires string
	demand   work.Demand
	until    time.Duration
}

// maxNoFreeCapacity bounds the remembered searches. A search for a small demand also answers
// those for larger ones, so that few are needed.
const maxNoFreeCapacity = 16

// hasRoomFor reports whether some agent has had free capacity for a task of the job for longer
// than freeWithoutWait, and none of it is reserved for more urgent work.
func (c *Core) hasRoomFor(j *jobState) bool {
	for i := range j.Steps {
		if !c.leavesRoom(j, j.Steps[i].Demand) {
			return false
		}
	}
	return c.freeFor(j)
}

// freeFor reports whether some agent has had free capacity for a task of the job for longer
// than freeWithoutWait.
func (c *Core) freeFor(j *jobState) bool {
	for i := range j.Steps {
		if j.ready(i) && !c.knownNotFree(j, &j.Steps[i]) && c.findFree(j, &j.Steps[i]) {
			return true
		}
	}
	return false
}

func (c *Core) knownNotFree(j *jobState, s *Step) bool {
	return slices.ContainsFunc(c.noFree, func(n noFreeCapacity) bool {
		return c.now <= n.until && n.service == j.Route.Service && n.requires == s.Requires && n.demand.Fits(s.Demand)
	})
}

// findFree looks for an agent with free capacity for the step. If there is none, it remembers
// until when that is certain. Capacity that becomes free later counts only after
// freeWithoutWait.
func (c *Core) findFree(j *jobState, s *Step) bool {
	until := c.now + freeWithoutWait
	for _, a := range c.order {
		if a.server.Service != j.Route.Service || !c.inService(a) || s.Requires != "" && !slices.Contains(a.server.Labels, s.Requires) {
			continue
		}
		since := a.fitsSince(s.Demand)
		if since == math.MaxInt64 {
			continue
		}
		if c.now-since <= freeWithoutWait {
			until = min(until, since+freeWithoutWait)
			continue
		}
		if c.acceptsOffers(a) && c.usable(a, j, s) {
			return true
		}
		until = c.now - 1 // the agent may accept offers again at any time
	}
	if until >= c.now {
		c.rememberNotFree(noFreeCapacity{service: j.Route.Service, requires: s.Requires, demand: s.Demand, until: until})
	}
	return false
}

func (c *Core) rememberNotFree(n noFreeCapacity) {
	c.noFree = slices.DeleteFunc(c.noFree, func(o noFreeCapacity) bool { return c.now > o.until })
	if len(c.noFree) < maxNoFreeCapacity {
		c.noFree = append(c.noFree, n)
	}
}
