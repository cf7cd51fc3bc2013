package agentlink

import (
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
)

// peerStates combines what several entries report about the same agents. An entry
// that is partitioned from an agent must not make it count as lost while another
// entry receives its heartbeats.
type peerStates struct {
	// reports holds the reported states by agent and entry.
	reports map[ident.Incarnation]map[ident.Incarnation]membership.State
	// last is the last report about an agent, with the combined state.
	last map[ident.Incarnation]membership.Agent
}

func newPeerStates() *peerStates {
	return &peerStates{
		reports: make(map[ident.Incarnation]map[ident.Incarnation]membership.State),
		last:    make(map[ident.Incarnation]membership.Agent),
	}
}

// add records the report of one entry and returns the agent with the combined
// state. A load-only report is completed from the last report; add returns false
// if there is none.
func (p *peerStates) add(entry ident.Incarnation, a membership.Agent) (membership.Agent, bool) {
	a, ok := p.complete(a)
	if !ok {
		return a, false
	}
	reports, ok := p.reports[a.Incarnation]
	if !ok {
		reports = make(map[ident.Incarnation]membership.State)
		p.reports[a.Incarnation] = reports
	}
	reports[entry] = a.State
	a.State = combinedState(reports)
	p.last[a.Incarnation] = a
	if a.State == membership.Gone {
		delete(p.reports, a.Incarnation)
		delete(p.last, a.Incarnation)
	}
	return a, true
}

// complete fills in what a load-only report, which has no address, leaves out. It
// returns false if the agent is not known.
func (p *peerStates) complete(a membership.Agent) (membership.Agent, bool) {
	if a.Address != "" {
		return a, true
	}
	known, ok := p.last[a.Incarnation]
	known.Free = a.Free
	known.Queued = a.Queued
	known.Pace = a.Pace
	known.Waiting = a.Waiting
	known.State = a.State
	known.OutOfService = a.OutOfService
	return known, ok
}

// removeEntry drops the reports of an entry, which is silent or was replaced, and
// the agents that no other entry has reported.
func (p *peerStates) removeEntry(entry ident.Incarnation) {
	for id, reports := range p.reports {
		delete(reports, entry)
		if len(reports) == 0 {
			delete(p.reports, id)
			delete(p.last, id)
		}
	}
}

// combinedState returns the reported state of the highest precedence. Leaving was
// announced by the agent itself. Up means that an entry receives its heartbeats.
// Suspected and gone may be due to a fault of the reporting entry.
func combinedState(reports map[ident.Incarnation]membership.State) membership.State {
	best := membership.Gone
	for _, s := range reports {
		if precedence(s) < precedence(best) {
			best = s
		}
	}
	return best
}

// precedence orders states; the lowest number takes precedence.
func precedence(s membership.State) int {
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
