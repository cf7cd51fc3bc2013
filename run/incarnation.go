package run

import (
	"strconv"
	"time"

	"foxtaildock.example/dock/lease"
)

// Incarnation identifies one incarnation of a backend server. A server may start again
// under the ID that it had.
type Incarnation struct {
	ID string
	// StartUnixMs is the start by the server's wall clock, in Unix milliseconds. It may be
	// below that of an earlier incarnation, since that clock may jump.
	StartUnixMs int64
}

// String returns the name of the incarnation, which entries compare. It is empty for the zero
// value.
func (i Incarnation) String() string {
	if i == (Incarnation{}) {
		return ""
	}
	return i.ID + "@" + strconv.FormatInt(i.StartUnixMs, 10)
}

func (e *ServerReported) incarnation() Incarnation {
	return Incarnation{ID: e.Server.Incarnation, StartUnixMs: e.StartUnixMs}
}

// proposal is a report of another incarnation than the one in use. Anyone may send a
// report, so it only makes the agent ask: the answer of the server itself decides.
type proposal struct {
	// report is nil if nothing is proposed.
	report *ServerReported
	// decidedFrom is the number of the first call that is sent after the report.
	decidedFrom uint64
}

// serverReported handles a report of a backend server. Which incarnation the agent uses
// doesn't depend on it, except while none is confirmed.
func (c *Core) serverReported(e ServerReported) {
	s := &c.server
	switch {
	case s.phase == serverNone:
		c.adopt(e)
	case s.report.incarnation() == e.incarnation():
		c.updateReport(e)
	case !s.confirmed:
		former := s.report
		c.adopt(e)
		c.propose(former)
	default:
		c.propose(e)
	}
}

// propose makes the agent ask the server whether its incarnation is still the one in use.
func (c *Core) propose(e ServerReported) {
	if p := c.proposed.report; p == nil || p.incarnation() != e.incarnation() {
		c.emit(LogMessage{Text: "report names another incarnation; asking the backend server", Incarnation: e.Server.Incarnation, Reason: "started at " + strconv.FormatInt(e.StartUnixMs, 10) + ", in use " + c.server.report.incarnation().String()})
	}
	c.proposed = proposal{report: &e, decidedFrom: c.nextCall()}
	c.holds.shortPollWanted = true
}

// adopt switches to another incarnation of the backend server. Nothing is started there
// before a list of its runs has confirmed it.
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
	c.proposed = proposal{}
	c.server = serverState{
		phase: serverClearing, report: e, firstCall: c.nextCall(),
		lastContact: c.now, agreedAt: c.now, kindAt: c.now,
		fence: max(before+1, e.StartUnixMs+e.Clock.Milliseconds()),
	}
	c.holds.shortPollWanted = true
	c.emit(LogMessage{Text: "backend server reported", Incarnation: e.Server.Incarnation})
	c.noteServerEnd()
}

// otherIncarnation handles an answer that shows that the incarnation in use isn't, or is no
// longer, the server's. The reported one, if there is any, takes its place.
func (c *Core) otherIncarnation() {
	c.emit(LogMessage{Text: "another incarnation of the backend server answers", Incarnation: c.server.report.Server.Incarnation})
	c.abandon(c.goneReason())
}

// confirm records that the server has answered a call as the incarnation in use. A report
// of another one that arrived before the call was sent names none that exists.
func (c *Core) confirm(call uint64) {
	s := &c.server
	if p := c.proposed; p.report != nil && call >= p.decidedFrom {
		c.proposed = proposal{}
		c.emit(LogMessage{ReportIgnored: true, Text: "report ignored: the backend server answers as another incarnation", Incarnation: p.report.Server.Incarnation})
	}
	if s.confirmed {
		return
	}
	s.confirmed = true
	if s.report.Clock > s.clockUpperBound(c.now)+reportSlack {
		s.report.Clock, s.report.Sequence = 0, 0 // it must not keep out the reports that follow
	}
}

// acceptAnswer reports whether the answer to a lease call counts for the incarnation in use.
// It must name it. An answer that names another one shows that the one in use is gone, unless
// the call was sent before that was adopted.
func (c *Core) acceptAnswer(call uint64, sentAt time.Duration, s Stamp) bool {
	if c.server.phase == serverNone || call < c.server.firstCall {
		return false
	}
	if s.StartUnixMs != c.server.report.StartUnixMs {
		c.otherIncarnation()
		return false
	}
	if call >= c.holds.resumedFrom {
		c.holds.resumedFrom = 0
	}
	c.server.fenceStep = 0
	c.updateClock(call, sentAt, s.Clock)
	c.confirm(call)
	return true
}

// acceptStamp reports whether the answer to an order counts for the incarnation in use. The
// order was sent to that alone, so an answer that names none counts as well.
func (c *Core) acceptStamp(s Stamp) bool {
	return c.server.phase != serverNone && (s.StartUnixMs == 0 || s.StartUnixMs == c.server.report.StartUnixMs)
}

// updateClock takes over the server's clock from the answer to a call. The clock never goes
// back, but what was known of it may have been too high: the VM was suspended, and the server's
// clock stood still meanwhile. Then the answer to any call that was sent later corrects it, so
// that leases aren't longer than meant.
func (c *Core) updateClock(call uint64, sentAt, clock time.Duration) {
	s := &c.server
	known := s.clockLowerBound(c.now)
	if s.confirmed && clock < known && call < s.clockFrom {
		clock = known
	}
	if s.confirmed && clock < known-reportSlack {
		c.emit(LogMessage{Text: "clock of the backend server was behind what was assumed", Incarnation: s.report.Server.Incarnation, Age: known - clock})
	}
	s.clock, s.lastContact, s.clockSentAt, s.clockFrom = clock, c.now, sentAt, c.nextCall()
}

// clockUpperBound returns a time that the server's clock can't have passed yet.
func (s *serverState) clockUpperBound(now time.Duration) time.Duration {
	return s.clock + time.Duration(float64(now-s.clockSentAt)*(1+lease.ClockDrift))
}

// clockLowerBound returns a time that the server's clock has certainly reached, unless the
// VM was suspended: it may be slow by up to lease.ClockDrift.
func (s *serverState) clockLowerBound(now time.Duration) time.Duration {
	return s.clock + time.Duration(float64(now-s.lastContact)*(1-lease.ClockDrift))
}
