package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// waiting is work of priority 1 for the service of the test's server, and for another one.
func waiting(cpuMs float64) []WaitingWork {
	return []WaitingWork{
		{Service: "s", Priority: 1, CPUMs: cpuMs, Oldest: 30 * time.Millisecond},
		{Service: "other", Priority: 1, CPUMs: 7, Oldest: time.Second},
	}
}

// The load includes the newest figure of each entry, and none of an entry that has died or has
// nothing waiting any more.
func TestLoadIncludesTheNewestFigureOfEachEntry(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	interval := h.core.cfg.Terms.HeartbeatInterval
	check := func(when string, cpuMs float64, entries int, age time.Duration) {
		t.Helper()
		l := h.core.Load(h.now)
		sum, oldest := 0.0, time.Duration(0)
		for _, p := range l.Priorities {
			sum, oldest = sum+p.WaitingCPUMs, max(oldest, p.Oldest)
		}
		if sum != cpuMs || l.Entries != entries || l.Age != age || entries > 0 && oldest != age+30*time.Millisecond {
			t.Errorf("%s: load %+v, want work %v of %d entries, aged %v", when, l, cpuMs, entries, age)
		}
	}
	check("before any figure", 0, 0, 0)
	h.step(WaitingReported{Entry: entryA, Waiting: waiting(100)})
	h.step(WaitingReported{Entry: entryB, Waiting: waiting(50)})
	check("both entries", 150, 2, 0)
	h.now += 3 * interval
	check("entry A has missed two heartbeats", 150, 2, 3*interval)
	h.step(WaitingReported{Entry: entryB, Waiting: waiting(20)})
	h.now++
	check("entry A has missed three heartbeats", 20, 1, 1)
	h.step(WaitingReported{Entry: entryB})
	check("nothing waits at entry B", 0, 0, 0)
}

// A task that is offered leaves its entry's backlog. It counts at the agent instead, as waiting
// until it starts and as running from then on.
func TestTasksAtTheAgentCountAsRunningOrWaiting(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i := range 5 {
		o := offer(i)
		o.Priority, o.Expected = work.Priority(i%2), 10*time.Millisecond
		h.step(o)
	}
	l := h.core.Load(h.now)
	if len(l.Priorities) != 2 || l.Priorities[0].RunningMilli != 2000 || l.Priorities[1].RunningMilli != 2000 ||
		l.Priorities[0].WaitingCPUMs != 10_000 || l.Priorities[1].WaitingCPUMs != 0 {
		t.Errorf("load %+v, want two tasks of each priority running and the fifth of 10 ms on one core waiting", l)
	}
}
