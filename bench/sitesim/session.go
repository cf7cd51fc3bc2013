package sitesim

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/session"
	"foxtaildock.example/dock/subset"
	"foxtaildock.example/dock/work"
)

// connection is one connection between an entry and an agent. Once a message is lost
// on it, all later ones are lost as well.
type connection struct {
	entry, agent int
	dead         bool
	// arrival is when the latest message to the entry arrives, so that no later one
	// overtakes it.
	arrival time.Duration
}

// transmit delivers a message over the connection in order, unless it is lost.
func (s *Site) transmit(c *connection, to *process, f func()) {
	generation := to.generation
	arrival := s.now() + s.cfg.Delay
	if to == &s.entries[c.entry].process {
		arrival = max(arrival+s.lags[[2]int{c.entry, c.agent}], c.arrival)
		c.arrival = arrival
	}
	s.at(arrival, func() {
		if c.dead || s.cuts[[2]int{c.entry, c.agent}] || !to.alive || to.generation != generation {
			c.dead = true
			return
		}
		to.deliver(generation, f)
	})
}

// agentSession is the agent's side of a session, as in package runner. lastOffer is
// the sequence of the last offer that the agent has processed.
type agentSession struct {
	entry     *entryNode
	name      ident.Incarnation
	conn      *connection
	ended     bool
	results   session.Outbox[run.Report]
	lastOffer uint64
	heartbeat uint64
	// dirty is true until the last heartbeat is answered.
	dirty         bool
	room          run.Room
	unsentResults []numbered
	unsentStalled []work.Run
}

type numbered = session.NumberedResult[run.Report]

// toEntry is a message of an agent to an entry.
type toEntry struct {
	welcome   bool
	agent     ident.Incarnation
	held      []work.Run
	results   []numbered
	lastOffer uint64
	heartbeat uint64
	// room is nil if it hasn't changed since the last message of the session.
	room    *run.Room
	stalled []work.Run
	// load is sent with the answer to a heartbeat, nil otherwise.
	load *run.Load
	// clock is the agent's clock when it sent the message.
	clock time.Duration
}

// attach opens a session. It replaces an open session of the same entry incarnation
// and takes over its unacknowledged results.
func (v *vm) attach(e *entryNode, name ident.Incarnation, c *connection, hello session.Hello) {
	s := &agentSession{entry: e, name: name, conn: c}
	if old := v.sessions[name]; old != nil {
		old.ended = true
		s.results = old.results
	}
	v.sessions[name] = s
	if hello.Agent == v.self {
		s.results.Acknowledge(hello.ResultsSeen)
	}
	m := toEntry{welcome: true, agent: v.self, held: v.core.Held(name), results: slices.Clone(s.results.Unacknowledged())}
	room := v.core.Room()
	s.room, m.room = room, &room
	v.send(s, m)
	v.flush()
}

func (v *vm) send(s *agentSession, m toEntry) {
	e := s.entry
	c := s.conn
	m.clock = v.site.now()
	v.site.transmit(c, &e.process, func() { e.receive(v.index, c, m) })
}

func (v *vm) queueResult(a run.Report) {
	s := v.sessions[a.Entry]
	if s == nil {
		return
	}
	s.unsentResults = append(s.unsentResults, s.results.Add(a))
}

func (v *vm) queueStalled(a run.ReportStalled) {
	if s := v.sessions[a.Entry]; s != nil {
		s.unsentStalled = append(s.unsentStalled, a.Run)
	}
}

// flush sends each entry the changes that it has not been sent yet.
func (v *vm) flush() {
	room := v.core.Room()
	for _, name := range sortedKeys(v.sessions) {
		s := v.sessions[name]
		if s.ended || s.room.Equal(&room) && !s.dirty && len(s.unsentResults) == 0 && len(s.unsentStalled) == 0 {
			continue
		}
		m := toEntry{agent: v.self, results: s.unsentResults, lastOffer: s.lastOffer, heartbeat: s.heartbeat, stalled: s.unsentStalled}
		if !s.room.Equal(&room) {
			m.room = &room
		}
		if s.dirty {
			load := v.core.Load(v.site.now())
			m.load = &load
		}
		s.unsentResults, s.unsentStalled, s.dirty, s.room = nil, nil, false, room
		v.send(s, m)
	}
}

// receive processes a message of an entry, unless it came over a replaced session.
func (v *vm) receive(name ident.Incarnation, c *connection, f func(*agentSession)) {
	s := v.sessions[name]
	if s == nil || s.ended || s.conn != c {
		return
	}
	f(s)
	v.flush()
}

// closeSessions closes the connections of a process that has ended. Entries that are not
// cut off notice it after the network delay.
func (s *Site) closeSessions(sessions map[ident.Incarnation]*agentSession) {
	for _, name := range sortedKeys(sessions) {
		c, e := sessions[name].conn, sessions[name].entry
		generation := e.generation
		c.dead = true
		s.after(s.cfg.Delay, func() {
			if !s.cuts[[2]int{c.entry, c.agent}] {
				e.deliver(generation, func() { e.connectionClosed(c) })
			}
		})
	}
}

// entryNode is an entry with its sessions, as in package dispatcher.
type entryNode struct {
	process
	index int
	self  ident.Incarnation
	core  entryCore
	// links are by index of the VM, nil for agents that the entry doesn't use.
	links   []*entryLink
	chooser *subset.Chooser
}

type entryLink struct {
	conn      *connection
	end       session.EntryEnd
	open      bool
	openedAt  time.Duration // when the entry began to use the agent
	dialedAt  time.Duration
	lastHeard time.Duration
	beatAt    time.Duration // when the next heartbeat is due
}

// Times of an entry. A session ends after missedHeartbeats intervals without a message.
const (
	entryTick        = 10 * time.Millisecond
	redialDelay      = 100 * time.Millisecond
	missedHeartbeats = 3
)

func newEntryNode(s *Site, index int) *entryNode {
	return &entryNode{process: process{site: s}, index: index}
}

func (s *Site) newEntryCore() entryCore {
	if s.cfg.Baseline {
		return newBaseline()
	}
	return schedule.New(schedule.Config{Terms: s.terms, RemoteFactor: 1.5})
}

func (e *entryNode) start() {
	e.generation++
	e.alive = true
	e.self = e.site.incarnation("entry", e.index)
	e.core = e.site.newEntryCore()
	e.links = make([]*entryLink, len(e.site.vms))
	e.step(schedule.OperatorChanged{Rows: e.site.operator})
	e.chooser = subset.New(subset.Config{Self: string(e.self), Domain: e.site.domain(e.index), Min: e.site.cfg.Subset})
	for i := range e.site.vms {
		e.chooser.Add(subset.Agent{Address: vmAddress(i), Domain: e.site.domain(i)})
	}
	e.choose()
	e.tick()
}

// vmAddress returns the address of a VM's agent.
func vmAddress(i int) string { return fmt.Sprintf("vm-%d", i) }

// chooseInterval is the interval at which an entry reconsiders which agents it uses.
const chooseInterval = 250 * time.Millisecond

// choose begins to use agents and releases others, as the entry process does.
func (e *entryNode) choose() {
	if core, ok := e.core.(*schedule.Core); ok && e.site.cfg.Subset > 0 {
		d := e.chooser.Decide(e.site.now(), e.subsetState(core))
		for i := range e.site.vms {
			switch {
			case slices.ContainsFunc(d.Open, func(a subset.Agent) bool { return a.Address == vmAddress(i) }):
				e.use(i)
			case slices.Contains(d.Release, vmAddress(i)):
				e.release(i)
			}
		}
	} else if e.links[0] == nil {
		for i := range e.site.vms {
			e.use(i)
		}
	}
	e.later(chooseInterval, e.choose)
}

func (e *entryNode) subsetState(core *schedule.Core) subset.State {
	// Entries counts so that Subset alone determines how many agents are wanted.
	s := subset.State{Entries: 4 * len(e.site.vms), NoRoom: core.NoRoom()}
	for i, l := range e.links {
		if l == nil {
			continue
		}
		status := core.AgentStatus(l.end.Agent())
		s.Links = append(s.Links, subset.Link{Address: vmAddress(i), Usable: l.open && status.Usable, Idle: status.Runs == 0, OpenedAt: l.openedAt})
	}
	return s
}

func (e *entryNode) use(i int) {
	e.links[i] = &entryLink{openedAt: e.site.now()}
	e.dial(i)
	e.heartbeatLoop(i, e.links[i])
}

func (e *entryNode) release(i int) {
	l := e.links[i]
	e.detach(i, "no longer in the subset")
	l.conn.dead = true
	e.links[i] = nil
}

func (e *entryNode) tick() {
	e.step(schedule.Tick{})
	e.later(entryTick, e.tick)
}

// dial opens a session with an agent.
func (e *entryNode) dial(i int) {
	l := e.links[i]
	v := e.site.vms[i]
	c := &connection{entry: e.index, agent: i}
	l.conn, l.open = c, false
	l.dialedAt, l.lastHeard = e.site.now(), e.site.now()
	hello, self := l.end.Open(), e.self
	e.site.transmit(c, &v.process, func() { v.attach(e, self, c, hello) })
}

// heartbeatLoop sends heartbeats to an agent, and replaces a silent session.
func (e *entryNode) heartbeatLoop(i int, l *entryLink) {
	if e.links[i] != l {
		return // released
	}
	interval, now := e.site.terms.HeartbeatInterval, e.site.now()
	if l.beatAt > 0 && now-l.beatAt > interval/2 {
		// The entry was paused, as in package link: messages of the agent may wait.
		l.lastHeard = max(l.lastHeard, now-(missedHeartbeats-1)*interval)
	}
	if now-l.lastHeard > missedHeartbeats*interval {
		e.detach(i, "no message from the agent within the silence timeout")
		e.dial(i)
	}
	if l.open {
		e.sendHeartbeat(i)
	}
	l.beatAt = now + interval
	e.later(interval, func() { e.heartbeatLoop(i, l) })
}

func (e *entryNode) sendHeartbeat(i int) {
	beat := e.links[i].end.NextHeartbeat(e.site.now())
	withdrawn := e.site.operator.IsWithdrawn(e.site.domain(i))
	var waiting []run.WaitingWork
	if core, ok := e.core.(*schedule.Core); ok {
		waiting = core.Waiting()
	}
	e.toAgent(i, func(v *vm, s *agentSession) {
		s.results.Acknowledge(beat.ResultsSeen)
		s.dirty = true
		if beat.AgentClock > 0 {
			v.step(run.EntryHeartbeat{Entry: s.name, AsOf: beat.AgentClock})
		}
		if v.core.HasLease(s.name) {
			s.heartbeat = beat.Number
		}
		v.step(run.WaitingReported{Entry: s.name, Waiting: waiting})
		v.step(run.DomainWithdrawn{Withdrawn: withdrawn})
	})
}

func (e *entryNode) toAgent(i int, f func(*vm, *agentSession)) {
	v, c, self := e.site.vms[i], e.links[i].conn, e.self
	e.site.transmit(c, &v.process, func() {
		v.receive(self, c, func(s *agentSession) { f(v, s) })
	})
}

func (e *entryNode) detach(i int, reason string) {
	l := e.links[i]
	if l.open {
		l.open = false
		e.step(schedule.AgentDetached{Agent: l.end.Agent(), Reason: reason})
	}
}

// connectionClosed handles a connection that the agent has closed.
func (e *entryNode) connectionClosed(c *connection) {
	l := e.links[c.agent]
	if l == nil || l.conn != c {
		return
	}
	e.detach(c.agent, "connection closed")
	e.later(redialDelay, func() {
		if l.conn == c && e.links[c.agent] == l {
			e.dial(c.agent)
		}
	})
}

// receive processes a message of an agent, unless it came over a replaced session.
func (e *entryNode) receive(i int, c *connection, m toEntry) {
	l := e.links[i]
	if l == nil || l.conn != c {
		return
	}
	l.lastHeard = e.site.now()
	if m.welcome {
		l.end.Welcome(m.agent)
	}
	for _, n := range m.results {
		if !l.end.AcceptResult(n.Sequence) {
			continue
		}
		r := n.Value
		e.step(schedule.RunEnded{Agent: m.agent, Run: r.Run, Outcome: r.Outcome, Ran: r.Ran, Reason: r.Reason})
	}
	l.end.Processed(m.clock)
	if m.welcome {
		l.open = true
		e.sendHeartbeat(i)
		e.step(schedule.AgentAttached{Agent: m.agent, Address: string(rune('a' + i)), Held: m.held, RequestedAt: l.dialedAt})
	}
	received := schedule.AgentMessageReceived{Agent: m.agent, AckedHeartbeatSentAt: l.end.SentAt(m.heartbeat)}
	if m.room == nil {
		received.LastOfferIncluded = m.lastOffer
	}
	e.step(received)
	if m.room != nil {
		e.roomReported(m)
	}
	if m.load != nil {
		e.step(schedule.AgentLoadReported{Agent: m.agent, Load: *m.load})
	}
	for _, r := range m.stalled {
		e.step(schedule.RunStalled{Agent: m.agent, Run: r})
	}
}

func (e *entryNode) roomReported(m toEntry) {
	room := *m.room
	room.Server.Draining = room.Server.Draining || room.Closed
	if e.site.cfg.NoSpeeds {
		room.Speed = run.SpeedFigure{}
	}
	e.step(schedule.AgentRoomReported{Agent: m.agent, Server: room.Server, Used: room.Used, Queued: room.Queued, LastOfferIncluded: m.lastOffer, Pace: room.Pace, Speed: room.Speed})
}

func (e *entryNode) linkOf(agent ident.Incarnation) (int, bool) {
	for i, l := range e.links {
		if l != nil && l.open && l.end.Agent() == agent {
			return i, true
		}
	}
	return 0, false
}

func (e *entryNode) step(ev schedule.Event) {
	e.site.steps++
	for _, a := range e.core.Step(e.site.now(), ev) {
		switch a := a.(type) {
		case schedule.SendOffers:
			e.offer(a)
		case schedule.SendStops:
			if i, open := e.linkOf(a.Agent); open {
				e.toAgent(i, func(v *vm, s *agentSession) {
					for _, r := range a.Runs {
						v.step(run.StopRequested{Entry: s.name, Run: r})
					}
				})
			}
		case schedule.Answer:
			e.site.callers.answered(e, a)
		}
	}
}

func (e *entryNode) offer(a schedule.SendOffers) {
	i, open := e.linkOf(a.Agent)
	if !open {
		return
	}
	e.toAgent(i, func(v *vm, s *agentSession) {
		for _, t := range a.Tasks {
			v.step(run.Offered{Entry: s.name, Run: t.Run, Spec: a.Spec, Server: a.Server, Service: a.Service, Priority: a.Priority, Demand: t.Demand, Expected: t.Expected, Route: a.Route, Slack: t.Slack, Estimate: t.Estimate})
		}
		s.lastOffer = max(s.lastOffer, a.Sequence)
	})
}

// kill ends the entry; a new incarnation starts after the given time.
func (e *entryNode) kill(after time.Duration) {
	e.alive = false
	e.site.callers.entryLost(e)
	e.site.after(after, func() {
		if !e.alive {
			e.start()
		}
	})
}
