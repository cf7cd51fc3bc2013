package membership

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// PeersSince returns what a heartbeat reply tells an agent about its peers:
// those that changed since the given time, which is that of the last reply the
// agent got (zero for all), and a sample of LoadSample others for their load.
// The sample moves on with time and so reaches everyone. The list is an update
// by incarnation, not the whole.
func (t *Tracker) PeersSince(now, since time.Duration, to ident.Incarnation) []Agent {
	var peers []Agent
	sampled := t.sampleAt(now)
	for i, id := range t.order {
		a := t.agents[id]
		if id == to || (since == 0 && a.State == Gone) {
			continue
		}
		if since == 0 || a.ChangedAt >= since || sampled.has(i) {
			peers = append(peers, *a)
		}
	}
	return peers
}

// window is a range of positions in a ring.
type window struct{ start, length, ring int }

func (w window) has(i int) bool {
	if w.ring == 0 {
		return false
	}
	return (i-w.start+w.ring)%w.ring < w.length
}

// sampleInterval is the time after which the load sample moves on. It is that
// of heartbeats, so that an agent gets all samples in turn.
const sampleInterval = 500 * time.Millisecond

// sampleAt returns the window of the load sample at a time.
func (t *Tracker) sampleAt(now time.Duration) window {
	n := len(t.order)
	if n == 0 {
		return window{}
	}
	length := min(t.cfg.LoadSample, n)
	return window{start: int(now/sampleInterval) * length % n, length: length, ring: n}
}

// HeardHere returns up to limit announcements of agents that this entry hears
// itself, for exchange with other entries. Calls go round, so that all agents
// are told in turn at a bounded cost.
func (t *Tracker) HeardHere(now time.Duration, limit int) []Announcement {
	var ns []Announcement
	n := len(t.order)
	looked := 0
	for ; looked < n && len(ns) < limit; looked++ {
		a := t.agents[t.order[(t.told+looked)%n]]
		if a.announced && a.State != Gone && now-a.HeardAt < t.cfg.SuspectAfter {
			ns = append(ns, a.Announcement)
		}
	}
	if n > 0 {
		t.told = (t.told + looked) % n
	}
	return ns
}
