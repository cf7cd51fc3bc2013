package sitesim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/schedule"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// inject starts one fault, and schedules its end.
func (s *Site) inject(f Fault) {
	v := s.vms[f.Index%len(s.vms)]
	e := s.entries[f.Index%len(s.entries)]
	switch f.Kind {
	case KillAgent:
		v.kill(f.For)
	case KillEntry:
		e.kill(f.For)
	case FreezeAgent:
		v.frozenUntil = s.now() + f.For
	case FreezeEntry:
		e.frozenUntil = s.now() + f.For
	case SilentServer:
		v.state.silent = true
		s.after(f.For, func() { v.state.silent = false })
	case CrashServer:
		v.crash(f.For)
	case SlowServer:
		v.state.slow = f.Magnitude
		s.after(f.For, func() { v.state.slow = 1 })
	case StuckServer:
		v.state.stuck = true
		s.after(f.For, func() { v.state.stuck = false })
	case FailingServer:
		v.state.failing = true
		s.after(f.For, func() { v.state.failing = false })
	case CutLink:
		s.cut([2]int{f.Index % len(s.entries), f.Index % len(s.vms)}, f.For)
	case CutDomain:
		cut := s.domain(f.Index)
		s.cutDomains(f.For, func(entry, agent ident.FailureDomain) bool { return (entry == cut) != (agent == cut) })
	case SplitDomains:
		one, other := s.domain(f.Index), s.domain(f.Index+1)
		s.cutDomains(f.For, func(entry, agent ident.FailureDomain) bool {
			return entry == one && agent == other || entry == other && agent == one
		})
	case SlowEntry:
		for i := f.Index % 2; i < len(s.vms); i += 2 {
			s.lag([2]int{e.index, i}, time.Duration(f.Magnitude*float64(time.Second)), f.For)
		}
	case LateOrders:
		s.orders.late = f.Magnitude
		s.after(f.For, func() { s.orders.late = 0 })
	case LostAnswers:
		s.orders.lost = f.Magnitude
		s.after(f.For, func() { s.orders.lost = 0 })
	case DrainServer:
		v.state.draining = true
		if f.Magnitude > 0 {
			v.state.endsAt = s.now() + f.For
		}
		s.after(f.For, func() { v.crash(time.Second) })
	case LeaveServer:
		v.leave(f.For, time.Duration(f.Magnitude*float64(time.Second)))
	case WithdrawDomain:
		s.withdraw(s.domain(f.Index), f.For)
	case DisconnectCallers:
		s.callers.disconnectShare = f.Magnitude
		s.after(f.For, func() { s.callers.disconnectShare = 0 })
	}
}

func (s *Site) cut(pair [2]int, length time.Duration) {
	s.cuts[pair] = true
	s.after(length, func() { delete(s.cuts, pair) })
}

// cutDomains cuts all entries and agents whose domains are apart, for the given length.
func (s *Site) cutDomains(length time.Duration, apart func(entry, agent ident.FailureDomain) bool) {
	for e := range s.entries {
		for v := range s.vms {
			if apart(s.domain(e), s.domain(v)) {
				s.cut([2]int{e, v}, length)
			}
		}
	}
}

// lag makes an entry process the messages of an agent late, for the given length.
func (s *Site) lag(pair [2]int, late, length time.Duration) {
	s.lags[pair] = late
	s.after(length, func() { delete(s.lags, pair) })
}

// learnDelay is the time until entries learn of a changed operators' row.
const learnDelay = 50 * time.Millisecond

// withdraw takes a failure domain out of service for the given length.
func (s *Site) withdraw(d ident.FailureDomain, length time.Duration) {
	s.operator.Withdrawn = append(slices.Clone(s.operator.Withdrawn), d)
	s.checks.withdrawn[d] = s.now()
	s.publishOperatorRows()
	s.after(length, func() {
		s.operator.Withdrawn = slices.DeleteFunc(slices.Clone(s.operator.Withdrawn), func(o ident.FailureDomain) bool { return o == d })
		delete(s.checks.withdrawn, d)
		s.publishOperatorRows()
	})
}

func (s *Site) publishOperatorRows() {
	s.operator.Version++
	rows := s.operator
	for _, e := range s.entries {
		e.later(learnDelay, func() { e.step(schedule.OperatorChanged{Rows: rows}) })
	}
}
