package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// Constants of the shares.
const (
	// evenPart is the part of a limit that is split evenly between entries
	// whatever their demand, so that a first job need not wait for an exchange.
	evenPart = 0.2
	// refreshEvery is how often the shares follow the demand.
	refreshEvery = 500 * time.Millisecond
	// idleDemand is the rate in tasks per second below which an entry counts as
	// without demand.
	idleDemand = 0.01
)

// share is the demand for all slots, at this entry and at the others.
type share struct {
	own    meter
	peers  map[ident.Incarnation]float64
	others float64 // sum of peers
	at     time.Duration
}

func newShare() share {
	return share{own: meter{memory: demandMemory}, peers: make(map[ident.Incarnation]float64)}
}

// part returns an entry's part of a limit. The parts of all entries that know
// the same demands add up to one.
func part(own, others float64, entries int) float64 {
	even := 1 / float64(max(1, entries))
	if own+others < idleDemand {
		return even
	}
	return evenPart*even + (1-evenPart)*own/(own+others)
}

// part is this entry's part of the slots.
func (a *Admission) part(now time.Duration) float64 {
	return part(a.total.own.rate(now), a.total.others, a.capacity.Entries)
}

// hasRoom reports whether another job may be admitted. The load is known as it
// was loadDelay ago: since then the slots have finished tasks and this entry has
// admitted others.
func (a *Admission) hasRoom(now time.Duration) bool {
	c := a.capacity
	if c.Slots == 0 || c.Pace == 0 {
		return true
	}
	room := float64(c.Free-c.Waiting) + c.drain()*(loadDelay+backlogTime).Seconds()
	return a.recent.count(now) < a.part(now)*room
}

// sum adds in a fixed order, since the last digits depend on it.
func sum(demands map[ident.Incarnation]float64) float64 {
	total := 0.0
	for _, entry := range slices.Sorted(maps.Keys(demands)) {
		total += demands[entry]
	}
	return total
}

// team returns the state of a team, which is made at its first use.
func (a *Admission) team(name ident.Team) *team {
	if t, ok := a.teams[name]; ok {
		return t
	}
	t := &team{name: name, demand: meter{memory: demandMemory}, used: meter{memory: demandMemory}, share: part(0, 0, a.capacity.Entries), position: notInHeap}
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
		a.ready.leave(t)
		t.limits = given[t.name]
		t.setRate(now)
		if len(t.waiting) > 0 && !t.parked {
			a.ready.enter(t)
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
	a.shareOut(now)
}

func (a *Admission) peerGone(now time.Duration, e PeerGone) {
	a.forgetPeer(e.Entry)
	delete(a.total.peers, e.Entry)
	a.total.others = sum(a.total.peers)
	a.shareOut(now)
}

func (a *Admission) forgetPeer(entry ident.Incarnation) {
	for _, t := range a.order {
		delete(t.peers, entry)
	}
}

func (a *Admission) refreshShares(now time.Duration) {
	if now-a.total.at >= refreshEvery {
		a.shareOut(now)
	}
}

// shareOut sets this entry's part of every team's limits.
func (a *Admission) shareOut(now time.Duration) {
	a.total.at = now
	a.activeWeight = 0
	for _, t := range a.order {
		t.share = part(t.demand.rate(now), sum(t.peers), a.capacity.Entries)
		t.setRate(now)
		if t.demand.rate(now) >= idleDemand {
			a.activeWeight += t.weight()
		}
		if len(t.waiting) > 0 && !t.parked {
			a.ready.enter(t)
		}
	}
}

// fairRate is the team's fair part of the tasks per second that this entry's
// part of the slots finishes, among the teams that submit jobs at present.
func (a *Admission) fairRate(now time.Duration, t *team) float64 {
	weight := max(a.activeWeight, t.weight())
	return a.capacity.drain() * a.part(now) * t.weight() / weight
}

// Demand returns what the other entries are to be told, teams in order.
func (a *Admission) Demand(now time.Duration) []Demand {
	var demands []Demand
	for _, t := range a.order {
		if rate := t.demand.rate(now); rate >= idleDemand {
			demands = append(demands, Demand{Team: t.name, StartsPerSecond: rate})
		}
	}
	return demands
}
