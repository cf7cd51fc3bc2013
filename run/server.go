package run

import (
	"time"

	"foxtaildock.example/dock/work"
)

// serverPhase is the state of the agent's use of its backend server.
type serverPhase int

const (
	// serverNone: no backend server is known.
	serverNone serverPhase = iota
	// serverClearing: runs of an earlier incarnation of the agent are being stopped,
	// and nothing is started.
	serverClearing
	// serverInUse: tasks may be started.
	serverInUse
)

// serverState is what the agent knows of its backend server.
type serverState struct {
	phase serverPhase
	// report is the newest report of the incarnation, with what counts in full of the server.
	report ServerReported
	// disputed is what the newest report of the server's kind says of it, if that doesn't count in
	// full yet, else nil; otherKind is the newest report if that is of another kind, else nil.
	disputed, otherKind *work.Server
	// agreedAt is when the last report arrived that counts in full, and kindAt when the last one of
	// the server's kind did.
	agreedAt, kindAt time.Duration
	// delayed is the number of reports since the newest one that were older or duplicates.
	delayed int
	// confirmed is true once the server has answered as the incarnation of the report.
	confirmed bool
	// firstCall is the number of the first call that was sent to this incarnation.
	firstCall uint64
	fence     int64
	// fenceStep is by how much the token was raised last, 0 if the newest one was accepted.
	fenceStep int64
	// clock is a time that the server's clock had certainly reached at lastContact, 0 before
	// any answer.
	clock time.Duration
	// lastContact is when the server last answered or, before any answer, when its
	// report arrived.
	lastContact time.Duration
	// clockSentAt is when the call was sent whose answer told the clock.
	clockSentAt time.Duration
	// clockFrom is the number of the first call that was sent after that answer.
	clockFrom uint64
	// expiry is the latest end of the lease, on the server's clock, that any call may
	// have set.
	expiry time.Duration
	// lastSeen is the sequence number of the last end of a run that was processed.
	lastSeen int64
	// lastOwnEnd is that of the last one of a run that the agent held.
	lastOwnEnd int64
	// foreign is the number of runs on the server that the agent doesn't hold.
	foreign int
	// endsAt is when the draining server ends at the earliest, 0 if its newest report
	// doesn't tell.
	endsAt time.Duration
	// left is true once the server has said that it shuts down.
	left bool
	// refuses is true while no process listens at the server's address.
	refuses bool
}

// noteServerEnd keeps the end that follows from the newest report. A time that can't be right
// counts as unknown.
func (c *Core) noteServerEnd() {
	s := &c.server
	known := s.endsAt > 0
	s.endsAt = 0
	left := s.report.Server.Remaining
	if !s.draining() || left <= 0 || left > work.MaxRemaining {
		return
	}
	s.endsAt = c.now + left
	if !known {
		c.emit(LogMessage{Text: "backend server drains and reports its end", Incarnation: s.report.Server.Incarnation, Remaining: left})
	}
}

// remaining returns the least time until the draining server ends, 0 if unknown. It is never
// below a millisecond, the unit of messages, once the end is known.
func (s *serverState) remaining(now time.Duration) time.Duration {
	if s.endsAt == 0 {
		return 0
	}
	return max(s.endsAt-now, time.Millisecond)
}

// endedAsPlanned reports whether a server that is gone now had drained before, at least for
// as long as it reported.
func (c *Core) endedAsPlanned() bool {
	return c.server.draining() && c.now >= c.server.endsAt
}

// maxFence is the largest fencing token: whole numbers up to it are exact in JSON.
const maxFence = 1<<53 - 1

// raiseFence raises the fencing token after the server has refused it, since another
// incarnation of the agent has used a higher one. The server doesn't tell which, so the steps
// double: about fifty refusals are enough for any token.
func (c *Core) raiseFence() {
	s := &c.server
	s.fenceStep = max(1, 2*s.fenceStep)
	s.fence = min(max(s.fence+s.fenceStep, s.report.StartUnixMs+s.clockLowerBound(c.now).Milliseconds()), maxFence)
	c.holds.shortPollWanted = true
	c.emit(LogMessage{Text: "fencing token refused; raised", Incarnation: s.report.Server.Incarnation})
}

// serverLeft handles the news that the server shuts down as planned. Anyone may send that, so
// nothing more is started, and the server is asked: one that goes on answers, and reports itself
// ready again.
func (c *Core) serverLeft(e ServerLeft) {
	if c.server.phase == serverNone || c.server.report.Server.Incarnation != e.Incarnation {
		return
	}
	c.server.left = true
	c.holds.shortPollWanted = true
	c.emit(LogMessage{Text: "backend server leaves", Incarnation: e.Incarnation})
}

// goneReason returns why the runs of an incarnation that has a successor are lost. One
// that drained before has ended as planned, unless it reported a later end.
func (c *Core) goneReason() string {
	if c.endedAsPlanned() {
		return reasonServerLeft
	}
	return reasonServerRestarted
}

// lapseReason returns why the runs of a silent server are lost.
func (c *Core) lapseReason() string {
	switch {
	case !c.server.refuses:
		return reasonLeaseLapsed
	case c.endedAsPlanned():
		return reasonServerLeft
	}
	return reasonServerRefuses
}

// abandon stops using the current incarnation. The one that was reported meanwhile, if there
// is any, takes its place.
func (c *Core) abandon(reason string) {
	c.orphanRuns(reason)
	next := c.proposed.report
	c.proposed = proposal{}
	c.holds.fence = max(c.holds.fence, c.server.fence)
	c.server = serverState{}
	if next != nil {
		c.adopt(*next)
	}
}

// orphanRuns returns the waiting tasks to their entries and marks all other runs as
// orphaned: the current incarnation is gone, but starts that it seemed to accept may
// have reached its successor.
func (c *Core) orphanRuns(reason string) {
	for _, t := range c.inOrder() {
		if t.phase == phaseQueued {
			c.end(t, work.NotStarted, reasonServerRestarted)
			continue
		}
		if t.phase != phaseOrphaned {
			t.lostReason = reason
		}
		t.phase = phaseOrphaned
		t.since = c.now
		t.stop = stopState{wanted: t.stop.wanted}
		t.listedFrom = c.holds.next
	}
}

// expireOrphaned reports orphaned runs as lost once even the longest lease must have
// lapsed without any incarnation listing them.
func (c *Core) expireOrphaned() {
	for _, t := range c.inOrder() {
		if t.phase == phaseOrphaned && c.now-t.since > c.cfg.Terms.MaxRunAfterAnyRenewal() {
			c.end(t, work.Lost, t.lostReason)
		}
	}
}

// extendLease returns the end, on the server's clock, of a lease that begins now.
func (c *Core) extendLease() time.Duration {
	c.holds.renewedAt = c.now
	e := c.server.clockLowerBound(c.now) + c.cfg.Terms.Server
	c.server.expiry = max(c.server.expiry, e)
	return e
}

// silentRenewals is the number of renewal intervals without an answer after which the
// lease is no longer extended, so that the runs of a server that may be gone lapse.
const silentRenewals = 2.2

// renewable reports whether the lease may be extended: the server answers, and its clock is
// known.
func (c *Core) renewable() bool { return c.answering() && c.holds.resumedFrom == 0 }

// answering reports whether the last call was answered, or the last answer is recent enough.
func (c *Core) answering() bool {
	return !c.holds.failing || float64(c.now-c.server.lastContact) <= silentRenewals*float64(c.cfg.Terms.RenewInterval)
}

// silentAfter is how long a server that leaves calls unanswered still gets new tasks:
// long enough for a few of the calls that are sent while answers are missing.
const silentAfter = 60 * time.Millisecond

// silent reports whether the server may be gone and must get no new tasks.
func (c *Core) silent() bool {
	return c.holds.resumedFrom > 0 || c.holds.failing && c.now-c.server.lastContact > silentAfter
}

// expireServer reports all runs as lost once the server has been silent for so long
// that every lease there must have lapsed on the server's own clock.
func (c *Core) expireServer() {
	s := &c.server
	if s.phase == serverNone || c.answering() {
		return
	}
	if s.clockLowerBound(c.now) <= s.expiry+c.cfg.Terms.StopTime {
		return
	}
	silent := c.now - s.lastContact
	for _, t := range c.inOrder() {
		if t.phase != phaseQueued && t.phase != phaseOrphaned {
			c.end(t, work.Lost, c.lapseReason())
		}
	}
	if s.phase == serverInUse {
		s.phase = serverClearing
		c.emit(LogMessage{Text: "backend server silent; its leases have lapsed", Incarnation: s.report.Server.Incarnation, Age: silent, Reason: c.lapseReason()})
	}
}
