package permit

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// model simulates a platform, some entries and agents, and a network that delivers
// every message at any later moment, in any order, or never.
type model struct {
	now       time.Duration
	log       []committed
	members   map[ident.Epoch][]int
	entries   []*entrySim
	agents    []*agentSim
	attempts  []*attempt
	inTransit []func()
	// skipIntents lets changes be committed without acknowledged announcements.
	skipIntents bool
	// outageGrants counts the permits that were granted in the mode Outage.
	outageGrants int
}

type committed struct {
	state State
	at    time.Duration
}

type entrySim struct {
	m      *model
	g      *Granter
	offset time.Duration
}

type agentSim struct {
	m      *model
	id     ident.Incarnation
	h      *Holder
	offset time.Duration
	echo   []time.Duration
	last   Permit
}

// attempt is one announced change.
type attempt struct {
	id        string
	base      State
	after     State
	members   []int
	next      []int
	acks      int
	sent      bool
	decided   bool // the outcome is final
	cancelled bool
	committed bool
}

// allInService is a View in which all backend servers are in service.
type allInService struct{}

func (allInService) InService(ident.FailureDomain, ident.Incarnation, string) bool { return true }

func (allInService) Ramp(ident.FailureDomain) time.Duration { return 0 }

func newModel(entries, agents int) *model {
	m := &model{now: time.Hour, members: make(map[ident.Epoch][]int)}
	for i := range agents {
		m.agents = append(m.agents, &agentSim{
			m: m, id: ident.Incarnation(fmt.Sprintf("a%d", i)), h: &Holder{},
			offset: time.Duration(i*17) * time.Minute, echo: make([]time.Duration, entries),
		})
		m.members[1] = append(m.members[1], i)
	}
	m.log = []committed{{State{Version: 1, Epoch: 1}, m.now}}
	for i := range entries {
		m.entries = append(m.entries, &entrySim{m: m, g: NewGranter(), offset: time.Duration(i*13) * time.Minute})
	}
	return m
}

func (m *model) current() State { return m.log[len(m.log)-1].state }

func (e *entrySim) clock() time.Duration { return e.m.now + e.offset }
func (a *agentSim) clock() time.Duration { return a.m.now + a.offset }

func (m *model) send(f func()) { m.inTransit = append(m.inTransit, f) }

func (m *model) deliver(i int) {
	f := m.inTransit[i]
	m.inTransit = slices.Delete(m.inTransit, i, i+1)
	f()
}

func (m *model) memberIDs(epoch ident.Epoch) []ident.Incarnation {
	var ids []ident.Incarnation
	for _, i := range m.members[epoch] {
		ids = append(ids, m.agents[i].id)
	}
	return ids
}

// read sends a read of the platform.
func (e *entrySim) read() {
	started := e.clock()
	e.m.send(func() {
		s := e.m.current()
		e.m.send(func() {
			e.g.Install(s, allInService{}, e.m.memberIDs(s.Epoch))
			e.g.ConfirmRead(Confirmation{State: s, ReadAt: started})
		})
	})
}

// exchange sends a call to another entry, whose answer carries a confirmation.
func (e *entrySim) exchange(o *entrySim) {
	sent := e.clock()
	e.m.send(func() {
		if o.g.Mode(o.clock()) == Empty {
			return
		}
		c := o.g.Base()
		age := c.Age(o.clock())
		e.m.send(func() {
			e.g.Install(c.State, allInService{}, e.m.memberIDs(c.State.Epoch))
			e.g.Confirm(ConfirmationFromAnswer(sent, c.State, age))
		})
	})
}

// sendHeartbeat sends a heartbeat to entry n.
func (a *agentSim) sendHeartbeat(n int) {
	e := a.m.entries[n]
	sent := a.clock()
	report := MemberReport{Echo: a.echo[n], Known: a.h.Known(), Pending: a.h.Intent() != ""}
	a.m.send(func() {
		e.g.RaiseKnown(report.Known)
		if report.Echo > 0 {
			e.g.ObserveHeartbeat(a.id, report)
		}
		grant, ok := e.g.Grant(e.clock(), "", a.id, "")
		if ok && e.g.Mode(e.clock()) == Outage {
			a.m.outageGrants++
		}
		echo := e.clock()
		a.m.send(func() {
			a.echo[n] = max(a.echo[n], echo)
			a.h.Offer(sent, a.clock(), grant)
		})
	})
}

// deliverAtOnce delivers at once the messages that f sends and those that follow
// from them. Other messages stay in transit.
func (m *model) deliverAtOnce(f func()) {
	waiting := m.inTransit
	m.inTransit = nil
	f()
	for len(m.inTransit) > 0 {
		m.deliver(0)
	}
	m.inTransit = waiting
}

// change carries out a change at once: it is announced to the agents in reached,
// committed if enough of them acknowledge it, and settled at the agents in told.
func (m *model) change(document bool, next, reached, told []int) {
	m.deliverAtOnce(func() {
		t := m.propose(document, next)
		m.inTransit = nil
		for _, i := range t.members {
			if slices.Contains(reached, i) {
				m.announce(t, m.agents[i])
			}
		}
	})
	t := m.attempts[len(m.attempts)-1]
	m.deliverAtOnce(func() { m.commit(t) })
	m.deliverAtOnce(func() {
		for _, i := range told {
			m.settle(t, m.agents[i])
		}
	})
}

// announce sends an attempt to one agent, which sends its acknowledgement back.
func (m *model) announce(t *attempt, a *agentSim) {
	m.send(func() {
		if a.h.Announce(t.id) {
			m.send(func() { t.acks++ })
		}
	})
}

// propose announces a change to the members of the state that it replaces.
func (m *model) propose(document bool, next []int) *attempt {
	base := m.current()
	t := &attempt{id: fmt.Sprintf("c%d", len(m.attempts)), base: base, after: base, members: m.members[base.Epoch], next: next}
	if document {
		t.after.Version++
	} else {
		t.after.Epoch++
	}
	m.attempts = append(m.attempts, t)
	for _, i := range t.members {
		m.announce(t, m.agents[i])
	}
	return t
}

// commit sends the transaction of an attempt to the platform if enough members
// have acknowledged the attempt.
func (m *model) commit(t *attempt) {
	if t.sent || t.cancelled || (2*t.acks < len(t.members) && !m.skipIntents) {
		return
	}
	t.sent = true
	m.send(func() {
		if t.cancelled {
			return
		}
		t.decided = true
		if m.current() != t.base {
			return
		}
		t.committed = true
		if t.after.Epoch != t.base.Epoch {
			m.members[t.after.Epoch] = t.next
		}
		m.log = append(m.log, committed{t.after, m.now})
	})
}

// cancel makes sure that an attempt without an outcome is never committed.
func (m *model) cancel(t *attempt) {
	if !t.decided {
		t.cancelled = true
		t.decided = true
	}
}

// settle sends the outcome of an attempt to one agent.
func (m *model) settle(t *attempt, a *agentSim) {
	if !t.decided {
		return
	}
	var after State
	if t.committed {
		after = t.after
	}
	m.send(func() { a.h.Settle(t.id, after) })
}

// check returns the first violation of an invariant, or nil.
func (m *model) check() error {
	for _, a := range m.agents {
		p, live := a.h.Live(a.clock())
		if p.Version < a.last.Version || p.Epoch < a.last.Epoch {
			return fmt.Errorf("the permit of %s went back from %v to %v", a.id, a.last, p)
		}
		a.last = p
		if err := m.checkLive(State{p.Version, p.Epoch}); live && err != nil {
			return fmt.Errorf("%s: %w", a.id, err)
		}
	}
	return nil
}

// checkLive returns an error if a permit for the state must not be live now.
func (m *model) checkLive(s State) error {
	i := slices.IndexFunc(m.log, func(c committed) bool { return c.state == s })
	if i < 0 {
		return fmt.Errorf("state %v was never committed", s)
	}
	if i+1 < len(m.log) && m.now >= m.log[i+1].at+Lease {
		return fmt.Errorf("a permit for %v is live %v after %v was committed", s, m.now-m.log[i+1].at, m.log[i+1].state)
	}
	return nil
}
