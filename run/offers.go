package run

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/work"
)

func (c *Core) offered(e Offered) {
	if reason := c.offerRefusal(e); reason != "" {
		c.emit(Report{Entry: e.Entry, Run: e.Run, Outcome: work.NotStarted, Reason: reason})
		return
	}
	if old := c.tasks[e.Run.Task]; old != nil {
		c.offeredAgain(old, e)
		return
	}
	c.arrivals++
	t := &task{
		run: e.Run, entry: e.Entry, spec: e.Spec, priority: e.Priority,
		demand: e.Demand, expected: e.Expected, arrival: c.arrivals, since: c.now,
		latestStart: c.now + e.Slack,
	}
	c.tasks[e.Run.Task] = t
	c.held = append(c.held, t)
	at, _ := slices.BinarySearchFunc(c.queue, t, compareTasks)
	c.queue = slices.Insert(c.queue, at, t)
}

// compareTasks orders waiting tasks by priority, then by latest start. The latest start of
// a task of an older entry, which tells no slack, is its arrival.
func compareTasks(a, b *task) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.latestStart, b.latestStart),
		cmp.Compare(a.arrival, b.arrival),
	)
}

func (c *Core) offerRefusal(e Offered) string {
	if reason := c.refusal(); reason != "" {
		return reason
	}
	if e.Service != c.server.report.Server.Service {
		return reasonService
	}
	if e.Server != "" && e.Server != c.server.report.incarnation().String() {
		return reasonIncarnation
	}
	if len(c.queue) >= c.cfg.QueueLimit {
		return reasonFull
	}
	if !(work.Demand{}).Fits(e.Demand) {
		return reasonInvalidDemand // a negative demand would make room for other tasks
	}
	return ""
}

// offeredAgain handles an offer of a task that the agent already holds. An older or
// equal run of the same entry is ignored. Otherwise the offer replaces the held run,
// as when its job was submitted again: the held run is stopped, and the new run is
// reported as not started, since both must not run at once; its entry may offer it
// again.
func (c *Core) offeredAgain(old *task, e Offered) {
	if old.entry == e.Entry && old.run.ID >= e.Run.ID {
		return
	}
	c.emit(Report{Entry: e.Entry, Run: e.Run, Outcome: work.NotStarted, Reason: reasonReplaced})
	c.stop(old, reasonReplaced)
}

func (c *Core) stopRequested(e StopRequested) {
	t := c.tasks[e.Run.Task]
	if t == nil || t.run != e.Run || t.entry != e.Entry {
		return
	}
	c.stop(t, reasonStopped)
}

// stop ends a waiting task at once and marks any other run to be stopped on the
// backend server.
func (c *Core) stop(t *task, reason string) {
	t.stop.wanted = true
	if t.phase == phaseQueued {
		c.end(t, work.NotStarted, reason)
	}
}

// end removes a task and reports its outcome to its entry.
func (c *Core) end(t *task, outcome work.Outcome, reason string) {
	delete(c.tasks, t.run.Task)
	c.held = slices.DeleteFunc(c.held, func(h *task) bool { return h == t })
	if t.phase == phaseQueued {
		c.queue = slices.DeleteFunc(c.queue, func(q *task) bool { return q == t })
	}
	var ran time.Duration
	if t.phase != phaseQueued {
		ran = c.now - t.started
	}
	c.recordRunTime(t, outcome, ran)
	c.emit(Report{Entry: t.entry, Run: t.run, Outcome: outcome, Ran: ran, Reason: reason, Server: t.server.ID})
}
