package membership

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/placement"
)

// Proposal is a placement that would follow the one of epoch Base, with the
// incarnations that join and leave and the number of former members dropped from
// the row.
type Proposal struct {
	Base    ident.Epoch
	Next    *placement.Placement
	Joined  []ident.Incarnation
	Left    []ident.Incarnation
	Dropped int
}

// Planner decides when and how the placement changes. It does no I/O.
//
// Invariant: a member that has left is never listed again, and is dropped from
// the row only after this process has seen it gone for Retention on its own
// monotonic clock. Wall clocks may be stepped, and if a member were dropped early,
// a home would not ask it for records that it may still have.
type Planner struct {
	cfg Config
	// pendingSince is when the difference between tracker and placement was
	// first seen; pending is whether there is one.
	pendingSince time.Duration
	pending      bool
	// notBefore is the earliest time of the next proposal.
	notBefore time.Duration
	// leftSince is when this process first saw each former member of the row
	// marked as left.
	leftSince map[ident.Incarnation]time.Duration
}

// NewPlanner returns a Planner without a pending proposal.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, leftSince: make(map[ident.Incarnation]time.Duration)}
}

// Plan compares the tracker with the current placement. It proposes the next
// placement once they have differed for EpochGap, so that changes close together
// share one epoch, plus RankDelay for every entry that ranks before this one. The
// wall-clock time is only recorded as the time of a leave, for operators. The second
// result is false if nothing is to be proposed now.
func (p *Planner) Plan(now time.Duration, wall time.Time, t *Tracker, current *placement.Placement, rank int) (Proposal, bool) {
	p.trackLeft(now, current)
	next, members := p.nextMembers(now, wall, t, current)
	if len(next.Joined) == 0 && len(next.Left) == 0 && next.Dropped == 0 {
		p.pending = false
		return Proposal{}, false
	}
	if !p.pending {
		p.pending = true
		p.pendingSince = now
	}
	wait := p.cfg.EpochGap + time.Duration(rank)*p.cfg.RankDelay
	if now < p.pendingSince+wait || now < p.notBefore {
		return Proposal{}, false
	}
	p.pending = false
	p.notBefore = now + p.cfg.EpochGap
	next.Next = placement.New(current.Epoch+1, members)
	return next, true
}

// Defer allows no proposal before the given time. It is called after the epoch has
// changed or a proposal has failed.
func (p *Planner) Defer(until time.Duration) { p.notBefore = max(p.notBefore, until) }

// trackLeft records when each former member was first seen as left, and drops those
// that the row no longer has.
func (p *Planner) trackLeft(now time.Duration, current *placement.Placement) {
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

// nextMembers computes the members of the next placement from the tracker. It runs
// on every tick, so the hash over the members is built only when a proposal is due.
func (p *Planner) nextMembers(now time.Duration, wall time.Time, t *Tracker, current *placement.Placement) (Proposal, []placement.Member) {
	epoch := current.Epoch + 1
	prop := Proposal{Base: current.Epoch}
	members, listed := p.carryOver(now, wall, t, current, epoch, &prop)
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

// carryOver returns the members of the current row, with those that leave marked
// and those that left at least Retention ago dropped, and the number that stays
// listed.
func (p *Planner) carryOver(now time.Duration, wall time.Time, t *Tracker, current *placement.Placement, epoch ident.Epoch, prop *Proposal) ([]placement.Member, int) {
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
