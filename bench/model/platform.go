package model

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// platformAddress is the address of the platform in the simulated network.
const platformAddress = -1

// platform holds the committed state: the members of the placement and the
// withdrawn failure domains.
type platform struct {
	down      bool
	state     permit.State
	members   []placement.Member
	withdrawn map[ident.FailureDomain]time.Duration // since when
}

// snapshot is the result of one read of the platform.
type snapshot struct {
	state     permit.State
	placement *placement.Placement
	view      view
}

// view holds the failure domains that are withdrawn in one version of the
// operators' document. It implements permit.View.
type view struct{ withdrawn []ident.FailureDomain }

// Ramp implements permit.View: restored failure domains get their full load at
// once.
func (v view) Ramp(ident.FailureDomain) time.Duration { return 0 }

// InService implements permit.View.
func (v view) InService(domain ident.FailureDomain, _ ident.Incarnation, _ string) bool {
	return !slices.Contains(v.withdrawn, domain)
}

func newPlatform() *platform {
	return &platform{
		state:     permit.State{Version: 1, Epoch: 1},
		withdrawn: make(map[ident.FailureDomain]time.Duration),
	}
}

func (p *platform) snapshot() snapshot {
	s := snapshot{state: p.state, placement: placement.New(p.state.Epoch, p.members)}
	for d := range p.withdrawn {
		s.view.withdrawn = append(s.view.withdrawn, d)
	}
	slices.Sort(s.view.withdrawn)
	return s
}

// isMember reports whether the incarnation is a member now.
func (p *platform) isMember(id ident.Incarnation) bool {
	return slices.ContainsFunc(p.members, func(m placement.Member) bool { return m.Incarnation == id && m.Left == 0 })
}

// join commits an epoch with one more member.
func (p *platform) join(id ident.Incarnation, address int, domain ident.FailureDomain) {
	if slices.ContainsFunc(p.members, func(m placement.Member) bool { return m.Incarnation == id }) {
		return
	}
	p.state.Epoch++
	m := placement.Member{Incarnation: id, Address: addressName(address), Domain: domain, Joined: p.state.Epoch}
	p.members = append(slices.Clone(p.members), m)
}

// remove commits an epoch without the member.
func (p *platform) remove(id ident.Incarnation) {
	if !p.isMember(id) {
		return
	}
	p.state.Epoch++
	p.members = slices.Clone(p.members)
	for i := range p.members {
		if p.members[i].Incarnation == id {
			p.members[i].Left = p.state.Epoch
		}
	}
}

// withdraw commits an operators' document in which the failure domain is
// withdrawn.
func (p *platform) withdraw(now time.Duration, d ident.FailureDomain) {
	if _, out := p.withdrawn[d]; out {
		return
	}
	p.state.Version++
	p.withdrawn[d] = now
}

// restore commits an operators' document in which the failure domain is back in
// service.
func (p *platform) restore(d ident.FailureDomain) {
	if _, out := p.withdrawn[d]; !out {
		return
	}
	p.state.Version++
	delete(p.withdrawn, d)
}

// addressName returns the address of a process as the placement names it.
func addressName(address int) string { return fmt.Sprintf("10.0.0.%d:7000", address) }

// addressOf is the inverse of addressName. It returns -2, the address of no
// process, for any other name.
func addressOf(name string) int {
	address := -2
	_, _ = fmt.Sscanf(name, "10.0.0.%d:7000", &address)
	return address
}
