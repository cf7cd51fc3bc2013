package dispatcher

import (
	"context"
	"errors"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/subset"
	"foxtaildock.example/dock/telemetry"
)

// addMember adds a process to the known ones. If it is an agent that the entry uses
// already, the redial backoff ends.
func (l *links) addMember(m directory.Member) {
	if m.Address == l.dispatcher.cfg.Self.Address {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Role == directory.RoleEntry {
		if !l.peers.add(m, clock.Now()) {
			l.dispatcher.cfg.Log.Warn("too many entries are known; one is ignored", telemetry.ReasonText(m.Address))
		}
		return
	}
	l.known.Add(subset.Agent{Address: m.Address, Domain: m.Domain})
	if a := l.agents[m.Address]; a != nil {
		a.markSeen()
		a.redialNow()
	}
	l.chooseSoon()
}

// chooseSoon makes the core goroutine choose the subset anew.
func (l *links) chooseSoon() {
	select {
	case l.changed <- struct{}{}:
	default: // it will do so anyway
	}
}

// pinAgent opens a session with an agent that asks for one, although it may not be in
// the subset.
func (l *links) pinAgent(m directory.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.agents[m.Address]
	if a == nil {
		if limit := l.dispatcher.cfg.MaxSessions; limit > 0 && len(l.agents) >= 2*limit {
			return // this entry has too many agents already
		}
		a = l.open(m.Address)
	}
	a.pinned.Store(true)
}

// open begins to use an agent. The caller holds mu.
func (l *links) open(address string) *agentLink {
	ctx, cancel := context.WithCancel(l.dispatcher.base)
	a := &agentLink{links: l, address: address, wake: make(chan struct{}, 1), close: cancel, openedAt: clock.Now()}
	a.markSeen()
	l.agents[address] = a
	go a.run(ctx)
	return a
}

// removeIfExpired removes an agent that has been unreachable for longer than
// agentExpiry, and reports whether it did. Nothing about the agent is still needed: its
// runs ended within seconds.
func (l *links) removeIfExpired(a *agentLink, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.agents[a.address] != a || !a.expired(now) {
		return false // in the first case, the link was released and may have been opened again
	}
	delete(l.agents, a.address)
	l.known.Remove(a.address)
	l.dispatcher.cfg.Log.Info("agent unreachable for too long; its address is no longer dialled", telemetry.ReasonText(a.address), telemetry.Peer(a.incarnation()))
	return true
}

// maxAnnounced is the largest number of agents in the answer to an announcement. The
// rest are found in the table of members.
const maxAnnounced = 100

// members returns the entries that this one knows, including itself, and up to
// maxAnnounced agents.
func (l *links) members() []directory.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := append([]directory.Member{l.dispatcher.cfg.Self}, l.peers.members()...)
	agents := l.known.Agents()
	for _, a := range agents[:min(len(agents), maxAnnounced)] {
		list = append(list, directory.Member{Role: directory.RoleAgent, Address: a.Address, Domain: a.Domain})
	}
	return list
}

// announceInterval is the interval between announcements to the seeds.
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
		d.listedMembers.Store(true)
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

var errOtherKey = errors.New("the key isn't that of the member's own row")

func (d *Dispatcher) addMembers(page directory.Page) {
	for _, row := range page.Rows {
		if row.Deleted {
			continue
		}
		m, err := directory.Decode(row.Value)
		if err == nil && row.Key != m.Key() {
			err = errOtherKey // another writer's; the member's own row tells where it is
		}
		if err != nil {
			d.cfg.Log.Warn("invalid row in the table of members", telemetry.ReasonText(row.Key), telemetry.Err(err))
			continue
		}
		d.links.addMember(m)
	}
}

// announce writes the entry's row in the table of members. While the entry has no agent
// or hasn't read the table yet, it also announces itself to the seeds, in case the store
// is unreachable.
func (d *Dispatcher) announce(ctx context.Context) {
	registrar := directory.Registrar{Self: d.cfg.Self, Table: d.cfg.Members, Log: d.cfg.Log}
	go registrar.Run(ctx)
	for ctx.Err() == nil {
		if d.stats.Load().Agents == 0 || !d.listedMembers.Load() {
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
