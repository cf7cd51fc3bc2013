package run

import (
	"time"

	"foxtaildock.example/dock/lease"
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
	phase  serverPhase
	report ServerReported
	fence  int64
	// clock is a time that the server's clock had certainly reached at lastContact.
	clock time.Duration
	// lastContact is when the server last answered or, before any answer, when its
	// report arrived.
	lastContact time.Duration
	// expiry is the latest end of the lease, on the server's clock, that any call may
	// have set.
	expiry time.Duration
	// lastSeen is the sequence number of the last end of a run that was processed.
	lastSeen int64
	// foreign is the number of runs on the server that the agent doesn't hold.
	foreign int
	// endsAt is when the draining server ends at the earliest, 0 if its newest report
	// doesn't tell.
	endsAt time.Duration
	// refuses is true while no process listens at the server's address.
	refuses bool
}

// clockLowerBound returns a time that the server's clock has certainly reached: it
// may be slow by up to lease.ClockDrift.
func (s *serverState) clockLowerBound(now time.Duration) time.Duration {
	return s.clock + time.Duration(float64(now-s.lastContact)*(1-lease.ClockDrift))
}

func (c *Core) serverReported(e ServerReported) {
	s := &c.server
	same := s.phase != serverNone && s.report.StartUnixMs == e.StartUnixMs && s.report.Server.Incarnation == e.Server.Incarnation
	switch {
	case same && e.Sequence <= s.report.Sequence:
		return // a delayed or duplicate report
	case same:
		draining := s.report.Server.Draining || e.Server.Draining
		s.report = e
		s.report.Server.Draining = draining
		c.noteServerEnd()
		return
	case s.phase != serverNone && e.StartUnixMs < s.report.StartUnixMs:
		return // of an earlier incarnation
	}
	c.adopt(e)
}

// adopt switches to a newly reported incarnation of the backend server.
//
// The sum of the server's start time and its monotonic clock gives a fencing token
// above those of earlier incarnations of the agent and of the server, so that no token
// has to be stored.
func (c *Core) adopt(e ServerReported) {
	before := max(c.server.fence, c.holds.fence)
	c.pace, c.speed = pace{}, serverSpeed{}
	c.orphanRuns(c.goneReason())
	c.holds.failing = false
	c.holds.listedAt = 0
	c.server = serverState{
		phase: serverClearing, report: e,
		clock: e.Clock, lastContact: c.now,
		fence: max(before+1, e.StartUnixMs+e.Clock.Milliseconds()),
	}
	c.holds.shortPollWanted = true
	c.emit(LogMessage{Text: "backend server reported", Incarnation: e.Server.Incarnation})
	c.noteServerEnd()
}

// noteServerEnd keeps the end that follows from the newest report. A time that can't be right
// counts as unknown.
func (c *Core) noteServerEnd() {
	s := &c.server
	known := s.endsAt > 0
	s.endsAt = 0
	left := s.report.Server.Remaining
	if !s.report.Server.Draining || left <= 0 || left > work.MaxRemaining {
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
	return c.server.report.Server.Draining && c.now >= c.server.endsAt
}

// raiseFence raises the fencing token after the server has refused it, since another
// incarnation of the agent has used a higher one.
func (c *Core) raiseFence() {
	s := &c.server
	s.fence = max(s.fence+1, s.report.StartUnixMs+s.clockLowerBound(c.now).Milliseconds())
	c.holds.shortPollWanted = true
	c.emit(LogMessage{Text: "fencing token refused; raised", Incarnation: s.report.Server.Incarnation})
}

func (c *Core) serverLeft(e ServerLeft) {
	if c.server.phase == serverNone || c.server.report.Server.Incarnation != e.Incarnation {
		return
	}
	c.abandon(reasonServerLeft)
	c.emit(LogMessage{Text: "backend server left", Incarnation: e.Incarnation})
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

// abandon stops using the current incarnation while its successor isn't known yet.
func (c *Core) abandon(reason string) {
	c.orphanRuns(reason)
	c.holds.fence = max(c.holds.fence, c.server.fence)
	c.server = serverState{}
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

// acceptStamp reports whether an answer counts for the incarnation in use. An answer
// that names this incarnation updates the known clock of the server; one that names
// none counts as well. An answer of a later incarnation shows that the one in use is
// gone.
func (c *Core) acceptStamp(s Stamp) bool {
	if c.server.phase == serverNone {
		return false
	}
	if s.StartUnixMs == 0 {
		return true
	}
	if s.StartUnixMs != c.server.report.StartUnixMs {
		if s.StartUnixMs > c.server.report.StartUnixMs {
			c.abandon(c.goneReason())
			c.emit(LogMessage{Text: "another incarnation of the backend server answers"})
		}
		return false
	}
	if s.Clock > c.server.clockLowerBound(c.now) {
		c.server.clock = s.Clock
	} else {
		c.server.clock = c.server.clockLowerBound(c.now)
	}
	c.server.lastContact = c.now
	return true
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

// renewable reports whether the lease may still be extended: the last call was
// answered, or the last answer is recent enough.
func (c *Core) renewable() bool {
	return !c.holds.failing || float64(c.now-c.server.lastContact) <= silentRenewals*float64(c.cfg.Terms.RenewInterval)
}

// silentAfter is how long a server that leaves calls unanswered still gets new tasks:
// long enough for a few of the calls that are sent while answers are missing.
const silentAfter = 60 * time.Millisecond

// silent reports whether the server may be gone and must get no new tasks.
func (c *Core) silent() bool {
	return c.holds.failing && c.now-c.server.lastContact > silentAfter
}

// expireServer reports all runs as lost once the server has been silent for so long
// that every lease there must have lapsed on the server's own clock.
func (c *Core) expireServer() {
	s := &c.server
	if s.phase == serverNone || c.renewable() {
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
