package agentlink

import (
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
)

// peerBook joins what several entries say about the same agents. One entry that
// is cut from an agent must not hide it while another entry hears it.
type peerBook struct {
	votes map[ident.Incarnation]map[ident.Incarnation]membership.State
	// last is what was last said of an agent.
	last map[ident.Incarnation]membership.Agent
}

func newPeerBook() *peerBook {
	return &peerBook{
		votes: make(map[ident.Incarnation]map[ident.Incarnation]membership.State),
		last:  make(map[ident.Incarnation]membership.Agent),
	}
}

// add takes one entry's word and returns the agent with the joint state. News of
// a load alone is completed by what is known; false means that nothing is.
func (b *peerBook) add(entry ident.Incarnation, a membership.Agent) (membership.Agent, bool) {
	a, ok := b.complete(a)
	if !ok {
		return a, false
	}
	votes, ok := b.votes[a.Incarnation]
	if !ok {
		votes = make(map[ident.Incarnation]membership.State)
		b.votes[a.Incarnation] = votes
	}
	votes[entry] = a.State
	a.State = joint(votes)
	b.last[a.Incarnation] = a
	if a.State == membership.Gone {
		delete(b.votes, a.Incarnation)
		delete(b.last, a.Incarnation)
	}
	return a, true
}

// complete fills in what news of a load leaves out.
func (b *peerBook) complete(a membership.Agent) (membership.Agent, bool) {
	if a.Address != "" {
		return a, true
	}
	known, ok := b.last[a.Incarnation]
	known.Free = a.Free
	known.Queued = a.Queued
	known.Pace = a.Pace
	known.Pace = a.Pace
	known.State = a.State
	known.OutOfService = a.OutOfService
	return known, ok
}

// forget drops the word of an entry that is silent.
func (b *peerBook) forget(entry ident.Incarnation) {
	for id, votes := range b.votes {
		delete(votes, entry)
		if len(votes) == 0 {
			delete(b.votes, id)
			delete(b.last, id)
		}
	}
}

// joint is the state that the votes add up to. Leaving is what the agent said
// itself; up is first-hand; suspicion and loss may be the entry's own trouble.
func joint(votes map[ident.Incarnation]membership.State) membership.State {
	best := membership.Gone
	for _, s := range votes {
		if rank(s) < rank(best) {
			best = s
		}
	}
	return best
}

func rank(s membership.State) int {
	switch s {
	case membership.Leaving:
		return 0
	case membership.Up:
		return 1
	case membership.Suspected:
		return 2
	}
	return 3
}
