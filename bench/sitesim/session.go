package sitesim

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/session"
	"foxtaildock.example/dock/work"
)

// channel is one connection between an entry and an agent. Once a message is lost
// on it, everything after it is lost as well.
type channel struct {
	entry, agent int
	dead         bool
	// arrival is when the newest message to the entry arrives.
	arrival time.Duration
}

// carry delivers a message over the channel in order, unless it is lost.
func (s *Site) carry(c *channel, to *process, f func()) {
	life := to.life
	arrival := s.now() + s.cfg.Delay
	if to == &s.entries[c.entry].process {
		arrival = max(arrival+s.lags[[2]int{c.entry, c.agent}], c.arrival)
		c.arrival = arrival
	}
	s.at(arrival, func() {
		if c.dead || s.cuts[[2]int{c.entry, c.agent}] || !to.alive || to.life != life {
			c.dead = true
			return
		}
		to.deliver(life, f)
	})
}

// agentSession is the agent's end of a session, as package runner keeps it.
type agentSession struct {
	entry   *entryNode
	name    ident.Incarnation
	channel *channel
	ended   bool
	results session.Outbox[run.Report]
	taken   uint64
	beat    uint64
	dirty   bool
	room    run.Room
	news    []numbered
	stalls  []work.Run
}

type numbered = session.NumberedResult[run.Report]

// toEntry is a message of an agent.
type toEntry struct {
	welcome bool
	agent   ident.Incarnation
	held    []work.Run
	results []numbered
	taken   uint64
	beat    uint64
	room    run.Room
	stalls  []work.Run
	// clock is the agent's, when it sent the message.
	clock time.Duration
}

// attach opens a session; one of the same entry incarnation is replaced.
func (v *vm) attach(e *entryNode, name ident.Incarnation, c *channel, hello session.Hello) {
	s := &agentSession{entry: e, name: name, channel: c}
	if old := v.sessions[name]; old != nil {
		old.ended = true
		s.results = old.results
	}
	v.sessions[name] = s
	if hello.Agent == v.self {
		s.results.Acknowledge(hello.ResultsSeen)
	}
	m := toEntry{welcome: true, agent: v.self, held: v.core.Held(name), results: slices.Clone(s.results.Unacknowledged()), room: v.core.Room()}
	s.room = m.room
	v.send(s, m)
	v.flush()
}

func (v *vm) send(s *agentSession, m toEntry) {
	e := s.entry
	c := s.channel
	m.clock = v.site.now()
	v.site.carry(c, &e.process, func() { e.receive(v.index, c, m) })
}

func (v *vm) reported(a run.Report) {
	s := v.sessions[a.Entry]
	if s == nil {
		return
	}
	s.news = append(s.news, s.results.Add(a))
}

func (v *vm) stalled(a run.ReportStalled) {
	if s := v.sessions[a.Entry]; s != nil {
		s.stalls = append(s.stalls, a.Run)
	}
}

// flush tells each entry what it has to know.
func (v *vm) flush() {
	room := v.core.Room()
	for _, name := range sortedKeys(v.sessions) {
		s := v.sessions[name]
		if s.ended || s.room.Equal(&room) && !s.dirty && len(s.news) == 0 && len(s.stalls) == 0 {
			continue
		}
		m := toEntry{agent: v.self, results: s.news, taken: s.taken, beat: s.beat, room: room, stalls: s.stalls}
		s.news, s.stalls, s.dirty, s.room = nil, nil, false, room
		v.send(s, m)
	}
}

// message takes a message of an entry.
func (v *vm) message(name ident.Incarnation, c *channel, f func(*agentSession)) {
	s := v.sessions[name]
	if s == nil || s.ended || s.channel != c {
		return
	}
	f(s)
	v.flush()
}

// breakSessions tells the entries that the connections of a process are gone.
func (s *Site) breakSessions(sessions map[ident.Incarnation]*agentSession) {
	for _, name := range sortedKeys(sessions) {
		c, e := sessions[name].channel, sessions[name].entry
		life := e.life
		c.dead = true
		s.after(s.cfg.Delay, func() {
			if !s.cuts[[2]int{c.entry, c.agent}] {
				e.deliver(life, func() { e.broken(c) })
			}
		})
	}
}

// entryNode is an entry with its sessions, as package dispatcher keeps them.
type entryNode struct {
	process
	index int
	self  ident.Incarnation
	core  entryCore
	links []*entryLink
}

type entryLink struct {
	channel *channel
	end     session.EntryEnd
	open    bool
	asked   time.Duration
	heard   time.Duration
}

// Times of an entry.
const (
	entryTick = 10 * time.Millisecond
	redial    = 100 * time.Millisecond
	silence   = 3 // heartbeats
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
	e.life++
	e.alive = true
	e.self = e.site.incarnation("entry", e.index)
	e.core = e.site.newEntryCore()
	e.links = make([]*entryLink, len(e.site.vms))
	e.step(schedule.OperatorChanged{Rows: e.site.operator})
	for i := range e.site.vms {
		e.links[i] = &entryLink{}
		e.dial(i)
		e.beats(i)
	}
	e.tick()
}

func (e *entryNode) tick() {
	e.step(schedule.Tick{})
	e.later(entryTick, e.tick)
}

// dial opens a session with an agent.
func (e *entryNode) dial(i int) {
	l := e.links[i]
	v := e.site.vms[i]
	c := &channel{entry: e.index, agent: i}
	l.channel, l.open = c, false
	l.asked, l.heard = e.site.now(), e.site.now()
	hello, self := l.end.Open(), e.self
	e.site.carry(c, &v.process, func() { v.attach(e, self, c, hello) })
}

// beats sends heartbeats to an agent, and gives up a silent session.
func (e *entryNode) beats(i int) {
	l := e.links[i]
	if e.site.now()-l.heard > silence*e.site.terms.HeartbeatInterval {
		e.detach(i, "no word from the agent")
		e.dial(i)
	}
	if l.open {
		e.beat(i)
	}
	e.later(e.site.terms.HeartbeatInterval, func() { e.beats(i) })
}

func (e *entryNode) beat(i int) {
	beat := e.links[i].end.NextHeartbeat(e.site.now())
	withdrawn := e.site.operator.IsWithdrawn(e.site.domain(i))
	e.toAgent(i, func(v *vm, s *agentSession) {
		s.results.Acknowledge(beat.ResultsSeen)
		s.beat, s.dirty = beat.Number, true
		if beat.AgentClock > 0 {
			v.step(run.EntryHeartbeat{Entry: s.name, AsOf: beat.AgentClock})
		}
		v.step(run.DomainWithdrawn{Withdrawn: withdrawn})
	})
}

func (e *entryNode) toAgent(i int, f func(*vm, *agentSession)) {
	v, c, self := e.site.vms[i], e.links[i].channel, e.self
	e.site.carry(c, &v.process, func() {
		v.message(self, c, func(s *agentSession) { f(v, s) })
	})
}

func (e *entryNode) detach(i int, reason string) {
	l := e.links[i]
	if l.open {
		l.open = false
		e.step(schedule.AgentDetached{Agent: l.end.Agent(), Reason: reason})
	}
}

// broken takes the end of a connection that the other side has closed.
func (e *entryNode) broken(c *channel) {
	l := e.links[c.agent]
	if l.channel != c {
		return
	}
	e.detach(c.agent, "connection closed")
	e.later(redial, func() {
		if l.channel == c {
			e.dial(c.agent)
		}
	})
}

// receive takes a message of an agent.
func (e *entryNode) receive(i int, c *channel, m toEntry) {
	l := e.links[i]
	if l.channel != c {
		return
	}
	l.heard = e.site.now()
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
		e.beat(i)
		e.step(schedule.AgentAttached{Agent: m.agent, Address: string(rune('a' + i)), Held: m.held, RequestedAt: l.asked})
	}
	e.step(schedule.AgentMessageReceived{Agent: m.agent, AckedHeartbeatSentAt: l.end.SentAt(m.beat)})
	room := m.room
	room.Server.Draining = room.Server.Draining || room.Closed
	e.step(schedule.AgentRoomReported{Agent: m.agent, Server: room.Server, Used: room.Used, Queued: room.Queued, LastOfferIncluded: m.taken, Pace: room.Pace})
	for _, r := range m.stalls {
		e.step(schedule.RunStalled{Agent: m.agent, Run: r})
	}
}

func (e *entryNode) linkOf(agent ident.Incarnation) (int, bool) {
	for i, l := range e.links {
		if l.open && l.end.Agent() == agent {
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
						v.step(run.StopAsked{Entry: s.name, Run: r})
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
			v.step(run.Offered{Entry: s.name, Run: t.Run, Spec: a.Spec, Service: a.Service, Priority: a.Priority, Demand: t.Demand, Expected: t.Expected})
		}
		s.taken = max(s.taken, a.Sequence)
	})
}

// kill ends the entry; another one starts after a while.
func (e *entryNode) kill(after time.Duration) {
	e.alive = false
	e.site.callers.entryLost(e)
	e.site.after(after, func() {
		if !e.alive {
			e.start()
		}
	})
}
