package model

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// platformAddress is where the platform is reached.
const platformAddress = -1

// platform is the committed state.
type platform struct {
	down      bool
	state     permit.State
	members   []placement.Member
	withdrawn map[ident.FailureDomain]time.Duration // since when
}

// snapshot is what one read returns.
type snapshot struct {
	state     permit.State
	placement *placement.Placement
	view      view
}

// view says which failure domains are withdrawn at one version.
type view struct{ withdrawn []ident.FailureDomain }

// InService implements permit.View.
// Ramp implements permit.View: restored domains take up work at once.
func (v view) Ramp(ident.FailureDomain) time.Duration { return 0 }

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

// lists reports whether the incarnation is listed now.
func (p *platform) lists(id ident.Incarnation) bool {
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
	if !p.lists(id) {
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

// withdraw commits a document without the failure domain.
func (p *platform) withdraw(now time.Duration, d ident.FailureDomain) {
	if _, out := p.withdrawn[d]; out {
		return
	}
	p.state.Version++
	p.withdrawn[d] = now
}

// restore commits a document with the failure domain.
func (p *platform) restore(d ident.FailureDomain) {
	if _, out := p.withdrawn[d]; !out {
		return
	}
	p.state.Version++
	delete(p.withdrawn, d)
}

// addressName is the address of a process as the placement names it.
func addressName(address int) string { return fmt.Sprintf("10.0.0.%d:7000", address) }

// addressOf is the inverse of addressName.
func addressOf(name string) int {
	address := -2
	_, _ = fmt.Sscanf(name, "10.0.0.%d:7000", &address)
	return address
}
