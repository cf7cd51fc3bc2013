package run

import (
	"slices"
	"time"

	"foxtaildock.example/dock/work"
)

// returnQueue hands back what waits, once nothing may be started here.
func (c *Core) returnQueue() {
	reason := c.refusal()
	if reason == "" {
		return
	}
	for len(c.queue) > 0 {
		c.end(c.queue[0], work.NotStarted, reason)
	}
}

// pump starts waiting tasks while there is room.
func (c *Core) pump() {
	if c.refusal() != "" || c.server.foreign > 0 || c.silent() {
		return
	}
	room := c.server.report.Server.Capacity.Minus(c.used())
	for i := 0; i < len(c.queue); {
		t := c.queue[i]
		if t.demand.Fits(room) {
			c.queue = slices.Delete(c.queue, i, i+1)
			room = room.Minus(t.demand)
			c.start(t)
			continue
		}
		// A task that has waited long keeps smaller ones from taking its room.
		if c.now-t.since > c.cfg.BackfillAfter {
			return
		}
		i++
	}
}

func (c *Core) start(t *task) {
	t.phase = phaseStarting
	t.since = c.now
	t.started = c.now
	t.moved = c.now
	t.expiry = c.extend()
	c.do(CallStart{Run: t.run, Spec: t.spec, Expiry: t.expiry, Fence: c.server.fence})
}

func (c *Core) startAnswered(e StartAnswered) {
	t := c.tasks[e.Run.Task]
	if !c.stamped(e.Stamp) || t == nil || t.run != e.Run || t.phase != phaseStarting {
		return
	}
	switch e.Reply {
	case Started:
		t.phase = phaseRunning
		t.heldFrom = c.holds.next
	case NoAnswer:
		t.phase = phaseDoubt
		t.heldFrom = c.holds.next
		c.holds.lookNow = true
	case RefusedFence:
		c.end(t, work.NotStarted, e.Reply.String())
		c.reclaim()
		return
	default:
		c.end(t, work.NotStarted, e.Reply.String())
		return
	}
	t.since = c.now
}

// stopRepeat is how long the core waits for the answer to a stop before it sends
// the order again; a backend server on the same VM answers within a millisecond.
const stopRepeat = 40 * time.Millisecond

// pursueStops sends the orders to stop, again and again until they are answered.
func (c *Core) pursueStops() {
	if c.server.state == serverNone {
		return
	}
	for _, t := range c.inOrder() {
		s := &t.stop
		if !s.wanted || s.answered || t.phase == phaseQueued || t.phase == phaseStarting {
			continue
		}
		if s.sent && c.now-s.sentAt < stopRepeat {
			continue
		}
		s.sent = true
		s.sentAt = c.now
		c.do(CallStop{Run: t.run, Fence: c.server.fence})
	}
}

func (c *Core) stopAnswered(e StopAnswered) {
	t := c.tasks[e.Run.Task]
	if !c.stamped(e.Stamp) || t == nil || t.run != e.Run || !e.Answered {
		return
	}
	t.stop.answered = true
	t.heldFrom = c.holds.next
	c.holds.lookNow = true
}
