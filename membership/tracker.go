package membership

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// Tracker tracks the agents of one cell in one entry. It does no I/O.
//
// Invariants:
//   - An agent becomes gone only after GoneAfter without a heartbeat here or
//     at another entry, and never while most of the agents are silent.
//     Exceptions: an epoch has removed it, a later incarnation has its address,
//     or an operator has declared the silent agents gone.
//   - An incarnation that an epoch has removed is never up again.
type Tracker struct {
	cfg    Config
	agents map[ident.Incarnation]*Agent
	// order lists the keys of agents ascending, since maps have no order.
	order   []ident.Incarnation
	current *placement.Placement
	view    permit.View
	// localFaultEndedAt is the end of the last local fault. Silence before it
	// does not count.
	localFaultEndedAt time.Duration
	localFault        bool
	// nextHeardLocally is the position in order at which HeardLocally continues.
	nextHeardLocally int
	// lastChangeAt is the newest ChangedAt of all agents.
	lastChangeAt time.Duration
}

// NewTracker returns a Tracker without agents.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{
		cfg:     cfg,
		agents:  make(map[ident.Incarnation]*Agent),
		current: placement.New(0, nil),
	}
}

// Step handles one event and returns the resulting actions. now is monotonic.
func (t *Tracker) Step(now time.Duration, e Event) []Action {
	switch e := e.(type) {
	case Heartbeat:
		return t.heartbeat(now, e.Agent)
	case HeardElsewhere:
		return t.heardElsewhere(now, e.Agents)
	case Installed:
		return t.installed(now, e.Placement)
	case ViewChanged:
		return t.viewChanged(now, e.View)
	case SilentAgentsOff:
		return t.declareSilentGone(now)
	case Tick:
		return t.tick(now)
	}
	return nil
}

func (t *Tracker) heartbeat(now time.Duration, n Announcement) []Action {
	// An agent that left as planned keeps sending heartbeats while it finishes
	// its work.
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
	if !a.announced || !sameExceptLoad(&a.Announcement, &n) {
		t.markChanged(now, a)
	}
	a.Announcement = n
	a.announced = true
	a.superseded = false
	a.HeardAt = now
	t.updateService(a)
	return t.setState(now, a, stateOf(n))
}

// updateService sets OutOfService of one agent from the document view and reports
// whether it changed.
func (t *Tracker) updateService(a *Agent) bool {
	out := t.view != nil && !t.view.InService(a.Domain, a.Incarnation, a.Address)
	changed := out != a.OutOfService
	a.OutOfService = out
	return changed
}

// viewChanged applies a newer document view to all agents.
func (t *Tracker) viewChanged(now time.Duration, v permit.View) []Action {
	t.view = v
	var acts []Action
	for _, id := range t.order {
		a := t.agents[id]
		if t.updateService(a) {
			t.markChanged(now, a)
			acts = append(acts, Changed{Agent: *a, From: a.State, To: a.State})
		}
	}
	return acts
}

// heardElsewhere records whose heartbeats another entry receives. Agents that are
// not tracked here are added as suspected, so that peers learn of them. While such
// reports arrive, they are not declared gone.
func (t *Tracker) heardElsewhere(now time.Duration, ns []Announcement) []Action {
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
			acts = append(acts, t.setState(now, a, Suspected)...)
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
				acts = append(acts, t.setState(now, a, Gone)...)
			}
			continue
		}
		if !ok {
			a = t.add(Announcement{Incarnation: m.Incarnation, Address: m.Address, Domain: m.Domain}, now)
			acts = append(acts, t.setState(now, a, Suspected)...)
		}
	}
	return acts
}

// hasLeft reports whether an epoch has removed the incarnation. An incarnation that
// was a member once and is not in the row was removed and later dropped from the
// row.
func (t *Tracker) hasLeft(n *Announcement) bool {
	m, ok := t.current.Member(n.Incarnation)
	if !ok {
		return n.Joined != 0 && n.Joined <= t.current.Epoch
	}
	return m.Left != 0
}

func (t *Tracker) add(n Announcement, now time.Duration) *Agent {
	a := &Agent{Announcement: n, HeardAt: now}
	t.markChanged(now, a)
	t.agents[n.Incarnation] = a
	i, _ := slices.BinarySearch(t.order, n.Incarnation)
	t.order = slices.Insert(t.order, i, n.Incarnation)
	return a
}

// supersede marks older incarnations at the address of a new one. Two processes
// can't listen at one address, so the older ones are gone, and after a restart the
// same epoch removes the old incarnation and adds the new one. A later heartbeat of
// a superseded incarnation clears the mark.
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
	acts := t.checkLocalFault(now)
	if t.localFault {
		return acts
	}
	for _, id := range slices.Clone(t.order) {
		a := t.agents[id]
		silence := t.silence(now, a)
		switch {
		case a.State == Gone:
			if silence >= t.cfg.GoneAfter+t.cfg.ForgetAfter && !t.current.Lists(id) {
				t.remove(id)
			}
		case t.isGone(now, a, silence):
			acts = append(acts, t.setState(now, a, Gone)...)
		case silence >= t.cfg.SuspectAfter:
			acts = append(acts, t.setState(now, a, Suspected)...)
		}
	}
	return acts
}

// declareSilentGone declares the silent agents gone even during a local fault.
// Silence counts from the last heartbeat here, without regard to earlier local
// faults. Agents whose heartbeats another entry receives are not silent.
func (t *Tracker) declareSilentGone(now time.Duration) []Action {
	var acts []Action
	for _, id := range t.order {
		a := t.agents[id]
		if a.State != Gone && t.isGone(now, a, now-a.HeardAt) {
			acts = append(acts, t.setState(now, a, Gone)...)
		}
	}
	return acts
}

// silence returns the time since the agent's last heartbeat here, or since the end
// of the last local fault if that is later.
func (t *Tracker) silence(now time.Duration, a *Agent) time.Duration {
	return now - max(a.HeardAt, t.localFaultEndedAt)
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

// checkLocalFault compares the number of silent agents with that of all agents, to
// detect the start and the end of a local fault.
func (t *Tracker) checkLocalFault(now time.Duration) []Action {
	present, silent := 0, 0
	for _, a := range t.agents {
		if a.State == Gone || a.superseded {
			continue
		}
		present++
		// Only HeardAt counts here: the end of an earlier local fault must not
		// end this one.
		if now-a.HeardAt >= t.cfg.SuspectAfter {
			silent++
		}
	}
	fault := 2*silent > present
	if fault == t.localFault {
		return nil
	}
	t.localFault = fault
	if !fault {
		t.localFaultEndedAt = now
	}
	return []Action{LocalFaultChanged{Active: fault}}
}

// markChanged records that peers must get a full update of the agent, not only its
// load.
func (t *Tracker) markChanged(now time.Duration, a *Agent) {
	a.ChangedAt = now
	t.lastChangeAt = now
}

func (t *Tracker) remove(id ident.Incarnation) {
	delete(t.agents, id)
	if i, ok := slices.BinarySearch(t.order, id); ok {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

func (t *Tracker) setState(now time.Duration, a *Agent, to State) []Action {
	if a.State == to {
		return nil
	}
	from := a.State
	a.State = to
	t.markChanged(now, a)
	return []Action{Changed{Agent: *a, From: from, To: to}}
}

// stateOf returns the state of an agent whose heartbeat has arrived.
func stateOf(n Announcement) State {
	if n.Leaving {
		return Leaving
	}
	return Up
}

// sameExceptLoad reports whether two announcements differ at most in load, Joined
// and Known.
func sameExceptLoad(a, b *Announcement) bool {
	return a.Address == b.Address && a.Domain == b.Domain && a.Slots == b.Slots &&
		a.Leaving == b.Leaving && slices.Equal(a.Services, b.Services)
}

// LocalFault reports whether a local fault lasts: more than half of the agents are
// silent at once.
func (t *Tracker) LocalFault() bool { return t.localFault }

// Agent returns one tracked incarnation.
func (t *Tracker) Agent(id ident.Incarnation) (Agent, bool) {
	a, ok := t.agents[id]
	if !ok {
		return Agent{}, false
	}
	return *a, true
}

// Agents returns all tracked incarnations in ascending order.
func (t *Tracker) Agents() []Agent {
	all := make([]Agent, 0, len(t.order))
	for _, id := range t.order {
		all = append(all, *t.agents[id])
	}
	return all
}
