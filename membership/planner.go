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
// the row only after Retention.
type Planner struct {
	cfg Config
	// since is when the difference between tracker and placement was first
	// seen, and pending is whether there is one.
	since   time.Duration
	pending bool
	// notBefore is the earliest time of the next proposal.
	notBefore time.Duration
}

// NewPlanner returns a planner.
func NewPlanner(cfg Config) *Planner { return &Planner{cfg: cfg} }

// Plan compares the tracker with the current placement. It proposes the next
// one once the difference has lasted for EpochGap, so that changes that come
// together make one epoch, and RankDelay longer for every entry before this
// one. The wall clock is used only to date leaves and to prune old ones.
func (p *Planner) Plan(now time.Duration, wall time.Time, t *Tracker, current *placement.Placement, rank int) (Proposal, bool) {
	next := p.next(wall, t, current)
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
	return next, true
}

// Defer keeps the planner quiet after an epoch was seen to change, or after a
// proposal failed.
func (p *Planner) Defer(until time.Duration) { p.notBefore = max(p.notBefore, until) }

// next works out the row that the tracker asks for.
func (p *Planner) next(wall time.Time, t *Tracker, current *placement.Placement) Proposal {
	epoch := current.Epoch + 1
	prop := Proposal{Base: current.Epoch}
	members, listed := p.keep(wall, t, current, epoch, &prop)
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
	prop.Next = placement.New(epoch, members)
	return prop
}

// keep carries the members of the current row over: it marks those that leave
// and drops those that left long ago.
func (p *Planner) keep(wall time.Time, t *Tracker, current *placement.Placement, epoch ident.Epoch, prop *Proposal) ([]placement.Member, int) {
	expired := wall.Add(-p.cfg.Retention).Unix()
	members := slices.Clone(current.Members)
	listed := 0
	members = slices.DeleteFunc(members, func(m placement.Member) bool {
		return m.Left != 0 && m.LeftUnix < expired
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
