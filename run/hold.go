package run

import (
	"time"

	"foxtaildock.example/dock/work"
)

// holdState is the state of the CallHold calls, which renew the lease and fetch the
// ends of runs. A long poll lets the server wait for an end before it answers; a
// short poll is answered at once.
type holdState struct {
	// next is the number of the next call.
	next uint64
	// longPoll is the number of the outstanding long poll, 0 if there is none.
	longPoll   uint64
	longPollAt time.Duration
	// longPollWait is how long the server may wait before it answers that call.
	longPollWait time.Duration
	// shortPoll is the number of the outstanding short poll, 0 if there is none.
	shortPoll   uint64
	shortPollAt time.Duration
	// shortPollWanted is true if a short poll is to be sent.
	shortPollWanted bool
	// retryAt is the earliest time of the next call after one that failed.
	retryAt time.Duration
	// renewedAt is when the lease was last extended.
	renewedAt time.Duration
	// failing is true if the last call that completed got no usable answer.
	failing bool
	// failedAt is when a call last failed, 0 if never.
	failedAt time.Duration
	// fence is the highest fencing token used with abandoned incarnations.
	fence int64
	// resumedFrom is the number of the first call after a pause of the process, 0 once such a
	// call was answered. The server's clock is uncertain until then: it stands still while the
	// VM is suspended, the agent's goes on.
	resumedFrom uint64
	// listedAt is the server's clock in the newest list of runs that was processed.
	listedAt time.Duration
}

// holdTimeoutMargin is how much longer than its wait a CallHold may take. The caller
// ends a call after that time and reports it as failed.
const holdTimeoutMargin = 35 * time.Millisecond

// holdRetryDelay is the pause after a failed call. It limits the rate of calls that
// fail at once, such as on refused connections.
const holdRetryDelay = 5 * time.Millisecond

// HoldTimeout returns how long the caller must wait for the answer to a CallHold that
// has the given Wait.
func HoldTimeout(wait time.Duration) time.Duration { return wait + holdTimeoutMargin }

// issueHolds keeps one long poll outstanding, which fetches ends and renews the lease,
// and sends a short poll beside it when the state is needed at once.
func (c *Core) issueHolds() {
	if c.server.phase == serverNone || c.now < c.holds.retryAt {
		return
	}
	h := &c.holds
	h.next = c.nextCall()
	if c.proposed.report != nil {
		h.shortPollWanted = true
	}
	if len(c.tasks) > 0 && (c.now-h.renewedAt >= c.cfg.Terms.RenewInterval || c.overdue()) {
		h.shortPollWanted = true
	}
	if h.longPoll == 0 {
		h.longPoll = h.next
		h.longPollAt = c.now
		h.shortPollWanted = false
		h.longPollWait = c.nextLongPollWait()
		c.sendHold(h.longPollWait)
		return
	}
	if h.shortPollWanted && h.shortPoll == 0 {
		h.shortPoll = h.next
		h.shortPollAt = c.now
		h.shortPollWanted = false
		c.sendHold(0)
	}
}

// nextCall returns the number of the next call. Calls are numbered from 1.
func (c *Core) nextCall() uint64 { return max(c.holds.next, 1) }

// overdueAfter is how late the answer to a long poll may be before a short poll is
// sent beside it: many times what a server on the same VM takes.
const overdueAfter = 8 * time.Millisecond

// overdue reports whether the long poll should have been answered by now. Until the
// ends that it would return are known, the capacity of those runs stays unused.
func (c *Core) overdue() bool {
	return c.now-c.holds.longPollAt > c.holds.longPollWait+overdueAfter
}

// lossyPeriod is how long after a failed call the wait of long polls is limited to
// lossyWait.
const lossyPeriod = 2 * time.Second

// lossyWait is the wait of long polls while some calls get no answer: about the time
// between two ends on a busy server.
const lossyWait = 15 * time.Millisecond

// nextLongPollWait returns the wait of the next long poll: the renewal interval, or
// less after failed calls. An agent without tasks has no lease to renew and polls only
// every idleWait.
func (c *Core) nextLongPollWait() time.Duration {
	switch {
	case c.proposed.report != nil || c.holds.resumedFrom > 0:
		return 0
	case c.server.phase == serverClearing:
		return clearingWait
	case len(c.tasks) == 0:
		return idleWait
	case c.holds.failedAt > 0 && c.now-c.holds.failedAt < lossyPeriod:
		return min(lossyWait, c.cfg.Terms.RenewInterval)
	}
	return c.cfg.Terms.RenewInterval
}

// Waits of the long poll while the server is being cleared or the agent is idle.
const (
	// clearingWait is short, since the agent accepts tasks only once no foreign run
	// is left.
	clearingWait = 20 * time.Millisecond
	// idleWait is the longest wait that backend servers allow, less the margin of
	// the timeout.
	idleWait = 1500 * time.Millisecond
)

func (c *Core) sendHold(wait time.Duration) {
	call := CallHold{Server: c.server.report.incarnation(), Call: c.holds.next, Fence: c.server.fence, LastSeen: c.server.lastSeen, Wait: wait}
	if c.server.phase == serverInUse && len(c.tasks) > 0 && c.renewable() {
		call.Expiry = c.extendLease()
	}
	c.holds.next++
	c.emit(call)
}

// completeCall marks a call as no longer outstanding, and returns when it was sent. It
// returns false if it wasn't outstanding.
func (c *Core) completeCall(call uint64) (sentAt time.Duration, outstanding bool) {
	switch call {
	case c.holds.longPoll:
		c.holds.longPoll = 0
		return c.holds.longPollAt, true
	case c.holds.shortPoll:
		c.holds.shortPoll = 0
		return c.holds.shortPollAt, true
	}
	return 0, false
}

func (c *Core) holdFailed(e HoldFailed) {
	_, outstanding := c.completeCall(e.Call)
	if !outstanding || c.server.phase == serverNone || e.Call < c.server.firstCall {
		return
	}
	if e.OtherIncarnation || e.Stamp.StartUnixMs != 0 && e.Stamp.StartUnixMs != c.server.report.StartUnixMs {
		c.otherIncarnation()
		return
	}
	if e.ConnectionRefused && c.server.left {
		c.emit(LogMessage{Text: "backend server left", Incarnation: c.server.report.Server.Incarnation})
		c.abandon(reasonServerLeft)
		return
	}
	c.holds.failing = true
	c.holds.failedAt = c.now
	c.server.refuses = c.server.refuses || e.ConnectionRefused
	c.holds.retryAt = c.now + holdRetryDelay
	c.holds.shortPollWanted = c.holds.shortPollWanted || c.hasUnresolved()
	if e.Refused {
		c.raiseFence()
	}
}

func (c *Core) hasUnresolved() bool {
	for _, t := range c.tasks {
		if t.phase == phaseUnconfirmed || t.stop.answered {
			return true
		}
	}
	return false
}

func (c *Core) holdAnswered(e HoldAnswered) {
	if e.Stamp.StartUnixMs == 0 {
		c.holdFailed(HoldFailed{Call: e.Call}) // lists of an unknown incarnation
		return
	}
	sentAt, outstanding := c.completeCall(e.Call)
	if !outstanding || !c.acceptAnswer(e.Call, sentAt, e.Stamp) {
		return
	}
	c.holds.failing = false
	c.server.refuses = false
	c.processEnds(e.Ended)
	if e.Stamp.Clock < c.holds.listedAt {
		return // a newer list was processed already
	}
	c.holds.listedAt = e.Stamp.Clock
	listed := c.processRunning(e.Running)
	c.resolveUnlisted(e.Call, listed)
	c.samplePace()
	if c.server.phase == serverClearing && c.server.foreign == 0 {
		c.server.phase = serverInUse
		c.emit(LogMessage{Text: "backend server taken into use", Incarnation: c.server.report.Server.Incarnation})
	}
}

// processEnds processes the ends that weren't seen before.
func (c *Core) processEnds(ended []EndedRun) {
	for _, e := range ended {
		if e.Number <= c.server.lastSeen {
			continue
		}
		c.server.lastSeen = e.Number
		t := c.tasks[e.Run.Task]
		if t == nil || t.run != e.Run || t.phase == phaseQueued {
			continue
		}
		c.server.lastOwnEnd = e.Number
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

// processRunning updates the progress of the listed runs, stops those that the agent
// doesn't hold, and returns the set of listed runs.
func (c *Core) processRunning(running []RunningRun) map[work.Run]bool {
	listed := make(map[work.Run]bool, len(running))
	c.server.foreign = 0
	for _, r := range running {
		listed[r.Run] = true
		t := c.tasks[r.Run.Task]
		if t == nil || t.run != r.Run || t.phase == phaseQueued {
			c.server.foreign++
			c.emit(CallStop{Server: c.server.report.incarnation(), Run: r.Run, Fence: c.server.fence})
			continue
		}
		c.progress(t, r.Percent)
	}
	if c.server.foreign > 0 {
		c.holds.shortPollWanted = true
	}
	return listed
}

func (c *Core) progress(t *task, percent int) {
	if t.phase != phaseRunning {
		// The run has started: the answer to its start was lost or is still on its
		// way, or the start reached another incarnation than the one that the agent
		// sent it to.
		t.phase = phaseRunning
		t.listedFrom = c.holds.next
	}
	if percent != t.percent {
		t.percent = percent
		t.progressedAt = c.now
		return
	}
	if !t.stalled && !t.stop.wanted && c.now-t.progressedAt > c.cfg.StallAfter {
		t.stalled = true
		c.emit(ReportStalled{Entry: t.entry, Run: t.run})
	}
}

// resolveUnlisted handles the runs that the answer to a call lists neither as running
// nor as ended. Runs that the server need not have known when the call was sent are
// skipped.
func (c *Core) resolveUnlisted(call uint64, listed map[work.Run]bool) {
	for _, t := range c.inOrder() {
		if listed[t.run] || call < t.listedFrom {
			continue
		}
		switch t.phase {
		case phaseRunning:
			// Its end may have had a lower number than one that can't have been right.
			c.server.lastSeen = c.server.lastOwnEnd
			c.end(t, work.Lost, reasonNotListed)
		case phaseUnconfirmed:
			c.resolveUnconfirmed(t)
		case phaseOrphaned:
			// The call's fencing token makes the server refuse a start that is still
			// on its way.
			c.end(t, work.Lost, t.lostReason)
		}
	}
}

// resolveUnconfirmed handles a start that got no answer and whose run isn't listed. The
// server may still carry it out until the run was stopped there or the expiry of the
// start has passed.
func (c *Core) resolveUnconfirmed(t *task) {
	if t.stop.answered || c.server.clock > t.expiry {
		c.end(t, work.NotStarted, NoAnswer.String())
		return
	}
	t.stop.wanted = true
}
