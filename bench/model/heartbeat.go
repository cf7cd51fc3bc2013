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

// agentSilenceLimit is the time without a heartbeat after which an entry
// considers an agent that has left the placement gone.
const agentSilenceLimit = 3 * time.Second

// peer is the state of an agent as its heartbeat reports it.
type peer struct {
	incarnation   ident.Incarnation
	address       int
	domain        ident.FailureDomain
	slots         int
	load          dispatch.Load
	accepting     bool
	knownState    permit.State
	lastHeartbeat time.Duration
}

// heartbeatReply is an entry's answer to a heartbeat.
type heartbeatReply struct {
	grant     permit.Grant
	granted   bool
	placement *placement.Placement
	peers     []peer
	gone      []ident.Incarnation
}

// heartbeat sends this agent's state to every entry.
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
		knownState:  a.holder.Known(),
	}
}

func (a *agentProcess) heartbeatTo(address int) {
	sent := a.now()
	self := a.self()
	k := &call{from: a.process, to: address, timeout: heartbeatTimeout}
	k.handle = func(e endpoint, send func(any)) func() {
		send(e.(*entryProcess).serveHeartbeat(self))
		return nil
	}
	k.onAnswer = func(m any) {
		k.done()
		a.processHeartbeatReply(sent, m.(heartbeatReply))
	}
	k.onEnd = func(callError) {}
	k.start()
}

// processHeartbeatReply installs the permit first, so that a placement is never
// used with an older permit.
func (a *agentProcess) processHeartbeatReply(sent time.Duration, m heartbeatReply) {
	if m.granted && a.holder.Offer(sent, a.now(), m.grant) {
		a.setPermit()
	}
	if m.placement != nil && (a.placement == nil || m.placement.Epoch > a.placement.Epoch) {
		a.placement = m.placement
		a.homeStep(home.SetPlacement{Placement: m.placement})
	}
	a.peers = m.peers
	for _, id := range m.gone {
		if !a.gone[id] {
			a.gone[id] = true
			a.homeStep(home.AgentGone{Agent: id})
			a.stopExecutions(id)
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

// publishExecutors passes the list of all executors to the home.
func (a *agentProcess) publishExecutors() {
	self := a.self()
	list := []dispatch.Executor{executor(&self)}
	for i := range a.peers {
		p := &a.peers[i]
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

// serveHeartbeat processes the heartbeat of an agent and returns the reply.
func (e *entryProcess) serveHeartbeat(from peer) heartbeatReply {
	e.granter.RaiseKnown(from.knownState)
	from.lastHeartbeat = e.now()
	e.recordPeer(from)
	m := heartbeatReply{placement: e.placement, peers: slices.Clone(e.peers), gone: e.goneAgents()}
	m.grant, m.granted = e.granter.Grant(e.now(), from.domain, from.incarnation, addressName(from.address))
	if e.cluster.mutated(MutationPermitNeverExpires) && e.placement != nil {
		m.grant.Remaining = permit.Lease
		m.granted = true
	}
	return m
}

// recordPeer stores the newest heartbeat of an agent.
func (e *entryProcess) recordPeer(p peer) {
	for i := range e.peers {
		if e.peers[i].incarnation == p.incarnation {
			e.peers[i] = p
			return
		}
	}
	e.peers = append(e.peers, p)
}

// goneAgents returns the former members that have been silent for longer than
// agentSilenceLimit, and drops all silent agents from the peers.
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
	e.peers = slices.DeleteFunc(e.peers, func(p peer) bool { return e.now()-p.lastHeartbeat > agentSilenceLimit })
	return gone
}

// isHeard reports whether an agent counts as alive. A new entry considers no
// agent silent before agentSilenceLimit has passed.
func (e *entryProcess) isHeard(id ident.Incarnation) bool {
	if e.now() < agentSilenceLimit {
		return true
	}
	return slices.ContainsFunc(e.peers, func(p peer) bool { return p.incarnation == id && e.now()-p.lastHeartbeat <= agentSilenceLimit })
}
