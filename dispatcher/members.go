package dispatcher

import (
	"context"
	"time"

	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/telemetry"
)

// addMember adds a process to the known peers, or opens a session with it if it is an
// agent that is not known yet. For a known agent it ends the redial backoff.
func (l *links) addMember(m directory.Member) {
	if m.Address == l.dispatcher.cfg.Self.Address {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Role == directory.RoleEntry {
		l.peers[m.Address] = m
		return
	}
	if a := l.agents[m.Address]; a != nil {
		a.markSeen()
		a.redialNow()
		return
	}
	a := &agentLink{links: l, address: m.Address, wake: make(chan struct{}, 1)}
	a.markSeen()
	l.agents[m.Address] = a
	go a.run(l.dispatcher.base)
}

// removeIfExpired removes an agent that has been unreachable for longer than
// agentExpiry, and reports whether it did. Nothing about the agent is still needed: its
// runs ended within seconds.
func (l *links) removeIfExpired(a *agentLink, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.expired(now) {
		return false
	}
	delete(l.agents, a.address)
	l.dispatcher.cfg.Log.Info("agent unreachable for too long; its address is no longer dialled", telemetry.ReasonText(a.address), telemetry.Peer(a.incarnation()))
	return true
}

// members returns the processes that the entry knows, including itself.
func (l *links) members() []directory.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []directory.Member{l.dispatcher.cfg.Self}
	for _, p := range l.peers {
		list = append(list, p)
	}
	for address, a := range l.agents {
		list = append(list, directory.Member{Role: directory.RoleAgent, Address: address, Incarnation: a.incarnation()})
	}
	return list
}

// announceInterval is the interval between announcements to the seeds while no agent is
// known.
const announceInterval = time.Second

// watchMembers follows the table of members and connects to the processes in it. It
// also starts the announcements of this entry.
func (d *Dispatcher) watchMembers(ctx context.Context) {
	go d.announce(ctx)
	reach := reachability{log: d.cfg.Log, name: "store: members"}
	for ctx.Err() == nil {
		page, err := d.cfg.Members.List(ctx)
		if reach.observe(err); err != nil {
			pause.For(ctx, storeRetryDelay)
			continue
		}
		d.addMembers(page)
		for err == nil && ctx.Err() == nil {
			var next directory.Page
			next, err = d.cfg.Members.Changes(ctx, page.Version)
			if err == nil {
				d.addMembers(next)
				page.Version = max(page.Version, next.Version)
			}
		}
	}
}

func (d *Dispatcher) addMembers(page directory.Page) {
	for _, row := range page.Rows {
		if row.Deleted {
			continue
		}
		m, err := directory.Decode(row.Value)
		if err != nil {
			d.cfg.Log.Warn("invalid row in the table of members", telemetry.ReasonText(row.Key), telemetry.Err(err))
			continue
		}
		d.links.addMember(m)
	}
}

// announce writes the entry's row in the table of members. While the entry knows no
// agent, it also announces itself to the seeds, in case the store is unreachable.
func (d *Dispatcher) announce(ctx context.Context) {
	registrar := directory.Registrar{Self: d.cfg.Self, Table: d.cfg.Members, Log: d.cfg.Log}
	go registrar.Run(ctx)
	for ctx.Err() == nil {
		if d.stats.Load().Agents == 0 {
			d.announceToSeeds(ctx)
		}
		pause.For(ctx, announceInterval)
	}
}

func (d *Dispatcher) announceToSeeds(ctx context.Context) {
	members, _ := link.Announce(ctx, d.links.peerClient, d.cfg.Seeds, d.cfg.Self)
	for _, m := range members {
		d.links.addMember(m)
	}
}
