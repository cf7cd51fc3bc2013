package permit

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// world is a platform, some entries and agents, and a network that delivers
// every message at any later moment, in any order, or never.
type world struct {
	now      time.Duration
	log      []committed
	members  map[ident.Epoch][]int
	entries  []*entrySim
	agents   []*agentSim
	attempts []*attempt
	mail     []func()
	// skipIntents lets changes be committed without announcement.
	skipIntents bool
	// grantsOnWord counts permits that rested on the members' word.
	grantsOnWord int
}

type committed struct {
	state State
	at    time.Duration
}

type entrySim struct {
	w      *world
	g      *Granter
	offset time.Duration
}

type agentSim struct {
	w      *world
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
	certain   bool
	cancelled bool
	committed bool
}

type everyone struct{}

func (everyone) InService(ident.FailureDomain, ident.Incarnation, string) bool { return true }

func (everyone) Ramp(ident.FailureDomain) time.Duration { return 0 }

func newWorld(entries, agents int) *world {
	w := &world{now: time.Hour, members: make(map[ident.Epoch][]int)}
	for i := range agents {
		w.agents = append(w.agents, &agentSim{
			w: w, id: ident.Incarnation(fmt.Sprintf("a%d", i)), h: &Holder{},
			offset: time.Duration(i*17) * time.Minute, echo: make([]time.Duration, entries),
		})
		w.members[1] = append(w.members[1], i)
	}
	w.log = []committed{{State{Version: 1, Epoch: 1}, w.now}}
	for i := range entries {
		w.entries = append(w.entries, &entrySim{w: w, g: NewGranter(), offset: time.Duration(i*13) * time.Minute})
	}
	return w
}

func (w *world) current() State { return w.log[len(w.log)-1].state }

func (e *entrySim) clock() time.Duration { return e.w.now + e.offset }
func (a *agentSim) clock() time.Duration { return a.w.now + a.offset }

func (w *world) post(f func()) { w.mail = append(w.mail, f) }

func (w *world) deliver(i int) {
	f := w.mail[i]
	w.mail = slices.Delete(w.mail, i, i+1)
	f()
}

func (w *world) ids(epoch ident.Epoch) []ident.Incarnation {
	var ids []ident.Incarnation
	for _, i := range w.members[epoch] {
		ids = append(ids, w.agents[i].id)
	}
	return ids
}

// read posts a read of the platform.
func (e *entrySim) read() {
	started := e.clock()
	e.w.post(func() {
		s := e.w.current()
		e.w.post(func() {
			e.g.Install(s, everyone{}, e.w.ids(s.Epoch))
			e.g.ConfirmRead(Confirmation{State: s, ReadAt: started})
		})
	})
}

// exchange posts a call to another entry.
func (e *entrySim) exchange(o *entrySim) {
	sent := e.clock()
	e.w.post(func() {
		if o.g.Mode(o.clock()) == Empty {
			return
		}
		c := o.g.Base()
		age := c.Age(o.clock())
		e.w.post(func() {
			e.g.Install(c.State, everyone{}, e.w.ids(c.State.Epoch))
			e.g.Confirm(FromAnswer(sent, c.State, age))
		})
	})
}

// beat posts a heartbeat.
func (a *agentSim) beat(n int) {
	e := a.w.entries[n]
	sent := a.clock()
	heard := Heard{Echo: a.echo[n], Known: a.h.Known(), Pending: a.h.Intent() != ""}
	a.w.post(func() {
		e.g.Learn(heard.Known)
		if heard.Echo > 0 {
			e.g.Hear(a.id, heard)
		}
		f, ok := e.g.Grant(e.clock(), "", a.id, "")
		if ok && e.g.Mode(e.clock()) == Outage {
			a.w.grantsOnWord++
		}
		echo := e.clock()
		a.w.post(func() {
			a.echo[n] = max(a.echo[n], echo)
			a.h.Offer(sent, a.clock(), f)
		})
	})
}

// promptly delivers at once what f posts and what follows from it.
func (w *world) promptly(f func()) {
	waiting := w.mail
	w.mail = nil
	f()
	for len(w.mail) > 0 {
		w.deliver(0)
	}
	w.mail = waiting
}

// change carries a change through at once: announced to the reached agents,
// committed if they are enough, and its outcome told to some.
func (w *world) change(document bool, next, reached, told []int) {
	w.promptly(func() {
		t := w.propose(document, next)
		w.mail = nil
		for _, i := range t.members {
			if slices.Contains(reached, i) {
				w.announce(t, w.agents[i])
			}
		}
	})
	t := w.attempts[len(w.attempts)-1]
	w.promptly(func() { w.commit(t) })
	w.promptly(func() {
		for _, i := range told {
			w.settle(t, w.agents[i])
		}
	})
}

// announce posts an attempt to one agent and its word back.
func (w *world) announce(t *attempt, a *agentSim) {
	w.post(func() {
		if a.h.Announce(t.id) {
			w.post(func() { t.acks++ })
		}
	})
}

// propose announces a change to the members of the state that it replaces.
func (w *world) propose(document bool, next []int) *attempt {
	base := w.current()
	t := &attempt{id: fmt.Sprintf("c%d", len(w.attempts)), base: base, after: base, members: w.members[base.Epoch], next: next}
	if document {
		t.after.Version++
	} else {
		t.after.Epoch++
	}
	w.attempts = append(w.attempts, t)
	for _, i := range t.members {
		w.announce(t, w.agents[i])
	}
	return t
}

// commit posts the transaction of an attempt that enough members know of.
func (w *world) commit(t *attempt) {
	if t.sent || t.cancelled || (2*t.acks < len(t.members) && !w.skipIntents) {
		return
	}
	t.sent = true
	w.post(func() {
		if t.cancelled {
			return
		}
		t.certain = true
		if w.current() != t.base {
			return
		}
		t.committed = true
		if t.after.Epoch != t.base.Epoch {
			w.members[t.after.Epoch] = t.next
		}
		w.log = append(w.log, committed{t.after, w.now})
	})
}

// cancel makes sure that an attempt never takes effect.
func (w *world) cancel(t *attempt) {
	if !t.certain {
		t.cancelled = true
		t.certain = true
	}
}

// settle posts the outcome of an attempt to one agent.
func (w *world) settle(t *attempt, a *agentSim) {
	if !t.certain {
		return
	}
	var after State
	if t.committed {
		after = t.after
	}
	w.post(func() { a.h.Settle(t.id, after) })
}

// check returns the first broken invariant.
func (w *world) check() error {
	for _, a := range w.agents {
		p, live := a.h.Live(a.clock())
		if p.Version < a.last.Version || p.Epoch < a.last.Epoch {
			return fmt.Errorf("%s went back from %v to %v", a.id, a.last, p)
		}
		a.last = p
		if err := w.checkLive(State{p.Version, p.Epoch}); live && err != nil {
			return fmt.Errorf("%s: %w", a.id, err)
		}
	}
	return nil
}

// checkLive says whether a permit for the state may still be live now.
func (w *world) checkLive(s State) error {
	i := slices.IndexFunc(w.log, func(c committed) bool { return c.state == s })
	if i < 0 {
		return fmt.Errorf("state %v was never committed", s)
	}
	if i+1 < len(w.log) && w.now >= w.log[i+1].at+Lease {
		return fmt.Errorf("a permit for %v is live %v after %v was committed", s, w.now-w.log[i+1].at, w.log[i+1].state)
	}
	return nil
}
