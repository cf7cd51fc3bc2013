package run

import (
	"time"

	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/work"
)

// serverPhase is how far the agent is with its backend server.
type serverPhase int

const (
	// serverNone: no backend server has reported.
	serverNone serverPhase = iota
	// serverClearing: runs of an earlier life of the agent are being ended.
	serverClearing
	// serverOpen: tasks are started.
	serverOpen
)

// serverState is what the agent knows of its backend server.
type serverState struct {
	state  serverPhase
	report ServerReported
	fence  int64
	// clock and heard: the server's clock was at least clock at the time heard.
	clock time.Duration
	heard time.Duration
	// expiry is the highest end of the lease that any order may have set.
	expiry time.Duration
	// lastSeen is the number of the last end that was taken note of.
	lastSeen int64
	// foreign counts runs on the server that the agent doesn't hold.
	foreign int
}

// clockNow is a time that the server's clock has surely reached.
func (s *serverState) clockNow(now time.Duration) time.Duration {
	return s.clock + time.Duration(float64(now-s.heard)*(1-lease.ClockDrift))
}

func (c *Core) serverReported(e ServerReported) {
	s := &c.server
	same := s.state != serverNone && s.report.Born == e.Born && s.report.Server.Incarnation == e.Server.Incarnation
	switch {
	case same && e.Sequence <= s.report.Sequence:
		return // a late copy
	case same:
		draining := s.report.Server.Draining || e.Server.Draining
		s.report = e
		s.report.Server.Draining = draining
		return
	case s.state != serverNone && e.Born < s.report.Born:
		return // of an earlier incarnation
	}
	c.adopt(e)
}

// adopt takes a new incarnation of the backend server into use.
//
// Its start and its steady clock give a fencing token that is above those of
// earlier lives of the agent and of the server, without anything being stored.
func (c *Core) adopt(e ServerReported) {
	before := max(c.server.fence, c.holds.fence)
	c.pace = pace{}
	c.doubtRuns()
	c.holds.failing = false
	c.holds.listedAt = 0
	c.server = serverState{
		state: serverClearing, report: e,
		clock: e.Clock, heard: c.now,
		fence: max(before+1, e.Born+e.Clock.Milliseconds()),
	}
	c.holds.lookNow = true
	c.do(Noted{Event: "backend server reported", Incarnation: e.Server.Incarnation})
}

// reclaim raises the fencing token after the server has refused it: another life
// of the agent has spoken to it since.
func (c *Core) reclaim() {
	s := &c.server
	s.fence = max(s.fence+1, s.report.Born+s.clockNow(c.now).Milliseconds())
	c.holds.lookNow = true
	c.do(Noted{Event: "fencing token refused; raised", Incarnation: s.report.Server.Incarnation})
}

func (c *Core) serverLeft(e ServerLeft) {
	if c.server.state == serverNone || c.server.report.Server.Incarnation != e.Incarnation {
		return
	}
	c.abandon()
	c.do(Noted{Event: "backend server left", Incarnation: e.Incarnation})
}

// abandon gives up the incarnation in use before another one is known.
func (c *Core) abandon() {
	c.doubtRuns()
	c.holds.fence = max(c.holds.fence, c.server.fence)
	c.server = serverState{}
}

// doubtRuns hands back what waits, and marks the rest as unsure: the incarnation in
// use is gone, but orders that it seemed to take may have gone to the next one.
func (c *Core) doubtRuns() {
	for _, t := range c.inOrder() {
		if t.phase == phaseQueued {
			c.end(t, work.NotStarted, reasonNewLife)
			continue
		}
		t.phase = phaseUnsure
		t.since = c.now
		t.stop = stopState{wanted: t.stop.wanted}
		t.heldFrom = c.holds.next
	}
}

// expireUnsure ends the unsure runs that no lease can have kept alive, if no
// incarnation has told of them.
func (c *Core) expireUnsure() {
	for _, t := range c.inOrder() {
		if t.phase == phaseUnsure && c.now-t.since > c.cfg.Terms.LapseAny() {
			c.end(t, work.Lost, reasonNewLife)
		}
	}
}

// stamped reports whether an answer is of the incarnation in use, and takes its
// clock. An answer of another incarnation says that the one in use is gone.
func (c *Core) stamped(s Stamp) bool {
	if c.server.state == serverNone {
		return false
	}
	if s.Born == 0 {
		return true
	}
	if s.Born != c.server.report.Born {
		if s.Born > c.server.report.Born {
			c.abandon()
			c.do(Noted{Event: "another incarnation of the backend server answers"})
		}
		return false
	}
	if s.Clock > c.server.clockNow(c.now) {
		c.server.clock = s.Clock
	} else {
		c.server.clock = c.server.clockNow(c.now)
	}
	c.server.heard = c.now
	return true
}

// extend returns the end of a lease that begins now.
func (c *Core) extend() time.Duration {
	c.holds.renewedAt = c.now
	e := c.server.clockNow(c.now) + c.cfg.Terms.Server
	c.server.expiry = max(c.server.expiry, e)
	return e
}

// silentRenewals is after how many renewal intervals without an answer the lease
// is no longer extended, so that the runs of a server that may be gone lapse.
const silentRenewals = 2.2

// renewable reports whether the server has answered its last call, or has done so
// lately.
func (c *Core) renewable() bool {
	return !c.holds.failing || float64(c.now-c.server.heard) <= silentRenewals*float64(c.cfg.Terms.Renew)
}

// silentAfter is how long a server that leaves calls unanswered may be silent and
// still get new work: a few of the calls that are sent while answers are missing.
const silentAfter = 60 * time.Millisecond

// silent reports whether the server may be gone, so that it gets no new work.
func (c *Core) silent() bool {
	return c.holds.failing && c.now-c.server.heard > silentAfter
}

// expireServer gives up the runs of a server that has been silent for so long
// that every lease there has lapsed on its own clock.
func (c *Core) expireServer() {
	s := &c.server
	if s.state == serverNone || c.renewable() {
		return
	}
	if s.clockNow(c.now) <= s.expiry+c.cfg.Terms.StopTime {
		return
	}
	silent := c.now - s.heard
	for _, t := range c.inOrder() {
		if t.phase != phaseQueued && t.phase != phaseUnsure {
			c.end(t, work.Lost, reasonLapsed)
		}
	}
	if s.state == serverOpen {
		s.state = serverClearing
		c.do(Noted{Event: "backend server silent; its leases have lapsed", Incarnation: s.report.Server.Incarnation, Age: silent})
	}
}
