package membership

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// PeersSince returns what a heartbeat reply tells an agent about its peers:
// those that changed since the given time, which is that of the last reply the
// agent got (zero for all), and a rotating sample of LoadSample others for
// their load. The list is an update by incarnation, not the whole.
func (t *Tracker) PeersSince(since time.Duration, to ident.Incarnation) []Agent {
	var peers []Agent
	sampled := t.nextSample()
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

// nextSample moves the window of the load sample on by its length.
func (t *Tracker) nextSample() window {
	n := len(t.order)
	if n == 0 {
		return window{}
	}
	w := window{start: t.sample % n, length: min(t.cfg.LoadSample, n), ring: n}
	t.sample = (w.start + w.length) % n
	return w
}

// HeardHere returns the announcements of agents that this entry hears itself,
// for exchange with other entries.
func (t *Tracker) HeardHere(now time.Duration) []Announcement {
	var ns []Announcement
	for _, id := range t.order {
		a := t.agents[id]
		if a.announced && a.State != Gone && now-a.HeardAt < t.cfg.SuspectAfter {
			ns = append(ns, a.Announcement)
		}
	}
	return ns
}
