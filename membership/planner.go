package membership

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/placement"
)

// Proposal is a placement row that would follow the current one.
type Proposal struct {
	Base    ident.Epoch
	Next    *placement.Placement
	Joined  []ident.Incarnation
	Left    []ident.Incarnation
	Dropped int
}

// Planner is the core that decides when the placement changes and how.
//
// Invariant: a member that has left is never listed again, and is dropped from
// the row only after this process has seen it gone for Retention on its own
// monotonic clock. Wall clocks may be stepped, and dropping a member early would
// let a home overlook records that it has to ask for.
type Planner struct {
	cfg Config
	// since is when the difference between tracker and placement was first
	// seen, and pending is whether there is one.
	since   time.Duration
	pending bool
	// notBefore is the earliest time of the next proposal.
	notBefore time.Duration
	// leftSince is when this process first saw each former member of the row
	// as such.
	leftSince map[ident.Incarnation]time.Duration
}

// NewPlanner returns a planner.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, leftSince: make(map[ident.Incarnation]time.Duration)}
}

// Plan compares the tracker with the current placement. It proposes the next
// one once the difference has lasted for EpochGap, so that changes that come
// together make one epoch, and RankDelay longer for every entry before this
// one. The wall clock only dates leaves, for people.
func (p *Planner) Plan(now time.Duration, wall time.Time, t *Tracker, current *placement.Placement, rank int) (Proposal, bool) {
	p.watchLeft(now, current)
	next, members := p.next(now, wall, t, current)
	if len(next.Joined) == 0 && len(next.Left) == 0 && next.Dropped == 0 {
		p.pending = false
		return Proposal{}, false
	}
	if !p.pending {
		p.pending = true
		p.since = now
	}
	wait := p.cfg.EpochGap + time.Duration(rank)*p.cfg.RankDelay
	if now < p.since+wait || now < p.notBefore {
		return Proposal{}, false
	}
	p.pending = false
	p.notBefore = now + p.cfg.EpochGap
	next.Next = placement.New(current.Epoch+1, members)
	return next, true
}

// Defer keeps the planner quiet after an epoch was seen to change, or after a
// proposal failed.
func (p *Planner) Defer(until time.Duration) { p.notBefore = max(p.notBefore, until) }

// watchLeft notes when former members were first seen, and forgets those that the
// row no longer has.
func (p *Planner) watchLeft(now time.Duration, current *placement.Placement) {
	seen := make(map[ident.Incarnation]time.Duration)
	for i := range current.Members {
		m := &current.Members[i]
		if m.Left == 0 {
			continue
		}
		since, ok := p.leftSince[m.Incarnation]
		if !ok {
			since = now
		}
		seen[m.Incarnation] = since
	}
	p.leftSince = seen
}

// next works out the members that the tracker asks for. It runs on every tick, so
// it leaves the hash over them to be built when a proposal is due.
func (p *Planner) next(now time.Duration, wall time.Time, t *Tracker, current *placement.Placement) (Proposal, []placement.Member) {
	epoch := current.Epoch + 1
	prop := Proposal{Base: current.Epoch}
	members, listed := p.keep(now, wall, t, current, epoch, &prop)
	for _, id := range t.order {
		a := t.agents[id]
		_, known := current.Member(id)
		if known || a.State != Up || listed >= p.cfg.MaxMembers {
			continue
		}
		members = append(members, placement.Member{Incarnation: id, Address: a.Address, Domain: a.Domain, Joined: epoch})
		prop.Joined = append(prop.Joined, id)
		listed++
	}
	return prop, members
}

// keep carries the members of the current row over: it marks those that leave
// and drops those that left long ago.
func (p *Planner) keep(now time.Duration, wall time.Time, t *Tracker, current *placement.Placement, epoch ident.Epoch, prop *Proposal) ([]placement.Member, int) {
	members := slices.Clone(current.Members)
	listed := 0
	members = slices.DeleteFunc(members, func(m placement.Member) bool {
		return m.Left != 0 && now-p.leftSince[m.Incarnation] >= p.cfg.Retention
	})
	prop.Dropped = len(current.Members) - len(members)
	for i := range members {
		m := &members[i]
		if m.Left != 0 {
			continue
		}
		a, ok := t.agents[m.Incarnation]
		if ok && (a.State == Gone || a.State == Leaving) {
			m.Left = epoch
			m.LeftUnix = wall.Unix()
			prop.Left = append(prop.Left, m.Incarnation)
			continue
		}
		listed++
	}
	return members, listed
}
