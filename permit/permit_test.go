package permit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaildock.example/dock/ident"
)

// drive runs random steps and checks the invariants after each.
func drive(t *rapid.T, m *model) {
	agent := rapid.IntRange(0, len(m.agents)-1)
	entry := rapid.IntRange(0, len(m.entries)-1)
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
		},
		"read":     func(t *rapid.T) { m.entries[entry.Draw(t, "entry")].read() },
		"exchange": func(t *rapid.T) { m.entries[entry.Draw(t, "from")].exchange(m.entries[entry.Draw(t, "to")]) },
		"beat":     func(t *rapid.T) { m.agents[agent.Draw(t, "agent")].sendHeartbeat(entry.Draw(t, "entry")) },
		"deliver": func(t *rapid.T) {
			if len(m.inTransit) == 0 {
				t.Skip("no message in transit")
			}
			m.deliver(rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message"))
		},
		"lose": func(t *rapid.T) {
			if len(m.inTransit) > 0 {
				i := rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "message")
				m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
			}
		},
		"round": func(t *rapid.T) {
			// The heartbeats of some agents to one entry are delivered at once;
			// all other messages stay in transit.
			n := entry.Draw(t, "entry")
			some := subset(t, m, "agents")
			for range rapid.IntRange(1, 3).Draw(t, "rounds") {
				m.now += 500 * time.Millisecond
				m.deliverAtOnce(func() {
					for _, i := range some {
						m.agents[i].sendHeartbeat(n)
					}
				})
				m.failOnViolation(t)
			}
		},
		"prompt read": func(t *rapid.T) { m.deliverAtOnce(m.entries[entry.Draw(t, "entry")].read) },
		"prompt change": func(t *rapid.T) {
			next := subset(t, m, "next")
			if len(next) == 0 {
				t.Skip("the drawn placement has no members")
			}
			m.change(rapid.Bool().Draw(t, "document"), next, subset(t, m, "reached"), subset(t, m, "told"))
		},
		"propose": func(t *rapid.T) {
			next := rapid.SliceOfNDistinct(agent, 1, len(m.agents), rapid.ID[int]).Draw(t, "next")
			m.propose(rapid.Bool().Draw(t, "document"), next)
		},
		"commit": func(t *rapid.T) {
			if len(m.attempts) > 0 {
				m.commit(rapid.SampledFrom(m.attempts).Draw(t, "attempt"))
			}
		},
		"cancel": func(t *rapid.T) {
			if len(m.attempts) > 0 {
				m.cancel(rapid.SampledFrom(m.attempts).Draw(t, "attempt"))
			}
		},
		"settle": func(t *rapid.T) {
			if len(m.attempts) > 0 {
				m.settle(rapid.SampledFrom(m.attempts).Draw(t, "attempt"), m.agents[agent.Draw(t, "agent")])
			}
		},
		"": m.failOnViolation,
	})
}

func (m *model) failOnViolation(t *rapid.T) {
	if err := m.check(); err != nil {
		t.Fatal(err)
	}
}

// subset draws any set of agents.
func subset(t *rapid.T, m *model, label string) []int {
	var set []int
	for i, in := range rapid.SliceOfN(rapid.Bool(), len(m.agents), len(m.agents)).Draw(t, label) {
		if in {
			set = append(set, i)
		}
	}
	return set
}

// No permit is live one lease after a newer state was committed, and versions and
// epochs never decrease, whatever the network does.
func TestPermitsLapseOneLeaseAfterAChange(t *testing.T) {
	totalOutageGrants := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(2, rapid.SampledFrom([]int{1, 2, 3, 4, 5}).Draw(t, "agents"))
		drive(t, m)
		totalOutageGrants += m.outageGrants
	})
	if totalOutageGrants == 0 {
		t.Error("no permit was granted from the members' heartbeats, so the mode Outage was not tested")
	}
}

// newCutModel returns a model with two entries that have read the platform once.
// The tests then let entry 0 exchange messages with agents only.
func newCutModel(agents int) *model {
	m := newModel(2, agents)
	m.entries[0].read()
	m.entries[1].read()
	m.deliverAll()
	return m
}

func (m *model) deliverAll() {
	for len(m.inTransit) > 0 {
		m.deliver(0)
	}
}

// heartbeatRounds lets time pass in which the given agents send heartbeats to
// entry 0.
func (m *model) heartbeatRounds(rounds int, agents []int) {
	for range rounds {
		m.now += 500 * time.Millisecond
		for _, i := range agents {
			m.agents[i].sendHeartbeat(0)
		}
		m.deliverAll()
	}
}

func (m *model) liveAgents() int {
	n := 0
	for _, a := range m.agents {
		if _, live := a.h.Live(a.clock()); live {
			n++
		}
	}
	return n
}

func TestOutageGoesOnWithMostMembers(t *testing.T) {
	m := newCutModel(5)
	m.heartbeatRounds(1200, []int{0, 1, 2})
	if got := m.liveAgents(); got != 3 {
		t.Errorf("%d of 3 agents have a live permit after 10 minutes without the platform, want 3", got)
	}
	if mode := m.entries[0].g.Mode(m.entries[0].clock()); mode != Outage {
		t.Errorf("mode is %v, want outage", mode)
	}
}

func TestIsolatedEntryGrantsNothing(t *testing.T) {
	m := newCutModel(5)
	m.heartbeatRounds(5, []int{0, 1})
	if got := m.liveAgents(); got != 0 {
		t.Errorf("%d agents of a minority have a live permit after more than one lease, want 0", got)
	}
	if mode := m.entries[0].g.Mode(m.entries[0].clock()); mode != Isolated {
		t.Errorf("mode is %v, want island", mode)
	}
}

// Shows why changes are announced: without announcements the entry that has lost
// the platform and its agents would keep permits for the old state forever.
func TestWithoutAnnouncementAnOldPermitStaysLive(t *testing.T) {
	m := newCutModel(3)
	m.skipIntents = true
	m.heartbeatRounds(6, []int{0, 1, 2})
	m.propose(true, nil)
	m.inTransit = nil
	m.commit(m.attempts[0])
	m.deliverAll()
	m.heartbeatRounds(20, []int{0, 1, 2})
	if m.check() == nil {
		t.Error("the model does not detect a permit that stays live after a change")
	}
}

// The same with an announcement: members that acknowledge a change stop confirming
// the old state before the commit, so permits lapse within one lease after it.
func TestAnnouncementEndsTheOutageRule(t *testing.T) {
	m := newCutModel(3)
	m.heartbeatRounds(6, []int{0, 1, 2})
	m.propose(true, nil)
	m.deliverAll()
	m.commit(m.attempts[0])
	m.deliverAll()
	for range 20 {
		m.heartbeatRounds(1, []int{0, 1, 2})
		if err := m.check(); err != nil {
			t.Fatal(err)
		}
	}
	if got := m.liveAgents(); got != 0 {
		t.Errorf("%d agents have a live permit for the replaced state, want 0", got)
	}
}

// A heartbeat that was delayed for longer than a lease must not extend a permit.
func TestDelayedHeartbeatDoesNotExtend(t *testing.T) {
	m := newCutModel(3)
	m.heartbeatRounds(2, []int{0, 1, 2})
	for i := range m.agents {
		m.agents[i].sendHeartbeat(0)
	}
	m.now += 10 * time.Second
	m.deliverAll()
	if got := m.liveAgents(); got != 0 {
		t.Errorf("%d agents got a permit from heartbeats that are 10 s old, want 0", got)
	}
}

func TestHolderCountsFromSending(t *testing.T) {
	var h Holder
	h.Offer(time.Second, 2500*time.Millisecond, Grant{State: State{1, 1}, InService: true, Remaining: time.Hour})
	if p := h.Permit(); p.Until != time.Second+Lease {
		t.Errorf("permit ends at %v, want one lease after the heartbeat was sent", p.Until)
	}
	if h.Offer(3*time.Second, 3*time.Second, Grant{State: State{1, 0}, InService: true, Remaining: Lease}) {
		t.Error("a permit with an older epoch was accepted")
	}
	h.Offer(3*time.Second, 3*time.Second, Grant{State: State{2, 1}, Remaining: Lease})
	if p := h.Permit(); p.Version != 2 || p.InService {
		t.Errorf("the permit with the newer version was not accepted: %+v", p)
	}
}

func TestHolderBoundsIntents(t *testing.T) {
	var h Holder
	for i := range maxPendingIntents {
		if !h.Announce(string(rune('a'+i%26)) + string(rune('a'+i/26))) {
			t.Fatalf("intent %d was refused", i)
		}
	}
	if h.Announce("one more") || h.Announce("") {
		t.Error("an intent beyond the limit or without an id was acknowledged")
	}
	h.Settle("aa", State{Version: 7})
	if h.Known().Version != ident.DocVersion(7) || !h.Announce("one more") {
		t.Error("a settled intent was not removed, or its state not learned")
	}
}
