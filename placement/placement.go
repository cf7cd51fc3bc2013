// Package placement determines which agent is the home of a job key, that is, keeps
// the job's record, in each placement epoch. Package membership decides which agents
// are members.
//
// A placement epoch is a numbered row in the platform's table service. Each member
// has the epoch in which it joined and, once it has gone, the epoch in which it left,
// so that one row suffices for all epochs of the retention window. The home of a key
// is the first member in rendezvous hashing over the members of an epoch; the second
// is the fallback when the first can't be reached.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"foxtaildock.example/dock/ident"
)

// Member is an agent incarnation in the placement.
type Member struct {
	Incarnation ident.Incarnation   `json:"incarnation"`
	Address     string              `json:"address"`
	Domain      ident.FailureDomain `json:"domain"`
	// Joined is the first epoch that lists the member.
	Joined ident.Epoch `json:"joined"`
	// Left is the first epoch that no longer lists the member; zero while it is
	// listed.
	Left ident.Epoch `json:"left,omitempty"`
	// LeftUnix is the Unix time, in seconds, at which the member left. It is for
	// human readers only.
	LeftUnix int64 `json:"left_unix,omitempty"`
}

// listedIn reports whether the member is listed in epoch e.
func (m *Member) listedIn(e ident.Epoch) bool {
	return m.Joined <= e && (m.Left == 0 || e < m.Left)
}

// Placement is an immutable placement row.
type Placement struct {
	Epoch   ident.Epoch
	Members []Member
	byID    map[ident.Incarnation]int
	hash    *rendezvous.Rendezvous
}

// New returns a placement. Members may be in any order.
func New(epoch ident.Epoch, members []Member) *Placement {
	p := &Placement{Epoch: epoch, Members: slices.Clone(members)}
	slices.SortFunc(p.Members, func(a, b Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	p.byID = make(map[ident.Incarnation]int, len(p.Members))
	for i := range p.Members {
		p.byID[p.Members[i].Incarnation] = i
	}
	p.hash = p.hashAt(epoch)
	return p
}

// hashAt returns the rendezvous hash over the members of epoch e.
func (p *Placement) hashAt(e ident.Epoch) *rendezvous.Rendezvous { return p.hashWithout(e, "") }

// hashWithout returns the rendezvous hash over the members of epoch e except one.
func (p *Placement) hashWithout(e ident.Epoch, without ident.Incarnation) *rendezvous.Rendezvous {
	var ids []string
	for i := range p.Members {
		if p.Members[i].listedIn(e) && p.Members[i].Incarnation != without {
			ids = append(ids, string(p.Members[i].Incarnation))
		}
	}
	return rendezvous.New(ids, xxhash.Sum64String)
}

// hashInput returns the string form of a key for hashing.
func hashInput(key ident.JobKey) string { return string(key.Team) + "\x00" + key.Key }

// Home returns the home of the key in the placement's own epoch, and false if the
// epoch has no members.
func (p *Placement) Home(key ident.JobKey) (Member, bool) {
	return p.lookup(p.hash, key)
}

// HomeAt returns the home of the key in epoch e, which is the placement's own or an
// earlier one, and false if that epoch has no members.
func (p *Placement) HomeAt(e ident.Epoch, key ident.JobKey) (Member, bool) {
	if e == p.Epoch {
		return p.Home(key)
	}
	return p.lookup(p.hashAt(e), key)
}

func (p *Placement) lookup(h *rendezvous.Rendezvous, key ident.JobKey) (Member, bool) {
	id := h.Lookup(hashInput(key))
	if id == "" {
		return Member{}, false
	}
	return p.Members[p.byID[ident.Incarnation(id)]], true
}

// Ranked returns the home of the key and its fallback, in this order; fewer if the
// epoch has fewer members.
func (p *Placement) Ranked(key ident.JobKey) []Member {
	return p.rankedAt(p.Epoch, key)
}

func (p *Placement) rankedAt(e ident.Epoch, key ident.JobKey) []Member {
	first, ok := p.HomeAt(e, key)
	if !ok {
		return nil
	}
	second, ok := p.lookup(p.hashWithout(e, first.Incarnation), key)
	if !ok {
		return []Member{first}
	}
	return []Member{first, second}
}

// PossibleHomes returns the distinct members that may have accepted the key, as home
// or as fallback, in the retained epochs between from and to, both included.
func (p *Placement) PossibleHomes(key ident.JobKey, from, to ident.Epoch) []Member {
	var homes []Member
	seen := make(map[ident.Incarnation]bool)
	for _, e := range append(p.membershipEpochs(), from) {
		if e == 0 || e < from || e > to {
			continue
		}
		for _, m := range p.rankedAt(e, key) {
			if !seen[m.Incarnation] {
				seen[m.Incarnation] = true
				homes = append(homes, m)
			}
		}
	}
	return homes
}

// membershipEpochs returns the retained epochs in which the membership changed, in
// ascending order.
func (p *Placement) membershipEpochs() []ident.Epoch {
	var es []ident.Epoch
	for i := range p.Members {
		es = append(es, p.Members[i].Joined)
		if p.Members[i].Left != 0 {
			es = append(es, p.Members[i].Left)
		}
	}
	slices.Sort(es)
	return slices.Compact(es)
}

// Member returns the member with the given incarnation, whether it is listed now or
// has left.
func (p *Placement) Member(id ident.Incarnation) (Member, bool) {
	i, ok := p.byID[id]
	if !ok {
		return Member{}, false
	}
	return p.Members[i], true
}

// Lists reports whether the incarnation is listed in the placement's own epoch.
func (p *Placement) Lists(id ident.Incarnation) bool {
	m, ok := p.Member(id)
	return ok && m.Left == 0
}

// Current returns the members listed in the placement's own epoch.
func (p *Placement) Current() []Member {
	var ms []Member
	for i := range p.Members {
		if p.Members[i].Left == 0 {
			ms = append(ms, p.Members[i])
		}
	}
	return ms
}
