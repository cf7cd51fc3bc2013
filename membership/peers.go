package membership

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// PeerUpdate is what a heartbeat reply reports of one peer.
type PeerUpdate struct {
	Agent
	// LoadOnly is true if nothing but the load may have changed since the
	// receiver's last reply.
	LoadOnly bool
}

// PeersSince returns what a heartbeat reply reports to an agent about its peers:
// those that changed since the given time, which is that of the last reply the
// agent got (zero for all), and a sample of up to LoadSample peers for their load.
// The sample moves on with time and so covers all peers. The result is a set of
// updates by incarnation, not the complete list.
func (t *Tracker) PeersSince(now, since time.Duration, to ident.Incarnation) []PeerUpdate {
	var peers []PeerUpdate
	sampled := t.sampleAt(now)
	for _, i := range t.positionsSince(since, sampled) {
		a := t.agents[t.order[i]]
		if a.Incarnation == to || (since == 0 && a.State == Gone) {
			continue
		}
		peers = append(peers, PeerUpdate{Agent: *a, LoadOnly: since != 0 && a.ChangedAt < since})
	}
	return peers
}

// positionsSince returns the positions, in t.order, of the agents to report. While
// nothing changes these are the sample alone, whatever the size of the cell.
func (t *Tracker) positionsSince(since time.Duration, sampled window) []int {
	if since != 0 && t.lastChangeAt < since {
		return sampled.positions()
	}
	var selected []int
	for i, id := range t.order {
		if since == 0 || t.agents[id].ChangedAt >= since || sampled.has(i) {
			selected = append(selected, i)
		}
	}
	return selected
}

// window is a range of positions in a ring of the given size.
type window struct{ start, length, ring int }

func (w window) has(i int) bool {
	if w.ring == 0 {
		return false
	}
	return (i-w.start+w.ring)%w.ring < w.length
}

// positions returns the positions in the range.
func (w window) positions() []int {
	ps := make([]int, w.length)
	for i := range ps {
		ps[i] = (w.start + i) % w.ring
	}
	return ps
}

// sampleInterval is the time after which the load sample moves on. It equals the
// interval of heartbeats, so that an agent gets all samples in turn.
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

// HeardLocally returns up to limit announcements of agents whose heartbeats this
// entry receives, for exchange with other entries. Each call continues where the
// last one ended, so that all agents are reported in turn at a bounded cost.
func (t *Tracker) HeardLocally(now time.Duration, limit int) []Announcement {
	var ns []Announcement
	n := len(t.order)
	looked := 0
	for ; looked < n && len(ns) < limit; looked++ {
		a := t.agents[t.order[(t.nextHeardLocally+looked)%n]]
		if a.announced && a.State != Gone && now-a.HeardAt < t.cfg.SuspectAfter {
			ns = append(ns, a.Announcement)
		}
	}
	if n > 0 {
		t.nextHeardLocally = (t.nextHeardLocally + looked) % n
	}
	return ns
}
