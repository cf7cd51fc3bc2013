package agent

import (
	"slices"
	"sync"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/placement"
)

// peerTable holds the addresses and the state of the other agents.
type peerTable struct {
	mu        sync.Mutex
	addresses map[ident.Incarnation]string
	peers     map[ident.Incarnation]membership.Agent
}

func newPeerTable() *peerTable {
	return &peerTable{
		addresses: make(map[ident.Incarnation]string),
		peers:     make(map[ident.Incarnation]membership.Agent),
	}
}

// setPlacement records the addresses of all members, former ones included.
func (t *peerTable) setPlacement(p *placement.Placement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range p.Members {
		t.addresses[p.Members[i].Incarnation] = p.Members[i].Address
	}
}

// setPeers updates the state of the peers and returns those that are newly gone.
func (t *peerTable) setPeers(peers []membership.Agent) []ident.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []ident.Incarnation
	for _, p := range peers {
		t.addresses[p.Incarnation] = p.Address
		if p.State == membership.Gone {
			if _, known := t.peers[p.Incarnation]; known {
				gone = append(gone, p.Incarnation)
			}
			delete(t.peers, p.Incarnation)
			continue
		}
		t.peers[p.Incarnation] = p
	}
	return gone
}

// address returns the last known address of an incarnation.
func (t *peerTable) address(id ident.Incarnation) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	addr, ok := t.addresses[id]
	return addr, ok
}

// executors returns the peers in the form that the dispatch policy uses,
// ordered by incarnation.
func (t *peerTable) executors() []dispatch.Executor {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]dispatch.Executor, 0, len(t.peers)+1)
	for id, p := range t.peers {
		out = append(out, dispatch.Executor{
			Incarnation: id,
			Domain:      p.Domain,
			Services:    p.Services,
			Slots:       p.Slots,
			Load:        dispatch.Load{Free: p.Free, Queued: p.Queued, Pace: p.Pace},
			Accepting:   p.State == membership.Up && !p.OutOfService,
		})
	}
	slices.SortFunc(out, func(x, y dispatch.Executor) int {
		if x.Incarnation < y.Incarnation {
			return -1
		}
		return 1
	})
	return out
}
