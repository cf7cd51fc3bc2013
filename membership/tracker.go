package membership

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// Tracker is the core that follows the agents of one cell in one entry.
//
// Invariants:
//   - An agent becomes gone only after GoneAfter without a heartbeat here or
//     at another entry, and never while most of the fleet is silent.
//   - An incarnation that an epoch has removed is never up again.
type Tracker struct {
	cfg    Config
	agents map[ident.Incarnation]*Agent
	// order lists the keys of agents ascending, since maps have no order.
	order   []ident.Incarnation
	current *placement.Placement
	view    permit.View
	// forgiven is the end of the last own fault. Silence counts from there.
	forgiven time.Duration
	ownFault bool
	// told is the position of HeardHere in order.
	told int
	// changedAt is the newest ChangedAt of all agents.
	changedAt time.Duration
}

// NewTracker returns a tracker that knows nobody.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{
		cfg:     cfg,
		agents:  make(map[ident.Incarnation]*Agent),
		current: placement.New(0, nil),
	}
}

// Step takes one event.
func (t *Tracker) Step(now time.Duration, e Event) []Action {
	switch e := e.(type) {
	case Heartbeat:
		return t.heartbeat(now, e.Agent)
	case Elsewhere:
		return t.elsewhere(now, e.Agents)
	case Installed:
		return t.installed(now, e.Placement)
	case ViewChanged:
		return t.viewChanged(now, e.View)
	case SilentAreOff:
		return t.silentAreOff(now)
	case Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Tracker) heartbeat(now time.Duration, n Announcement) []Action {
	// One that left as planned goes on being heard while it finishes.
	if t.hasLeft(&n) && !n.Leaving {
		return []Action{Removed{n.Incarnation}}
	}
	a, ok := t.agents[n.Incarnation]
	if !ok {
		if len(t.agents) >= t.cfg.MaxAgents {
			return []Action{Rejected{n.Incarnation}}
		}
		a = t.add(n, now)
		t.supersede(a)
	}
	if !a.announced || !sameDuty(&a.Announcement, &n) {
		t.changed(now, a)
	}
	a.Announcement = n
	a.announced = true
	a.superseded = false
	a.HeardAt = now
	t.judgeService(a)
	return t.move(now, a, stateOf(n))
}

// judgeService applies the document to one agent and reports a change.
func (t *Tracker) judgeService(a *Agent) bool {
	out := t.view != nil && !t.view.InService(a.Domain, a.Incarnation, a.Address)
	changed := out != a.OutOfService
	a.OutOfService = out
	return changed
}

// viewChanged applies a newer document to all agents.
func (t *Tracker) viewChanged(now time.Duration, v permit.View) []Action {
	t.view = v
	var acts []Action
	for _, id := range t.order {
		a := t.agents[id]
		if t.judgeService(a) {
			t.changed(now, a)
			acts = append(acts, Changed{Agent: *a, From: a.State, To: a.State})
		}
	}
	return acts
}

// elsewhere notes what other entries hear. It also makes agents known that this
// entry does not hear itself, as suspected ones: peers may know of them, and
// nobody removes them.
func (t *Tracker) elsewhere(now time.Duration, ns []Announcement) []Action {
	var acts []Action
	for _, n := range ns {
		if t.hasLeft(&n) {
			continue
		}
		a, ok := t.agents[n.Incarnation]
		if !ok {
			if len(t.agents) >= t.cfg.MaxAgents {
				continue
			}
			a = t.add(n, now)
			a.HeardAt = now - t.cfg.SuspectAfter
			acts = append(acts, t.move(now, a, Suspected)...)
		}
		a.ElsewhereAt = now
	}
	return acts
}

func (t *Tracker) installed(now time.Duration, p *placement.Placement) []Action {
	if p == nil || p.Epoch < t.current.Epoch {
		return nil
	}
	t.current = p
	var acts []Action
	for i := range p.Members {
		m := &p.Members[i]
		a, ok := t.agents[m.Incarnation]
		if m.Left != 0 {
			if ok && a.State != Leaving {
				acts = append(acts, t.move(now, a, Gone)...)
			}
			continue
		}
		if !ok {
			a = t.add(Announcement{Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain}, now)
			acts = append(acts, t.move(now, a, Suspected)...)
		}
	}
	return acts
}

// hasLeft reports whether an epoch has removed the incarnation. One that was a
// member once and that the row does not know was removed and then forgotten.
func (t *Tracker) hasLeft(n *Announcement) bool {
	m, ok := t.current.Member(n.Incarnation)
	if !ok {
		return n.Joined != 0 && n.Joined <= t.current.Epoch
	}
	return m.Left != 0
}

func (t *Tracker) add(n Announcement, now time.Duration) *Agent {
	a := &Agent{Announcement: n, HeardAt: now}
	t.changed(now, a)
	t.agents[n.Incarnation] = a
	i, _ := slices.BinarySearch(t.order, n.Incarnation)
	t.order = slices.Insert(t.order, i, n.Incarnation)
	return a
}

// supersede marks older incarnations at the address of a new one. Two processes
// can't listen at one address, so the older ones are gone: a restart then frees
// its place in the same epoch. If one of them is heard again, that counts as usual.
func (t *Tracker) supersede(by *Agent) {
	if by.Address == "" {
		return
	}
	for _, id := range t.order {
		a := t.agents[id]
		if a != by && a.Address == by.Address {
			a.superseded = true
		}
	}
}

func (t *Tracker) tick(now time.Duration) []Action {
	acts := t.judgeSelf(now)
	if t.ownFault {
		return acts
	}
	for _, id := range slices.Clone(t.order) {
		a := t.agents[id]
		silence := t.silence(now, a)
		switch {
		case a.State == Gone:
			if silence >= t.cfg.GoneAfter+t.cfg.ForgetAfter && !t.current.Lists(id) {
				t.drop(id)
			}
		case t.isGone(now, a, silence):
			acts = append(acts, t.move(now, a, Gone)...)
		case silence >= t.cfg.SuspectAfter:
			acts = append(acts, t.move(now, a, Suspected)...)
		}
	}
	return acts
}

// silentAreOff declares the silent agents gone without judging itself. Silence
// counts from the last heartbeat here: what another entry hears is not silent.
func (t *Tracker) silentAreOff(now time.Duration) []Action {
	var acts []Action
	for _, id := range t.order {
		a := t.agents[id]
		if a.State != Gone && t.isGone(now, a, now-a.HeardAt) {
			acts = append(acts, t.move(now, a, Gone)...)
		}
	}
	return acts
}

// silence is the time since the agent was heard here, or since this entry was
// last at fault itself.
func (t *Tracker) silence(now time.Duration, a *Agent) time.Duration {
	return now - max(a.HeardAt, t.forgiven)
}

func (t *Tracker) isGone(now time.Duration, a *Agent, silence time.Duration) bool {
	if a.superseded {
		return true
	}
	limit := t.cfg.GoneAfter
	if silence < limit {
		return false
	}
	return a.ElsewhereAt == 0 || now-a.ElsewhereAt >= limit
}

// judgeSelf compares the silent agents with the fleet.
func (t *Tracker) judgeSelf(now time.Duration) []Action {
	present, silent := 0, 0
	for _, a := range t.agents {
		if a.State == Gone || a.superseded {
			continue
		}
		present++
		// HeardAt alone counts here: forgiveness must not end the fault.
		if now-a.HeardAt >= t.cfg.SuspectAfter {
			silent++
		}
	}
	fault := 2*silent > present
	if fault == t.ownFault {
		return nil
	}
	t.ownFault = fault
	if !fault {
		t.forgiven = now
	}
	return []Action{FaultOwn{Begins: fault}}
}

// changed notes that peers have to be told of more than the agent's load.
func (t *Tracker) changed(now time.Duration, a *Agent) {
	a.ChangedAt = now
	t.changedAt = now
}

func (t *Tracker) drop(id ident.Incarnation) {
	delete(t.agents, id)
	if i, ok := slices.BinarySearch(t.order, id); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

func (t *Tracker) move(now time.Duration, a *Agent, to State) []Action {
	if a.State == to {
		return nil
	}
	from := a.State
	a.State = to
	t.changed(now, a)
	return []Action{Changed{Agent: *a, From: from, To: to}}
}

// stateOf is the state of an agent that is heard.
func stateOf(n Announcement) State {
	if n.Leaving {
		return Leaving
	}
	return Up
}

// sameDuty reports whether two announcements differ in load at most.
func sameDuty(a, b *Announcement) bool {
	return a.Address == b.Address && a.Domain == b.Domain && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && slices.Equal(a.Services, b.Services)
}

// OwnFault reports whether most of the fleet is silent.
func (t *Tracker) OwnFault() bool { return t.ownFault }

// Agent returns one tracked incarnation.
func (t *Tracker) Agent(id ident.Incarnation) (Agent, bool) {
	a, ok := t.agents[id]
	if !ok {
		return Agent{}, false
	}
	return *a, true
}

// Agents returns all tracked incarnations in the order of their names.
func (t *Tracker) Agents() []Agent {
	all := make([]Agent, 0, len(t.order))
	for _, id := range t.order {
		all = append(all, *t.agents[id])
	}
	return all
}
