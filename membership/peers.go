package membership

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// PeerNews is what a heartbeat reply tells of one peer.
type PeerNews struct {
	Agent
	// LoadOnly means that nothing but the load may have changed since the
	// receiver was last told of the peer.
	LoadOnly bool
}

// PeersSince returns what a heartbeat reply tells an agent about its peers:
// those that changed since the given time, which is that of the last reply the
// agent got (zero for all), and a sample of LoadSample others for their load.
// The sample moves on with time and so reaches everyone. The list is an update
// by incarnation, not the whole.
func (t *Tracker) PeersSince(now, since time.Duration, to ident.Incarnation) []PeerNews {
	var peers []PeerNews
	sampled := t.sampleAt(now)
	for _, i := range t.toldSince(since, sampled) {
		a := t.agents[t.order[i]]
		if a.Incarnation == to || (since == 0 && a.State == Gone) {
			continue
		}
		peers = append(peers, PeerNews{Agent: *a, LoadOnly: since != 0 && a.ChangedAt < since})
	}
	return peers
}

// toldSince returns the positions in order of the agents that are told of. In a
// quiet cell these are the sample alone, whatever the size of the cell.
func (t *Tracker) toldSince(since time.Duration, sampled window) []int {
	if since != 0 && t.changedAt < since {
		return sampled.positions()
	}
	var told []int
	for i, id := range t.order {
		if since == 0 || t.agents[id].ChangedAt >= since || sampled.has(i) {
			told = append(told, i)
		}
	}
	return told
}

// window is a range of positions in a ring.
type window struct{ start, length, ring int }

func (w window) has(i int) bool {
	if w.ring == 0 {
		return false
	}
	return (i-w.start+w.ring)%w.ring < w.length
}

// positions lists the range.
func (w window) positions() []int {
	ps := make([]int, w.length)
	for i := range ps {
		ps[i] = (w.start + i) % w.ring
	}
	return ps
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
