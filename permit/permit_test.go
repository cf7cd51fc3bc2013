package permit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaildock.example/dock/ident"
)

// drive runs random steps and checks the invariants after each.
func drive(t *rapid.T, w *world) {
	agent := rapid.IntRange(0, len(w.agents)-1)
	entry := rapid.IntRange(0, len(w.entries)-1)
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			w.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
		},
		"read":     func(t *rapid.T) { w.entries[entry.Draw(t, "entry")].read() },
		"exchange": func(t *rapid.T) { w.entries[entry.Draw(t, "from")].exchange(w.entries[entry.Draw(t, "to")]) },
		"beat":     func(t *rapid.T) { w.agents[agent.Draw(t, "agent")].beat(entry.Draw(t, "entry")) },
		"deliver": func(t *rapid.T) {
			if len(w.mail) == 0 {
				t.Skip("nothing under way")
			}
			w.deliver(rapid.IntRange(0, len(w.mail)-1).Draw(t, "message"))
		},
		"lose": func(t *rapid.T) {
			if len(w.mail) > 0 {
				i := rapid.IntRange(0, len(w.mail)-1).Draw(t, "message")
				w.mail = append(w.mail[:i], w.mail[i+1:]...)
			}
		},
		"round": func(t *rapid.T) {
			// One entry hears some agents at once; the rest stays under way.
			n := entry.Draw(t, "entry")
			some := subset(t, w, "agents")
			for range rapid.IntRange(1, 3).Draw(t, "rounds") {
				w.now += 500 * time.Millisecond
				w.promptly(func() {
					for _, i := range some {
						w.agents[i].beat(n)
					}
				})
				w.fail(t)
			}
		},
		"prompt read": func(t *rapid.T) { w.promptly(w.entries[entry.Draw(t, "entry")].read) },
		"prompt change": func(t *rapid.T) {
			next := subset(t, w, "next")
			if len(next) == 0 {
				t.Skip("a placement without members")
			}
			w.change(rapid.Bool().Draw(t, "document"), next, subset(t, w, "reached"), subset(t, w, "told"))
		},
		"propose": func(t *rapid.T) {
			next := rapid.SliceOfNDistinct(agent, 1, len(w.agents), rapid.ID[int]).Draw(t, "next")
			w.propose(rapid.Bool().Draw(t, "document"), next)
		},
		"commit": func(t *rapid.T) {
			if len(w.attempts) > 0 {
				w.commit(rapid.SampledFrom(w.attempts).Draw(t, "attempt"))
			}
		},
		"cancel": func(t *rapid.T) {
			if len(w.attempts) > 0 {
				w.cancel(rapid.SampledFrom(w.attempts).Draw(t, "attempt"))
			}
		},
		"settle": func(t *rapid.T) {
			if len(w.attempts) > 0 {
				w.settle(rapid.SampledFrom(w.attempts).Draw(t, "attempt"), w.agents[agent.Draw(t, "agent")])
			}
		},
		"": w.fail,
	})
}

func (w *world) fail(t *rapid.T) {
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
}

// subset draws any set of agents.
func subset(t *rapid.T, w *world, label string) []int {
	var set []int
	for i, in := range rapid.SliceOfN(rapid.Bool(), len(w.agents), len(w.agents)).Draw(t, label) {
		if in {
			set = append(set, i)
		}
	}
	return set
}

// No permit is live one lease after a newer state was committed, and versions
// never go down, whatever the network does.
func TestPermitsLapseOneLeaseAfterAChange(t *testing.T) {
	onWord := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(2, rapid.SampledFrom([]int{1, 2, 3, 4, 5}).Draw(t, "agents"))
		drive(t, w)
		onWord += w.grantsOnWord
	})
	if onWord == 0 {
		t.Error("no permit rested on the members' word, so the outage rule was not tested")
	}
}

// cutWorld is one entry that has lost the platform but hears all agents, and one
// that has not.
func cutWorld(agents int) *world {
	w := newWorld(2, agents)
	w.entries[0].read()
	w.entries[1].read()
	w.settleMail()
	return w
}

func (w *world) settleMail() {
	for len(w.mail) > 0 {
		w.deliver(0)
	}
}

// beats lets time pass in which the given agents talk to entry 0.
func (w *world) beats(rounds int, agents []int) {
	for range rounds {
		w.now += 500 * time.Millisecond
		for _, i := range agents {
			w.agents[i].beat(0)
		}
		w.settleMail()
	}
}

func (w *world) liveAgents() int {
	n := 0
	for _, a := range w.agents {
		if _, live := a.h.Live(a.clock()); live {
			n++
		}
	}
	return n
}

func TestOutageGoesOnWithMostMembers(t *testing.T) {
	w := cutWorld(5)
	w.beats(1200, []int{0, 1, 2})
	if got := w.liveAgents(); got != 3 {
		t.Errorf("%d of 3 agents have a permit after 10 minutes without the platform", got)
	}
	if mode := w.entries[0].g.Mode(w.entries[0].clock()); mode != Outage {
		t.Errorf("mode is %v", mode)
	}
}

func TestIslandStops(t *testing.T) {
	w := cutWorld(5)
	w.beats(5, []int{0, 1})
	if got := w.liveAgents(); got != 0 {
		t.Errorf("%d agents of a minority have a permit after more than one lease", got)
	}
	if mode := w.entries[0].g.Mode(w.entries[0].clock()); mode != Island {
		t.Errorf("mode is %v", mode)
	}
}

// The counterexample behind announcements: without them the cut entry and its
// agents go on under the old state for ever.
func TestWithoutAnnouncementAnOldPermitStaysLive(t *testing.T) {
	w := cutWorld(3)
	w.skipIntents = true
	w.beats(6, []int{0, 1, 2})
	w.propose(true, nil)
	w.mail = nil
	w.commit(w.attempts[0])
	w.settleMail()
	w.beats(20, []int{0, 1, 2})
	if w.check() == nil {
		t.Error("the model does not see a permit that outlives a change")
	}
}

// The same with an announcement: the members' word ends before the commit.
func TestAnnouncementEndsTheOutageRule(t *testing.T) {
	w := cutWorld(3)
	w.beats(6, []int{0, 1, 2})
	w.propose(true, nil)
	w.settleMail()
	w.commit(w.attempts[0])
	w.settleMail()
	for range 20 {
		w.beats(1, []int{0, 1, 2})
		if err := w.check(); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.liveAgents(); got != 0 {
		t.Errorf("%d agents have a permit for the replaced state", got)
	}
}

// A heartbeat that was under way for long proves nothing about now.
func TestDelayedHeartbeatDoesNotExtend(t *testing.T) {
	w := cutWorld(3)
	w.beats(2, []int{0, 1, 2})
	for i := range w.agents {
		w.agents[i].beat(0)
	}
	w.now += 10 * time.Second
	w.settleMail()
	if got := w.liveAgents(); got != 0 {
		t.Errorf("%d agents got a permit from heartbeats that are 10 s old", got)
	}
}

func TestHolderCountsFromSending(t *testing.T) {
	var h Holder
	h.Offer(time.Second, 2500*time.Millisecond, Fields{State: State{1, 1}, InService: true, Remaining: time.Hour})
	if p := h.Permit(); p.Until != time.Second+Lease {
		t.Errorf("permit lasts until %v", p.Until)
	}
	if h.Offer(3*time.Second, 3*time.Second, Fields{State: State{1, 0}, InService: true, Remaining: Lease}) {
		t.Error("an older epoch was taken")
	}
	h.Offer(3*time.Second, 3*time.Second, Fields{State: State{2, 1}, Remaining: Lease})
	if p := h.Permit(); p.Version != 2 || p.InService {
		t.Errorf("the newer version was not taken: %+v", p)
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
		t.Error("the bound on intents does not hold")
	}
	h.Settle("aa", State{Version: 7})
	if h.Known().Version != ident.DocVersion(7) || !h.Announce("one more") {
		t.Error("a settled intent was not forgotten")
	}
}
