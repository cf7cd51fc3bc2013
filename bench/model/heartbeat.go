package model

import (
	"slices"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// goneAfter is the silence after which an entry takes an agent that left the
// placement for gone.
const goneAfter = 3 * time.Second

// peer is what an agent says of itself in a heartbeat.
type peer struct {
	incarnation ident.Incarnation
	address     int
	domain      ident.FailureDomain
	slots       int
	load        dispatch.Load
	accepting   bool
	known       permit.State
	heard       time.Duration
}

// heartbeatReply is an entry's answer to a heartbeat.
type heartbeatReply struct {
	fields    permit.Grant
	granted   bool
	placement *placement.Placement
	peers     []peer
	gone      []ident.Incarnation
}

// heartbeat tells every entry of this agent's state.
func (a *agentProcess) heartbeat() {
	for _, e := range a.cluster.entries {
		a.heartbeatTo(e.address)
	}
}

func (a *agentProcess) self() peer {
	g := a.gate.Load()
	return peer{
		incarnation: a.incarnation,
		address:     a.address,
		domain:      a.domain,
		slots:       g.Slots,
		load:        g.Load,
		accepting:   g.Slots > 0 && a.inService() && !a.leaving,
		known:       a.holder.Known(),
	}
}

func (a *agentProcess) heartbeatTo(address int) {
	sent := a.now()
	self := a.self()
	k := &call{from: a.process, to: address, timeout: heartbeatTimeout}
	k.serve = func(e endpoint, send func(any)) func() {
		send(e.(*entryProcess).serveHeartbeat(self))
		return nil
	}
	k.answer = func(m any) {
		k.done()
		a.takeReply(sent, m.(heartbeatReply))
	}
	k.end = func(callError) {}
	k.start()
}

// takeReply takes the permit first, so that a placement is never acted upon
// under an older permit.
func (a *agentProcess) takeReply(sent time.Duration, m heartbeatReply) {
	if m.granted && a.holder.Offer(sent, a.now(), m.fields) {
		a.setPermit()
	}
	if m.placement != nil && (a.placement == nil || m.placement.Epoch > a.placement.Epoch) {
		a.placement = m.placement
		a.homeStep(home.SetPlacement{Placement: m.placement})
	}
	a.directory = m.peers
	for _, id := range m.gone {
		if !a.gone[id] {
			a.gone[id] = true
			a.homeStep(home.AgentGone{Agent: id})
			a.abort(id)
		}
	}
	a.publishExecutors()
}

func (a *agentProcess) setPermit() {
	p := a.holder.Permit()
	a.cluster.checkMonotonic(a, permit.State{Version: p.Version, Epoch: p.Epoch})
	a.gateStep(setGatePermit(p))
	a.homeStep(home.SetPermit{Permit: p})
}

// publishExecutors gives the home its view of all executors.
func (a *agentProcess) publishExecutors() {
	self := a.self()
	list := []dispatch.Executor{executor(&self)}
	for i := range a.directory {
		p := &a.directory[i]
		if p.incarnation != a.incarnation && !a.gone[p.incarnation] {
			list = append(list, executor(p))
		}
	}
	a.homeStep(home.SetExecutors{Executors: list})
}

func executor(p *peer) dispatch.Executor {
	return dispatch.Executor{
		Incarnation: p.incarnation,
		Domain:      p.domain,
		Services:    []ident.Service{service},
		Slots:       p.slots,
		Load:        p.load,
		Accepting:   p.accepting,
	}
}

// serveHeartbeat answers an agent.
func (e *entryProcess) serveHeartbeat(from peer) heartbeatReply {
	e.granter.RaiseKnown(from.known)
	from.heard = e.now()
	e.note(from)
	m := heartbeatReply{placement: e.placement, peers: slices.Clone(e.peers), gone: e.goneAgents()}
	m.fields, m.granted = e.granter.Grant(e.now(), from.domain, from.incarnation, addressName(from.address))
	if e.cluster.mutated(MutationEndlessPermit) && e.placement != nil {
		m.fields.Remaining = permit.Lease
		m.granted = true
	}
	return m
}

// note keeps the newest word of an agent.
func (e *entryProcess) note(p peer) {
	for i := range e.peers {
		if e.peers[i].incarnation == p.incarnation {
			e.peers[i] = p
			return
		}
	}
	e.peers = append(e.peers, p)
}

// goneAgents lists former members that are silent, and forgets the silent.
func (e *entryProcess) goneAgents() []ident.Incarnation {
	var gone []ident.Incarnation
	if e.placement == nil {
		return nil
	}
	for i := range e.placement.Members {
		m := &e.placement.Members[i]
		if m.Left != 0 && !e.isHeard(m.Incarnation) {
			gone = append(gone, m.Incarnation)
		}
	}
	e.peers = slices.DeleteFunc(e.peers, func(p peer) bool { return e.now()-p.heard > goneAfter })
	return gone
}

func (e *entryProcess) isHeard(id ident.Incarnation) bool {
	if e.now() < goneAfter {
		return true
	}
	return slices.ContainsFunc(e.peers, func(p peer) bool { return p.incarnation == id && e.now()-p.heard <= goneAfter })
}
