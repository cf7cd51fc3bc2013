package dispatcher

import (
	"context"
	"time"

	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/telemetry"
)

// learnMember takes a process into the entry's connections.
func (l *links) learnMember(m directory.Member) {
	if m.Address == l.dispatcher.cfg.Self.Address {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Role == directory.Entry {
		l.peers[m.Address] = m
		return
	}
	if a := l.agents[m.Address]; a != nil {
		a.present()
		a.hurry()
		return
	}
	a := &agentLink{links: l, address: m.Address, wake: make(chan struct{}, 1)}
	a.present()
	l.agents[m.Address] = a
	go a.run(l.dispatcher.base)
}

// forgetIfLost takes an agent that has been out of reach for long out of the
// entry's connections. Nothing has to be known of it any more: its runs were over
// within seconds.
func (l *links) forgetIfLost(a *agentLink, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.lost(now) {
		return false
	}
	delete(l.agents, a.address)
	l.dispatcher.cfg.Log.Info("agent out of reach for long; its address is given up", telemetry.Why(a.address), telemetry.Peer(a.name()))
	return true
}

// members returns the processes that the entry knows, itself included.
func (l *links) members() []directory.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []directory.Member{l.dispatcher.cfg.Self}
	for _, p := range l.peers {
		list = append(list, p)
	}
	for address, a := range l.agents {
		list = append(list, directory.Member{Role: directory.Agent, Address: address, Incarnation: a.name()})
	}
	return list
}

// announceEvery is the pause between announcements to the seeds while no other
// process is known.
const announceEvery = time.Second

// followMembers keeps the connections as new as the table of members.
func (d *Dispatcher) followMembers(ctx context.Context) {
	go d.announce(ctx)
	reach := reachability{log: d.cfg.Log, name: "store: members"}
	for ctx.Err() == nil {
		page, err := d.cfg.Members.List(ctx)
		if reach.note(err); err != nil {
			pause.For(ctx, storeRetry)
			continue
		}
		d.takeMembers(page)
		for err == nil && ctx.Err() == nil {
			var next directory.Page
			next, err = d.cfg.Members.Changes(ctx, page.Version)
			if err == nil {
				d.takeMembers(next)
				page.Version = max(page.Version, next.Version)
			}
		}
	}
}

func (d *Dispatcher) takeMembers(page directory.Page) {
	for _, row := range page.Rows {
		if row.Deleted {
			continue
		}
		m, err := directory.Decode(row.Value)
		if err != nil {
			d.cfg.Log.Warn("row of a member not readable", telemetry.Why(row.Key), telemetry.Err(err))
			continue
		}
		d.links.learnMember(m)
	}
}

// announce writes the entry's row, and tells the seeds of the entry while it
// knows no agent, for the case that the store can't be reached.
func (d *Dispatcher) announce(ctx context.Context) {
	registrar := directory.Registrar{Self: d.cfg.Self, Table: d.cfg.Members, Log: d.cfg.Log}
	go registrar.Run(ctx)
	for ctx.Err() == nil {
		if d.stats.Load().Agents == 0 {
			d.announceToSeeds(ctx)
		}
		pause.For(ctx, announceEvery)
	}
}

func (d *Dispatcher) announceToSeeds(ctx context.Context) {
	members, _ := link.Announce(ctx, d.links.peerClient, d.cfg.Seeds, d.cfg.Self)
	for _, m := range members {
		d.links.learnMember(m)
	}
}
