package run

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Load is what runs on the agent's backend server and what waits for it, by priority.
type Load struct {
	Priorities []PriorityLoad // by rising priority number
	// Entries is the number of entries whose waiting work is included.
	Entries int
	// Age is the age of the oldest figure that is included.
	Age time.Duration
}

// PriorityLoad is the load of one priority.
type PriorityLoad struct {
	Priority work.Priority
	// RunningMilli is the CPU demand of the runs, in thousandths of a core.
	RunningMilli int64
	// WaitingCPUMs is the expected CPU work that waits at entries and in the agent's queue,
	// in thousandths of a core times milliseconds.
	WaitingCPUMs float64
	// Oldest is how long the work that has waited longest has waited.
	Oldest time.Duration
}

// WaitingWork is the work of one service and priority that waits at an entry, divided by the
// number of its usable agents of the service.
type WaitingWork struct {
	Service  ident.Service
	Priority work.Priority
	// CPUMs is the expected CPU work, in thousandths of a core times milliseconds.
	CPUMs float64
	// Oldest is how long the job that has waited longest has waited.
	Oldest time.Duration
}

// WaitingReported replaces the figures of the work that waits at an entry. An empty list
// removes them.
type WaitingReported struct {
	Entry   ident.Incarnation
	Waiting []WaitingWork
}

func (WaitingReported) event() {}

// waitingKeptHeartbeats is the number of heartbeat intervals for which the figures of an entry
// are used. The next ones come after one interval, so that two may be lost.
const waitingKeptHeartbeats = 3

// entryWaiting is the newest report of an entry.
type entryWaiting struct {
	entry   ident.Incarnation
	at      time.Duration
	waiting []WaitingWork
}

func (c *Core) waitingReported(e WaitingReported) {
	at, found := slices.BinarySearchFunc(c.waiting, e.Entry, func(w entryWaiting, entry ident.Incarnation) int { return cmp.Compare(w.entry, entry) })
	if found {
		c.waiting = slices.Delete(c.waiting, at, at+1)
	}
	if len(e.Waiting) > 0 {
		c.waiting = slices.Insert(c.waiting, at, entryWaiting{entry: e.Entry, at: c.now, waiting: e.Waiting})
	}
}

// expireWaiting drops figures of entries that have sent none for waitingKeptHeartbeats.
func (c *Core) expireWaiting(now time.Duration) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w entryWaiting) bool {
		return now-w.at > waitingKeptHeartbeats*c.cfg.Terms.HeartbeatInterval
	})
}

// Load returns what runs and waits at the given time, for the service of the backend server in
// use. It is empty if there is none.
func (c *Core) Load(now time.Duration) Load {
	c.expireWaiting(now)
	var l Load
	if c.server.phase != serverInUse {
		return l
	}
	for _, w := range c.waiting {
		l.addWaiting(w, c.server.report.Server.Service, now)
	}
	for _, t := range c.held {
		p := l.of(t.priority)
		if t.phase != phaseQueued {
			p.RunningMilli += t.demand.CPUMilli
			continue
		}
		p.WaitingCPUMs += float64(t.demand.CPUMilli) * float64(max(t.expected, 0)) / float64(time.Millisecond)
		p.Oldest = max(p.Oldest, now-t.since)
	}
	return l
}

// addWaiting adds the work of one entry that waits for the service.
func (l *Load) addWaiting(e entryWaiting, service ident.Service, now time.Duration) {
	included := false
	for _, w := range e.waiting {
		if w.Service != service {
			continue
		}
		included = true
		p := l.of(w.Priority)
		p.WaitingCPUMs += w.CPUMs
		p.Oldest = max(p.Oldest, w.Oldest+now-e.at)
	}
	if included {
		l.Entries++
		l.Age = max(l.Age, now-e.at)
	}
}

// of returns the load of a priority, which is created if needed.
func (l *Load) of(p work.Priority) *PriorityLoad {
	at, found := slices.BinarySearchFunc(l.Priorities, p, func(l PriorityLoad, p work.Priority) int { return cmp.Compare(l.Priority, p) })
	if !found {
		l.Priorities = slices.Insert(l.Priorities, at, PriorityLoad{Priority: p})
	}
	return &l.Priorities[at]
}
