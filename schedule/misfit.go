package schedule

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Reasons of jobs with a task that fits no backend server.
const (
	reasonTooLarge = "larger than every backend server"
	reasonMisfit   = "a task no longer fits any backend server"
)

// fitCheck decides when the waiting tasks are compared with the servers again. Only events
// that can take the last fitting server away call for it.
type fitCheck struct {
	due bool
	// agentsChangedAt is when an agent last attached, detached, or reported that it has no
	// server. It may be back within settlePeriod.
	agentsChangedAt time.Duration
}

// noteFitChange looks at an event before it is processed.
func (c *Core) noteFitChange(e Event) {
	switch e := e.(type) {
	case AgentAttached, AgentDetached:
		c.fit.due, c.fit.agentsChangedAt = true, c.now
	case OperatorChanged:
		c.fit.due = true
	case AgentRoomReported:
		a := c.agents[e.Agent]
		if a == nil {
			return
		}
		if e.Server.Incarnation != a.server.Incarnation {
			c.fit.due, c.fit.agentsChangedAt = true, c.now
		}
		if e.Server.Draining != a.server.Draining || !a.server.Capacity.Fits(e.Server.Capacity) {
			c.fit.due = true
		}
	}
}

// taskShape is what decides whether a task fits a server.
type taskShape struct {
	service  ident.Service
	requires string
	demand   work.Demand
}

// answerMisfits answers the jobs with a waiting task that no server in service could run if
// it were empty. Nothing is answered while agents may only be unreachable for a moment.
func (c *Core) answerMisfits() {
	if !c.fit.due || c.now-max(c.startedAt, c.resumedAt, c.fit.agentsChangedAt) < settlePeriod {
		return
	}
	for _, a := range c.order {
		if a.attached && !c.responsive(a) {
			return
		}
	}
	c.fit.due = false
	known := map[taskShape]bool{}
	misfit := func(shape taskShape) bool {
		is, found := known[shape]
		if !found {
			is = c.fitsNoServer(shape)
			known[shape] = is
		}
		return is
	}
	for _, j := range c.sortedJobs() {
		for s := range j.steps {
			shape := taskShape{j.Route.Service, j.Steps[s].Requires, j.Steps[s].Demand}
			if j.steps[s].next < len(j.steps[s].tasks) && misfit(shape) {
				c.answerMisfit(j)
				break
			}
		}
	}
}

func (c *Core) answerMisfit(j *jobState) {
	capacity, _ := c.capacity(j)
	j.basis = c.basis(j, capacity)
	if j.offered {
		c.finish(j, FailedJob, reasonMisfit)
	} else {
		c.finish(j, Rejected, reasonTooLarge)
	}
}

// fitsNoServer reports whether servers of the service are in use, but none that the task
// fits. Without any server, jobs wait for one until they are of no use.
func (c *Core) fitsNoServer(shape taskShape) bool {
	inUse := false
	for _, a := range c.order {
		if a.server.Service != shape.service || a.server.Draining || c.operator.IsWithdrawn(a.server.Domain) {
			continue
		}
		inUse = true
		labelled := shape.requires == "" || slices.Contains(a.server.Labels, shape.requires)
		if labelled && shape.demand.Fits(a.server.Capacity) {
			return false
		}
	}
	return inUse
}
