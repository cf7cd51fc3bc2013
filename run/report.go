package run

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"foxtaildock.example/dock/work"
)

// A report of the incarnation in use may be another writer's: only its address, ID and start
// tell whose it is. So a report that differs from earlier ones counts in full only once the next
// one differs as well and none has agreed with the earlier ones for a while: the server's own
// come at an interval, however many another writer sends. Until then it counts where that starts
// less and promises nothing: a server that may drain gets no task, and of two capacities the
// smaller one is used. One of another kind doesn't count at all, since an incarnation doesn't
// change its kind.

// reportSlack is how far a report's clock may be ahead of what the server's answers allow:
// both are rounded to milliseconds, and timers fire late.
const reportSlack = 100 * time.Millisecond

// updateReport takes over a later report of the incarnation in use. Its place in the order
// of the reports is that of its clock, which the server's own answers bound, so that a
// report from elsewhere can't keep later ones out. Reports with the same clock are ordered
// by sequence.
func (c *Core) updateReport(e ServerReported) {
	s := &c.server
	if !e.after(&s.report) {
		c.reportDelayed(&e)
		return
	}
	if s.confirmed && e.Clock > s.clockUpperBound(c.now)+reportSlack {
		c.emit(LogMessage{ReportIgnored: true, Text: "report ignored: its clock is ahead of the backend server's", Incarnation: e.Server.Incarnation})
		return
	}
	s.delayed = 0
	s.report.Clock, s.report.Sequence = e.Clock, e.Sequence
	if !c.acceptKind(&e.Server) {
		return
	}
	former, last := s.report.Server, s.disputed
	s.report.Server, s.disputed = settle(&former, last, &e.Server, c.now-s.agreedAt >= c.agreementAge()), nil
	if differs(&s.report.Server, &e.Server) {
		s.disputed = &e.Server
	} else {
		s.agreedAt = c.now
	}
	c.logReport(&former, last)
	s.left = s.left && (e.Server.Draining || s.disputed != nil)
	c.noteServerEnd()
}

// acceptKind reports whether a report is of the server's kind. One of another kind counts once
// the next one is of that kind too and none of the former kind has come for agreementAge. It
// then begins anew what counts of the server.
func (c *Core) acceptKind(e *work.Server) bool {
	s := &c.server
	last := s.otherKind
	s.otherKind = nil
	if sameKind(&s.report.Server, e) {
		s.kindAt = c.now
		return true
	}
	if last != nil && sameKind(last, e) && c.now-s.kindAt >= c.agreementAge() {
		c.emit(LogMessage{Text: "backend server has changed", Incarnation: e.Incarnation, Reason: difference(&s.report.Server, e)})
		s.report.Server, s.disputed, s.kindAt, s.agreedAt = *e, nil, c.now, c.now
		return true
	}
	s.otherKind = e
	c.emit(LogMessage{ReportIgnored: true, Text: "report ignored until only such ones come: it contradicts earlier ones", Incarnation: e.Incarnation, Reason: difference(&s.report.Server, e)})
	return false
}

// reportDelayed handles a report that is a duplicate or older than the newest one. Several in a
// row show that the newest one can't have been the server's.
func (c *Core) reportDelayed(e *ServerReported) {
	s := &c.server
	if s.delayed++; s.delayed > 1 {
		c.emit(LogMessage{ReportIgnored: true, Text: "report ignored: it is older than the newest one", Incarnation: e.Server.Incarnation, Age: s.report.Clock - e.Clock})
	}
}

// after reports whether a report comes after another one of the same incarnation.
func (e *ServerReported) after(o *ServerReported) bool {
	return e.Clock > o.Clock || e.Clock == o.Clock && e.Sequence > o.Sequence
}

// agreementIntervals is for how many intervals between reports no report may have agreed with
// the earlier ones before another one counts in full: less than two, so that the second report
// of a server that has changed does, and enough that a late one of its own is waited for.
const agreementIntervals = 1.9

// agreementAge returns how long the last report that agreed with the earlier ones counts.
func (c *Core) agreementAge() time.Duration {
	return time.Duration(agreementIntervals * float64(c.cfg.ReportInterval))
}

// settle returns what counts in full after a report e of the same kind. last is the report before
// it if that differed from what counted before, else nil; alone is true if none has agreed with
// that for agreementAge. Of a capacity that changes with each report, the smaller of the last two
// counts.
func settle(before, last, e *work.Server, alone bool) work.Server {
	settled := *before
	settled.Remaining = e.Remaining
	if last == nil || !alone {
		return settled
	}
	if last.Draining == e.Draining {
		settled.Draining = e.Draining
	}
	if last.Capacity != before.Capacity && e.Capacity != before.Capacity {
		settled.Capacity = last.Capacity.Least(e.Capacity)
	}
	return settled
}

// sameKind reports whether two reports agree in what an incarnation doesn't change.
func sameKind(a, b *work.Server) bool {
	return a.Service == b.Service && a.Domain == b.Domain && slices.Equal(a.Labels, b.Labels)
}

// differs reports whether two reports of one kind differ in what an incarnation changes.
func differs(a, b *work.Server) bool {
	return a.Draining != b.Draining || a.Capacity != b.Capacity
}

// logReport logs what the newest report changes, or doesn't change yet, in what counts of the
// server. last is the report before it if that differed from former.
func (c *Core) logReport(former, last *work.Server) {
	now, disputed := &c.server.report.Server, c.server.disputed
	m := LogMessage{Incarnation: now.Incarnation}
	switch {
	case disputed != nil && now.Draining && !disputed.Draining:
		m.ReportIgnored, m.Text, m.Reason = true, "report ignored until only such ones come: it contradicts earlier ones", difference(now, disputed)
	case disputed != nil:
		m.Text, m.Reason = "report differs from earlier ones; it counts in full once only such ones come", difference(now, disputed)
	case differs(former, now):
		m.Text, m.Reason = "backend server has changed", difference(former, now)
	case last != nil:
		m.ReportIgnored, m.Text, m.Reason = true, "report dropped: the one after it agrees with earlier ones", difference(now, last)
	default:
		return
	}
	c.emit(m)
}

// difference describes in what a report of the server differs from an earlier one, for the log.
func difference(old, e *work.Server) string {
	var list []string
	add := func(name string, from, to any) { list = append(list, fmt.Sprintf("%s %.80v to %.80v", name, from, to)) }
	if old.Service != e.Service {
		add("service", old.Service, e.Service)
	}
	if old.Domain != e.Domain {
		add("failure domain", old.Domain, e.Domain)
	}
	if !slices.Equal(old.Labels, e.Labels) {
		add("labels", strings.Join(old.Labels, ","), strings.Join(e.Labels, ","))
	}
	if old.Draining != e.Draining {
		add("draining", old.Draining, e.Draining)
	}
	if old.Capacity != e.Capacity {
		add("capacity", amount(old.Capacity), amount(e.Capacity))
	}
	return strings.Join(list, ", ")
}

func amount(d work.Demand) string {
	return fmt.Sprintf("%d thousandths of a core, %d MB, %d accelerators", d.CPUMilli, d.MemoryMB, d.GPUs)
}

// draining reports whether the server gets no new task since it drains, may drain, or is said
// to have left.
func (s *serverState) draining() bool {
	return s.left || s.report.Server.Draining || s.disputed != nil && s.disputed.Draining
}

// capacity returns the capacity that tasks may use: the least that the server may have.
func (s *serverState) capacity() work.Demand {
	if s.disputed == nil {
		return s.report.Server.Capacity
	}
	return s.report.Server.Capacity.Least(s.disputed.Capacity)
}
