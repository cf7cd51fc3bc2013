package dispatcher

import (
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/subset"
	"foxtaildock.example/dock/telemetry"
)

// chooseInterval is the interval at which the entry reconsiders its subset of agents. A
// process that comes is considered at once.
const chooseInterval = 250 * time.Millisecond

// chooseSubset opens links to the agents that the entry should use and closes those that
// it no longer needs. Only the core goroutine calls it.
func (d *Dispatcher) chooseSubset() {
	l := d.links
	l.mu.Lock()
	decision := l.known.Decide(clock.Now(), d.subsetState())
	for _, a := range decision.Open {
		l.open(a.Address)
	}
	l.mu.Unlock()
	for _, address := range decision.Release {
		d.release(address)
	}
	d.subsetWanted.Store(int64(decision.Wanted))
	d.subsetUsable.Store(int64(decision.Usable))
	if len(decision.Open)+len(decision.Release) > 0 {
		d.cfg.Log.Info("subset of agents changed", telemetry.Wanted(decision.Wanted), telemetry.Usable(decision.Usable),
			telemetry.Opened(len(decision.Open)), telemetry.Released(len(decision.Release)))
	}
}

// subsetState returns the state on which the choice is based. The caller holds links.mu.
func (d *Dispatcher) subsetState() subset.State {
	s := subset.State{Entries: len(d.links.peers.addresses(false)) + 1, NoRoom: d.core.NoRoom()}
	for address, a := range d.links.agents {
		status := d.core.AgentStatus(a.incarnation())
		s.Links = append(s.Links, subset.Link{
			Address: address, Usable: status.Usable, Idle: status.Runs == 0,
			Pinned: a.pinned.Load(), OpenedAt: a.openedAt,
		})
	}
	return s
}

// release closes the link to an agent that holds no run of this entry.
func (d *Dispatcher) release(address string) {
	l := d.links
	l.mu.Lock()
	a := l.agents[address]
	delete(l.agents, address)
	l.mu.Unlock()
	if a == nil {
		return // expired meanwhile
	}
	agent := a.incarnation()
	delete(l.sessions, agent)
	a.released = true
	a.close()
	d.step(schedule.AgentDetached{Agent: agent, Reason: "no longer in the subset"})
}
