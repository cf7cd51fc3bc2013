package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

const (
	// evenFraction is the fraction of a limit that is split evenly between entries
	// whatever their demand, so that the first job of a team at an entry need not
	// wait until the entries have exchanged their demand.
	evenFraction = 0.2
	// shareInterval is the interval at which shares are updated from the demand.
	shareInterval = 500 * time.Millisecond
	// minDemand is the rate, in tasks per second, below which a demand counts as
	// none.
	minDemand = 0.01
)

// totalDemand is the demand of all teams, at this entry and at the others.
type totalDemand struct {
	own       meter
	peers     map[ident.Incarnation]float64
	others    float64 // sum of peers
	updatedAt time.Duration
}

func newTotalDemand() totalDemand {
	return totalDemand{own: meter{timeConstant: demandTimeConstant}, peers: make(map[ident.Incarnation]float64)}
}

// shareOfLimit returns an entry's share of a limit, between 0 and 1, given its own
// demand and that of all other entries. If all entries know the same demands, their
// shares add up to one.
func shareOfLimit(own, others float64, entries int) float64 {
	even := 1 / float64(max(1, entries))
	if own+others < minDemand {
		return even
	}
	return evenFraction*even + (1-evenFraction)*own/(own+others)
}

// slotShare returns this entry's share of the slots, between 0 and 1.
func (a *Admission) slotShare(now time.Duration) float64 {
	return shareOfLimit(a.total.own.rate(now), a.total.others, a.capacity.Entries)
}

// hasRoom reports whether another job may be admitted without exceeding
// maxBacklogTime. The load is known as it was heartbeatAge ago: since then the slots
// have finished tasks and this entry has admitted others.
func (a *Admission) hasRoom(now time.Duration) bool {
	c := a.capacity
	if c.Slots == 0 || c.Pace == 0 {
		return true
	}
	room := float64(c.Free-c.Waiting) + c.throughput()*(heartbeatAge+maxBacklogTime).Seconds()
	return a.recent.decayed(now) < a.slotShare(now)*room
}

// sum adds up the demands in a fixed order: the result of floating-point addition
// depends on the order, and the core must be deterministic.
func sum(demands map[ident.Incarnation]float64) float64 {
	total := 0.0
	for _, entry := range slices.Sorted(maps.Keys(demands)) {
		total += demands[entry]
	}
	return total
}

// team returns the state of a team and creates it if needed.
func (a *Admission) team(name ident.Team) *team {
	if t, ok := a.teams[name]; ok {
		return t
	}
	t := &team{name: name, demand: meter{timeConstant: demandTimeConstant}, used: meter{timeConstant: demandTimeConstant}, share: shareOfLimit(0, 0, a.capacity.Entries), heapIndex: notInHeap}
	a.teams[name] = t
	i, _ := slices.BinarySearchFunc(a.order, name, func(o *team, n ident.Team) int { return cmp.Compare(o.name, n) })
	a.order = slices.Insert(a.order, i, t)
	return t
}

func (a *Admission) setLimits(now time.Duration, e SetLimits) {
	given := make(map[ident.Team]Limits, len(e.Limits))
	for _, l := range e.Limits {
		given[l.Team] = l
		a.team(l.Team)
	}
	for _, t := range a.order {
		a.ready.remove(t)
		t.limits = given[t.name]
		t.setRate(now)
		if len(t.waiting) > 0 && !t.rateLimited {
			a.ready.add(t)
		}
	}
}

func (a *Admission) peerDemand(now time.Duration, e PeerDemand) {
	a.forgetPeer(e.Entry)
	total := 0.0
	for _, d := range e.Demand {
		t := a.team(d.Team)
		if t.peers == nil {
			t.peers = make(map[ident.Incarnation]float64)
		}
		t.peers[e.Entry] = d.StartsPerSecond
		total += d.StartsPerSecond
	}
	a.total.peers[e.Entry] = total
	a.total.others = sum(a.total.peers)
	a.updateShares(now)
}

func (a *Admission) peerGone(now time.Duration, e PeerGone) {
	a.forgetPeer(e.Entry)
	delete(a.total.peers, e.Entry)
	a.total.others = sum(a.total.peers)
	a.updateShares(now)
}

func (a *Admission) forgetPeer(entry ident.Incarnation) {
	for _, t := range a.order {
		delete(t.peers, entry)
	}
}

func (a *Admission) refreshShares(now time.Duration) {
	if now-a.total.updatedAt >= shareInterval {
		a.updateShares(now)
	}
}

// updateShares sets this entry's share of every team's limits.
func (a *Admission) updateShares(now time.Duration) {
	a.total.updatedAt = now
	a.activeWeight = 0
	for _, t := range a.order {
		t.share = shareOfLimit(t.demand.rate(now), sum(t.peers), a.capacity.Entries)
		t.setRate(now)
		if t.demand.rate(now) >= minDemand {
			a.activeWeight += t.weight()
		}
		if len(t.waiting) > 0 && !t.rateLimited {
			a.ready.add(t)
		}
	}
}

// fairRate returns the team's fair share, by weight among the teams with demand, of
// the tasks per second that this entry's share of the slots finishes.
func (a *Admission) fairRate(now time.Duration, t *team) float64 {
	weight := max(a.activeWeight, t.weight())
	return a.capacity.throughput() * a.slotShare(now) * t.weight() / weight
}

// Demand returns the demand at this entry, sorted by team, for the other entries.
func (a *Admission) Demand(now time.Duration) []Demand {
	var demands []Demand
	for _, t := range a.order {
		if rate := t.demand.rate(now); rate >= minDemand {
			demands = append(demands, Demand{Team: t.name, StartsPerSecond: rate})
		}
	}
	return demands
}
