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
func (b *peerTable) setPlacement(p *placement.Placement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range p.Members {
		b.addresses[p.Members[i].Incarnation] = p.Members[i].Address
	}
}

// setPeers updates the state of the peers and returns those that are newly gone.
func (b *peerTable) setPeers(peers []membership.Agent) []ident.Incarnation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var gone []ident.Incarnation
	for _, p := range peers {
		b.addresses[p.Incarnation] = p.Address
		if p.State == membership.Gone {
			if _, known := b.peers[p.Incarnation]; known {
				gone = append(gone, p.Incarnation)
			}
			delete(b.peers, p.Incarnation)
			continue
		}
		b.peers[p.Incarnation] = p
	}
	return gone
}

// address returns the last known address of an incarnation.
func (b *peerTable) address(id ident.Incarnation) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	addr, ok := b.addresses[id]
	return addr, ok
}

// executors returns the peers in the form that the dispatch policy uses,
// ordered by incarnation.
func (b *peerTable) executors() []dispatch.Executor {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]dispatch.Executor, 0, len(b.peers)+1)
	for id, p := range b.peers {
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
