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
	report := func(cpu int64) int {
		for range 15 { // the interval between reports
			s.now += 100 * time.Millisecond
			s.step(EntryHeartbeat{Entry: entryA, AsOf: s.now})
			s.answerOutstanding()
		}
		e := s.nextReport()
		e.Server.Capacity.CPUMilli = cpu
		s.step(e)
		return len(of[CallStart](s.take()))
	}
	for i, want := range []struct {
		cpu    int64
		starts int
	}{{6000, 0}, {4000, 0}, {6000, 0}, {6000, 2}} {
		if starts := report(want.cpu); starts != want.starts {
			t.Errorf("%d tasks start after report %d, of %d thousandths of a core, want %d", starts, i, want.cpu, want.starts)
		}
	}
}

// Pings of another writer with the server's own ID and start, at twice the rate of its own, took
// it out of use or made it start too much for as long as they lasted.
func TestReportsOfAnotherWriterDoNotWinByTheirNumber(t *testing.T) {
	sameIncarnation(t, func(name string, s *realServer, odd ServerReported) {
		before := s.core.Room()
		capacity := s.core.server.capacity()
		for n := range 30 {
			s.now += 100 * time.Millisecond
			odd.Clock = s.clock()
			s.stepAnswered(odd)
			if n%15 == 14 {
				s.stepAnswered(s.nextReport())
				if after := s.core.Room(); !after.Equal(&before) {
					t.Fatalf("report %s: room %+v after the server's own, want %+v", name, after, before)
				}
			}
			if !s.core.server.capacity().Fits(capacity) {
				t.Fatalf("report %s: capacity %+v is used, want at most %+v", name, s.core.server.capacity(), capacity)
			}
		}
	})
}

// After a single report of a tiny capacity, entries answered jobs as failed, since their tasks
// fitted no server any more. The smaller capacity is in force at once, but as room that is used.
func TestASmallerCapacityIsTakenForUsedUntilItIsRepeated(t *testing.T) {
	s := newRealServer(t)
	s.stepAnswered(s.nextReport())
	before := s.core.Room()
	for n, want := range []int64{before.Server.Capacity.CPUMilli, 1} {
		s.now += 1500 * time.Millisecond
		e := s.nextReport()
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

// Reports of another kind between those of a server that drains must not make it look ready.
func TestReportsOfAnotherKindDoNotHideThatTheServerDrains(t *testing.T) {
	s := newRealServer(t)
	s.stepAnswered(s.nextReport())
	for n := range 12 {
		s.now += 500 * time.Millisecond
		e := s.nextReport()
		if n%3 == 0 {
			e.Server.Draining, e.Server.Remaining = true, time.Second
		} else {
			e.Server.Service = "backup"
		}
		s.stepAnswered(e)
		if room := s.core.Room(); !room.Server.Draining || !room.Closed || room.Server.Service != "s" {
			t.Fatalf("room %+v after report %d, want that of a server that drains", room, n)
		}
	}
}

// A capacity that changes with every report never counted, since no report repeated the one
// before it (found while the rule was written).
func TestACapacityThatChangesWithEveryReportIsFollowed(t *testing.T) {
	s := newRealServer(t)
	s.stepAnswered(s.nextReport())
	last := int64(4000)
	for i, c := range []struct{ cpu, want int64 }{{5000, 4000}, {6000, 5000}, {7000, 6000}, {6500, 6500}, {3000, 3000}, {2000, 2000}, {2500, 2000}, {2500, 2500}} {
		s.now += 1500 * time.Millisecond
		e := s.nextReport()
		e.Server.Capacity.CPUMilli = c.cpu
		s.stepAnswered(e)
		if got := s.core.server.capacity().CPUMilli; got != c.want {
			t.Errorf("capacity %d after report %d, of %d after %d, want %d", got, i, c.cpu, last, c.want)
		}
		last = c.cpu
	}
}
