package run

import (
	"slices"
	"time"

	"foxtaildock.example/dock/work"
)

// returnQueue returns the waiting tasks to their entries while nothing may be
// started here.
func (c *Core) returnQueue() {
	reason := c.refusal()
	if reason == "" {
		return
	}
	for len(c.queue) > 0 {
		c.end(c.queue[0], work.NotStarted, reason)
	}
}

// returnTooLarge returns the waiting tasks that don't fit into the server even when nothing
// runs there, since its capacity has shrunk after they were offered.
func (c *Core) returnTooLarge() {
	for _, t := range slices.Clone(c.queue) {
		if !t.demand.Fits(c.server.capacity()) {
			c.end(t, work.NotStarted, reasonTooLarge)
		}
	}
}

// startQueued starts waiting tasks while they fit into the server's free capacity. No task
// takes room that a more urgent one waits for.
func (c *Core) startQueued() {
	if c.refusal() != "" || c.server.foreign > 0 || c.silent() {
		return
	}
	c.returnTooLarge()
	room := c.server.capacity().Minus(c.used())
	var passed *task // the first task that doesn't fit
	for i := 0; i < len(c.queue); {
		t := c.queue[i]
		if passed != nil && t.priority > passed.priority {
			return
		}
		if t.demand.Fits(room) {
			c.queue = slices.Delete(c.queue, i, i+1)
			room = room.Minus(t.demand)
			c.start(t)
			continue
		}
		// Once this task has waited for BackfillAfter, tasks behind it may no longer
		// start, so that smaller ones can't take the capacity it needs forever.
		if c.now-t.since > c.cfg.BackfillAfter {
			return
		}
		if passed == nil {
			passed = t
		}
		i++
	}
}

func (c *Core) start(t *task) {
	t.phase = phaseStarting
	t.since = c.now
	t.started = c.now
	t.server = c.server.report.incarnation()
	t.progressedAt = c.now
	t.expiry = c.extendLease()
	c.emit(CallStart{Server: t.server, Run: t.run, Spec: t.spec, Expiry: t.expiry, Fence: c.server.fence})
}

func (c *Core) startAnswered(e StartAnswered) {
	t := c.tasks[e.Run.Task]
	if t == nil || t.run != e.Run || t.phase != phaseStarting {
		return
	}
	if !c.acceptStamp(e.Stamp) {
		e.Reply = NoAnswer // it can't be the server's
	}
	switch e.Reply {
	case Started:
		t.phase = phaseRunning
		t.listedFrom = c.holds.next
	case NoAnswer:
		t.phase = phaseUnconfirmed
		t.listedFrom = c.holds.next
		c.holds.shortPollWanted = true
	case RefusedFence:
		c.end(t, work.NotStarted, e.Reply.String())
		c.raiseFence()
		return
	case RefusedIncarnation:
		c.end(t, work.NotStarted, e.Reply.String())
		c.holds.shortPollWanted = true // it may be gone
		return
	default:
		c.end(t, work.NotStarted, e.Reply.String())
		return
	}
	t.since = c.now
}

// stopRetryInterval is how long the core waits for the answer to CallStop before it
// sends it again; a backend server on the same VM answers within a millisecond.
const stopRetryInterval = 40 * time.Millisecond

// sendStops sends CallStop for the runs to be stopped and repeats it until the
// server answers.
func (c *Core) sendStops() {
	if c.server.phase == serverNone {
		return
	}
	for _, t := range c.inOrder() {
		s := &t.stop
		if !s.wanted || s.answered || t.phase == phaseQueued || t.phase == phaseStarting {
			continue
		}
		if s.sent && c.now-s.sentAt < stopRetryInterval {
			continue
		}
		s.sent = true
		s.sentAt = c.now
		c.emit(CallStop{Server: c.server.report.incarnation(), Run: t.run, Fence: c.server.fence})
	}
}

func (c *Core) stopAnswered(e StopAnswered) {
	t := c.tasks[e.Run.Task]
	if !c.acceptStamp(e.Stamp) || t == nil || t.run != e.Run || !e.Answered {
		return
	}
	t.stop.answered = true
	t.listedFrom = c.holds.next
	c.holds.shortPollWanted = true
}
