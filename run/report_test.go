package run

import (
	"testing"
	"time"
)

// sameIncarnation calls f with each odd report that names the server's own incarnation, and with
// the server in use.
func sameIncarnation(t *testing.T, f func(name string, s *realServer, odd ServerReported)) {
	for name, change := range oddReports {
		s := newRealServer(t)
		s.stepAnswered(s.nextReport())
		s.now += 100 * time.Millisecond
		odd := s.nextReport()
		change(&odd)
		s.sequence-- // the server doesn't know of it
		if odd.incarnation() == (Incarnation{ID: s.id, StartUnixMs: s.startMs}) {
			f(name, s, odd)
		}
	}
}

// A report of another writer that names the server's own incarnation was believed until the
// server's next but one, if it said that the server drains (review/3, related).
func TestAnOddReportOfTheSameIncarnationCountsUntilTheNextOne(t *testing.T) {
	sameIncarnation(t, func(name string, s *realServer, odd ServerReported) {
		before := s.core.Room()
		s.stepAnswered(odd)
		s.now += 1500 * time.Millisecond
		s.stepAnswered(s.nextReport())
		if after := s.core.Room(); !after.Equal(&before) {
			t.Errorf("report %s: room %+v after the next report, want %+v as before", name, after, before)
		}
	})
}

// A single report of another writer with a larger capacity made the agent start more than the
// server has room for.
func TestALargerCapacityCountsOnceItIsRepeated(t *testing.T) {
	s := newRealServer(t)
	s.stepAnswered(s.nextReport())
	s.step(EntryHeartbeat{Entry: entryA, AsOf: s.now})
	for i := range 8 {
		s.step(offer(i))
	}
	if n := len(of[CallStart](s.take())); n != 4 {
		t.Fatalf("%d tasks start, want 4, the capacity", n)
	}
	grown := func() ServerReported {
		s.now += 100 * time.Millisecond
		s.step(EntryHeartbeat{Entry: entryA, AsOf: s.now})
		e := s.nextReport()
		e.Server.Capacity.CPUMilli = 6000
		return e
	}
	s.step(grown())
	if n := len(of[CallStart](s.take())); n != 0 {
		t.Errorf("%d tasks start after one report of a larger capacity, want none", n)
	}
	s.step(s.nextReport())
	s.step(grown())
	if n := len(of[CallStart](s.take())); n != 0 {
		t.Errorf("%d tasks start after two such reports with another one between them, want none", n)
	}
	s.step(grown())
	if n := len(of[CallStart](s.take())); n != 2 {
		t.Errorf("%d tasks start once the larger capacity is repeated, want 2", n)
	}
}

// After a single report of a tiny capacity, entries answered jobs as failed, since their tasks
// fitted no server any more. The smaller capacity is in force at once, but as room that is used.
func TestASmallerCapacityIsTakenForUsedUntilItIsRepeated(t *testing.T) {
	s := newRealServer(t)
	s.stepAnswered(s.nextReport())
	before := s.core.Room()
	for n, want := range []int64{before.Server.Capacity.CPUMilli, 1} {
		e := s.nextReport()
		e.Clock += time.Duration(n) * time.Millisecond
		e.Server.Capacity.CPUMilli = 1
		s.step(e)
		room := s.core.Room()
		if room.Server.Capacity.CPUMilli != want {
			t.Errorf("a capacity of %d is told after %d such reports, want %d", room.Server.Capacity.CPUMilli, n+1, want)
		}
		if free := room.Server.Capacity.Minus(room.Used); free.CPUMilli != 1 || before.Equal(&room) {
			t.Errorf("%d thousandths of a core are free after %d such reports, want 1", free.CPUMilli, n+1)
		}
	}
}

// A capacity that changes with every report never counted, since no report repeated the one
// before it (found while the rule was written).
func TestACapacityThatChangesWithEveryReportIsFollowed(t *testing.T) {
	s := newRealServer(t)
	s.stepAnswered(s.nextReport())
	last := int64(4000)
	for _, cpu := range []int64{5000, 6000, 7000, 6500, 3000, 2000, 2500, 2500} {
		s.now += 1500 * time.Millisecond
		e := s.nextReport()
		e.Server.Capacity.CPUMilli = cpu
		s.stepAnswered(e)
		if got, want := s.core.server.capacity().CPUMilli, min(last, cpu); got != want {
			t.Errorf("capacity %d after reports of %d and %d, want %d", got, last, cpu, want)
		}
		last = cpu
	}
}
