package control

import (
	"context"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
)

// EntryStatus is what is known of one entry.
type EntryStatus struct {
	Incarnation ident.Incarnation
	Address     string
	Domain      ident.FailureDomain
	// State is the document version and epoch in force at the entry.
	State permit.State
	// HeardAgo is the time since the entry last answered; zero for this entry.
	HeardAgo time.Duration
	// Behind is true if the entry does not have the newest state yet.
	Behind bool
}

// AgentStatus is what is known of one agent.
type AgentStatus struct {
	membership.Agent
	// HeardAgo is the time since the agent's last heartbeat to this entry.
	HeardAgo time.Duration
	// Member is true if the current placement lists the agent.
	Member bool
	// Behind is true if the agent does not act under the newest state yet.
	Behind bool
}

// Status is the state of the cell as one entry sees it.
type Status struct {
	Cell string
	Self ident.Incarnation
	// Newest is the newest state that this entry knows of.
	Newest permit.State
	// Mode says what this entry's permits are based on. ConfirmedAgo is the age
	// of the newest confirmation of the state that this entry acts under.
	Mode         permit.Mode
	ConfirmedAgo time.Duration
	// LocalFault is true while more than half of the agents are silent at once,
	// which points to a fault of this entry or its network.
	LocalFault bool
	Entries    []EntryStatus
	Agents     []AgentStatus
}

// Status returns the state of the cell as this entry sees it. It fails if the
// Controller is too busy or the context ends.
func (c *Controller) Status(ctx context.Context) (Status, error) {
	e := askStatus{reply: make(chan Status, 1)}
	return ask(ctx, c, e, e.reply)
}

// Rank returns the number of live entries whose incarnation sorts before that of
// this entry. It fails if the Controller is too busy or the context ends.
func (c *Controller) Rank(ctx context.Context) (int, error) {
	e := askRank{reply: make(chan int, 1)}
	return ask(ctx, c, e, e.reply)
}

func ask[T any](ctx context.Context, c *Controller, e event, reply <-chan T) (T, error) {
	var zero T
	if !c.inbox.Offer(e) {
		return zero, errBusy
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (c *Controller) status() Status {
	now := c.now()
	s := Status{
		Cell: c.cfg.Cell, Self: c.cfg.Self, Newest: c.granter.Known(), Mode: c.granter.Mode(now),
		ConfirmedAgo: c.granter.Base().Age(now), LocalFault: c.tracker.LocalFault(),
	}
	own := c.granter.Base().State
	s.Entries = append(s.Entries, EntryStatus{
		Incarnation: c.cfg.Self, Address: c.cfg.Address, Domain: c.cfg.Domain, State: own, Behind: s.Newest.NewerThan(own),
	})
	for _, address := range c.entryAddresses() {
		e := c.entries[address]
		if e.heardAt == 0 {
			continue
		}
		s.Entries = append(s.Entries, EntryStatus{
			Incarnation: e.incarnation, Address: address, Domain: e.domain, State: e.applied,
			HeardAgo: now - e.heardAt, Behind: s.Newest.NewerThan(e.applied),
		})
	}
	placement := c.Placement()
	for _, a := range c.tracker.Agents() {
		s.Agents = append(s.Agents, AgentStatus{
			Agent: a, HeardAgo: now - a.HeardAt, Behind: s.Newest.NewerThan(a.AppliedState),
			Member: placement != nil && placement.Lists(a.Incarnation),
		})
	}
	return s
}
