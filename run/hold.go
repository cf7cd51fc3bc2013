package run

import (
	"time"

	"foxtaildock.example/dock/work"
)

// holdState is the state of the calls that renew the lease and fetch ends.
type holdState struct {
	// next numbers the next call.
	next uint64
	// long is the number of the call that waits for ends, 0 if none is out.
	long   uint64
	longAt time.Duration
	// longWait is how long that call may wait.
	longWait time.Duration
	// look is the number of the call that doesn't wait, 0 if none is out.
	look   uint64
	lookAt time.Duration
	// lookNow asks for a call that doesn't wait.
	lookNow bool
	// retryAt holds back the next call after one that failed.
	retryAt time.Duration
	// renewedAt is when the lease was last extended.
	renewedAt time.Duration
	// failing is true while the last call got no answer.
	failing bool
	// failedAt is when a call was last found to have no answer, 0 if never.
	failedAt time.Duration
	// fence is the highest fencing token of incarnations that were given up.
	fence int64
	// listedAt is the server's clock at the newest list that was used.
	listedAt time.Duration
}

// holdPatience is how much longer than its wait a call may take. A call that is
// out for longer is taken for lost; the shell ends it at the same time.
const holdPatience = 35 * time.Millisecond

// holdRetry is the pause after a call that failed at once, such as by a connection
// that was refused.
const holdRetry = 5 * time.Millisecond

// HoldTimeout is how long the shell waits for the answer to a call.
func HoldTimeout(wait time.Duration) time.Duration { return wait + holdPatience }

// hold keeps one call out that waits for ends and renews the lease, and sends a
// second one when something has to be known at once.
func (c *Core) hold() {
	if c.server.state == serverNone || c.now < c.holds.retryAt {
		return
	}
	h := &c.holds
	if h.next == 0 {
		h.next = 1
	}
	if len(c.tasks) > 0 && (c.now-h.renewedAt >= c.cfg.Terms.Renew || c.overdue()) {
		h.lookNow = true
	}
	if h.long == 0 {
		h.long = h.next
		h.longAt = c.now
		h.lookNow = false
		h.longWait = c.longWait()
		c.sendHold(h.longWait)
		return
	}
	if h.lookNow && h.look == 0 {
		h.look = h.next
		h.lookAt = c.now
		h.lookNow = false
		c.sendHold(0)
	}
}

// overdueAfter is by how much an answer may be late before another call is sent
// beside it: many times what a server on the same VM takes.
const overdueAfter = 8 * time.Millisecond

// overdue reports whether the call that waits should have been answered by now.
// Ends that it would have told aren't known meanwhile, and their room is idle.
func (c *Core) overdue() bool {
	return c.now-c.holds.longAt > c.holds.longWait+overdueAfter
}

// lossyFor is how long after a call without an answer calls are kept short.
const lossyFor = 2 * time.Second

// lossyWait is the wait of calls while some get no answer: about the time between
// two ends on a busy server.
const lossyWait = 15 * time.Millisecond

// longWait is how long the waiting call may wait: until the next renewal is due.
// Without work there is nothing to renew, and an idle agent asks seldom.
func (c *Core) longWait() time.Duration {
	switch {
	case c.server.state == serverClearing:
		return clearingWait
	case len(c.tasks) == 0:
		return idleWait
	case c.holds.failedAt > 0 && c.now-c.holds.failedAt < lossyFor:
		return min(lossyWait, c.cfg.Terms.Renew)
	}
	return c.cfg.Terms.Renew
}

// Waits of the call for ends while nothing is held.
const (
	// clearingWait is short: the agent takes work once nothing foreign runs.
	clearingWait = 20 * time.Millisecond
	// idleWait is the longest that backend servers allow, less the patience.
	idleWait = 1500 * time.Millisecond
)

func (c *Core) sendHold(wait time.Duration) {
	call := CallHold{Call: c.holds.next, Fence: c.server.fence, LastSeen: c.server.lastSeen, Wait: wait}
	if c.server.state == serverOpen && len(c.tasks) > 0 && c.renewable() {
		call.Expiry = c.extend()
	}
	c.holds.next++
	c.do(call)
}

// returned marks a call as no longer out. It returns false if it was given up.
func (c *Core) returned(call uint64) bool {
	switch call {
	case c.holds.long:
		c.holds.long = 0
	case c.holds.look:
		c.holds.look = 0
	default:
		return false
	}
	return true
}

func (c *Core) holdFailed(e HoldFailed) {
	if !c.returned(e.Call) || !c.stamped(e.Stamp) {
		return
	}
	c.holds.failing = true
	c.holds.failedAt = c.now
	c.holds.retryAt = c.now + holdRetry
	c.holds.lookNow = c.holds.lookNow || c.doubtful()
	if e.Refused {
		c.reclaim()
	}
}

func (c *Core) doubtful() bool {
	for _, t := range c.tasks {
		if t.phase == phaseDoubt || t.stop.answered {
			return true
		}
	}
	return false
}

func (c *Core) holdAnswered(e HoldAnswered) {
	known := c.returned(e.Call)
	if !c.stamped(e.Stamp) || !known {
		return
	}
	c.holds.failing = false
	c.takeEnds(e.Ended)
	if e.Stamp.Clock < c.holds.listedAt {
		return // overtaken by a newer list
	}
	c.holds.listedAt = e.Stamp.Clock
	listed := c.takeRunning(e.Running)
	c.resolveUnlisted(e.Call, listed)
	c.samplePace()
	if c.server.state == serverClearing && c.server.foreign == 0 {
		c.server.state = serverOpen
		c.do(Noted{Event: "backend server taken into use", Incarnation: c.server.report.Server.Incarnation})
	}
}

// takeEnds takes note of the ends that weren't seen before.
func (c *Core) takeEnds(ended []EndedRun) {
	for _, e := range ended {
		if e.Number <= c.server.lastSeen {
			continue
		}
		c.server.lastSeen = e.Number
		t := c.tasks[e.Run.Task]
		if t == nil || t.run != e.Run || t.phase == phaseQueued {
			continue
		}
		c.end(t, outcomeOf(e.How), reasonOf(e.How))
	}
}

func outcomeOf(how End) work.Outcome {
	switch how {
	case EndDone:
		return work.Done
	case EndFailed:
		return work.Failed
	}
	return work.Lost
}

func reasonOf(how End) string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[how]
}

// takeRunning takes note of progress and stops what the agent doesn't hold. It
// returns the runs that are listed.
func (c *Core) takeRunning(running []RunningRun) map[work.Run]bool {
	listed := make(map[work.Run]bool, len(running))
	c.server.foreign = 0
	for _, r := range running {
		listed[r.Run] = true
		t := c.tasks[r.Run.Task]
		if t == nil || t.run != r.Run || t.phase == phaseQueued {
			c.server.foreign++
			c.do(CallStop{Run: r.Run, Fence: c.server.fence})
			continue
		}
		c.progress(t, r.Percent)
	}
	if c.server.foreign > 0 {
		c.holds.lookNow = true
	}
	return listed
}

func (c *Core) progress(t *task, percent int) {
	if t.phase != phaseRunning {
		// It runs, only the answer to its start was lost or is on its way, or the
		// server was taken for another.
		t.phase = phaseRunning
		t.heldFrom = c.holds.next
	}
	if percent != t.percent {
		t.percent = percent
		t.moved = c.now
		return
	}
	if !t.stalled && !t.stop.wanted && c.now-t.moved > c.cfg.StallAfter {
		t.stalled = true
		c.do(ReportStalled{Entry: t.entry, Run: t.run})
	}
}

// resolveUnlisted decides about runs that an answer lists neither as running nor
// as ended. Only runs count that the server knew when the call was sent.
func (c *Core) resolveUnlisted(call uint64, listed map[work.Run]bool) {
	for _, t := range c.inOrder() {
		if listed[t.run] || call < t.heldFrom {
			continue
		}
		switch t.phase {
		case phaseRunning:
			c.end(t, work.Lost, reasonGone)
		case phaseDoubt:
			c.resolveDoubt(t)
		case phaseUnsure:
			// The call's fencing token refuses whatever is still on its way.
			c.end(t, work.Lost, reasonNewLife)
		}
	}
}

// resolveDoubt decides about a start without an answer that isn't listed. It may
// still be carried out, until it is stopped there or its expiry has passed.
func (c *Core) resolveDoubt(t *task) {
	if t.stop.answered || c.server.clock > t.expiry {
		c.end(t, work.NotStarted, NoAnswer.String())
		return
	}
	t.stop.wanted = true
}
