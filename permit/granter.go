package permit

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// View answers, for one document version, whether a backend server may start
// tasks.
type View interface {
	InService(domain ident.FailureDomain, agent ident.Incarnation, address string) bool
	// Ramp is the time over which a backend server of the domain takes up its
	// full work when it comes back into service.
	Ramp(domain ident.FailureDomain) time.Duration
}

// Mode says what a granter's permits rest on.
type Mode int

// The modes.
const (
	// Empty means that no state has been installed yet.
	Empty Mode = iota
	// Confirmed means that a read of the platform by this process is younger
	// than one lease.
	Confirmed
	// Outage means that the platform gives this process no confirmation, but
	// another entry does or more than half of the members prove that nothing
	// was committed.
	Outage
	// Island means that neither is at hand: nothing is granted.
	Island
)

// String names the mode for logs and reports.
func (m Mode) String() string {
	switch m {
	case Confirmed:
		return "confirmed"
	case Outage:
		return "outage"
	case Island:
		return "island"
	}
	return "empty"
}

// Heard is what a member's newest heartbeat says about changes.
type Heard struct {
	// Echo is a moment on the granter's own clock that certainly lies before
	// the heartbeat was written: the time of the reply that it echoes. The
	// time of receipt would not do, since a heartbeat can be under way for
	// long.
	Echo time.Duration
	// Known is the newest state that the member heard of.
	Known State
	// Pending is true while the member knows of an announced change whose
	// outcome is open.
	Pending bool
}

// Granter is the entry's side of permits. It grants on the strength of a
// confirmation that is younger than one lease, which is either a read of the
// platform or the combined word of more than half of the members.
//
// Invariant: the base state was committed, and base.ReadAt is a moment at which
// no later state was committed yet.
type Granter struct {
	// view and members describe base.State.
	view    View
	members []ident.Incarnation
	// isMember is the set of members.
	isMember map[ident.Incarnation]bool
	base     Confirmation
	// byRead is the start of the newest read of the platform by this process.
	// It tells Confirmed from Outage and decides nothing.
	byRead time.Duration
	read   bool
	// waiting is a newer confirmation than base whose view or members have
	// not been installed yet.
	waiting    Confirmation
	hasWaiting bool
	known      State
	// askedAt is when the members' word was last counted.
	askedAt time.Duration
	heard   map[ident.Incarnation]Heard
}

// NewGranter returns a granter that grants nothing yet.
func NewGranter() *Granter {
	return &Granter{heard: make(map[ident.Incarnation]Heard)}
}

// Known returns the newest state that the granter heard of.
func (g *Granter) Known() State { return g.known }

// Base returns the state that permits name and the confirmation behind them.
func (g *Granter) Base() Confirmation { return g.base }

// Learn raises the known state. It grants nothing, and from then on the members
// can't vouch for an older state.
func (g *Granter) Learn(s State) { g.known = g.known.Join(s) }

// Install sets the view and the current members of a committed state. Older
// states than the installed one are dropped and false is returned.
func (g *Granter) Install(s State, view View, members []ident.Incarnation) bool {
	if !s.Covers(g.base.State) || view == nil {
		return false
	}
	g.known = g.known.Join(s)
	if s != g.base.State || g.view == nil {
		// A state that has just been installed counts as unconfirmed: the
		// zero confirmation is older than any lease.
		g.base = Confirmation{State: s, ReadAt: -2 * Lease}
	}
	g.view = view
	g.members = slices.Clone(members)
	g.forget()
	if g.hasWaiting && g.waiting.State == s {
		g.hasWaiting = false
		g.Confirm(g.waiting)
	}
	return true
}

// forget drops the reports of those who are no longer members.
func (g *Granter) forget() {
	current := make(map[ident.Incarnation]Heard, len(g.members))
	g.isMember = make(map[ident.Incarnation]bool, len(g.members))
	for _, id := range g.members {
		g.isMember[id] = true
		if r, ok := g.heard[id]; ok {
			current[id] = r
		}
	}
	g.heard = current
}

// Confirm takes a confirmation whose ReadAt is on the granter's own clock: the
// start of its own read, or one translated by FromAnswer. A state whose view is
// not installed yet waits for Install; until then the older state goes on being
// granted for the rest of its lease and no longer.
func (g *Granter) Confirm(c Confirmation) {
	g.known = g.known.Join(c.State)
	if c.State != g.base.State || g.view == nil {
		g.wait(c)
		return
	}
	g.base.ReadAt = max(g.base.ReadAt, c.ReadAt)
}

// wait keeps a confirmation for the state that is installed next.
func (g *Granter) wait(c Confirmation) {
	if g.hasWaiting {
		c = newest(g.waiting, c)
	}
	g.waiting = c
	g.hasWaiting = true
}

// ConfirmRead takes the confirmation of the granter's own read of the platform
// that started at c.ReadAt.
func (g *Granter) ConfirmRead(c Confirmation) {
	g.Confirm(c)
	g.byRead = max(g.byRead, c.ReadAt)
	g.read = true
}

// Hear takes a heartbeat of a member. Heartbeats of others say nothing about
// majorities, but the state they know is learned as well.
func (g *Granter) Hear(id ident.Incarnation, h Heard) {
	g.known = g.known.Join(h.Known)
	old, ok := g.heard[id]
	if ok && old.Echo > h.Echo {
		return
	}
	if g.isMember[id] {
		g.heard[id] = h
	}
}

// Grant returns what a heartbeat reply says to the given agent. The last result
// is false if nothing may be granted; the fields are then news only.
func (g *Granter) Grant(now time.Duration, domain ident.FailureDomain, agent ident.Incarnation, address string) (Fields, bool) {
	if g.view == nil {
		return Fields{}, false
	}
	if g.base.Age(now) >= proofAge && now-g.askedAt >= askInterval {
		g.askedAt = now
		g.askMembers(now)
	}
	f := Fields{
		State:     g.base.State,
		InService: g.view.InService(domain, agent, address),
		Ramp:      g.view.Ramp(domain),
		Remaining: max(g.base.ReadAt+Lease-now, 0),
	}
	return f, f.Remaining > 0
}

// proofAge is the age of a confirmation from which on the members are asked. It
// is longer than the interval of platform reads, so that they are not asked
// while the platform answers.
const proofAge = Lease / 2

// askInterval bounds how often the members' word is counted, which costs time in
// proportion to their number, while every heartbeat asks for a grant.
const askInterval = 50 * time.Millisecond

// askMembers renews base.ReadAt from the word of more than half of the members.
//
// Why it is a proof: a change is acknowledged by at least half of the members of
// the state it replaces before it is committed. That half and more than half
// share a member. That member wrote its heartbeat after Echo and reported neither the
// intent nor a newer state, so it had not acknowledged the change yet, and the
// commit lies after Echo. docs/design/permits.md has the whole argument.
func (g *Granter) askMembers(now time.Duration) {
	if g.known.NewerThan(g.base.State) {
		return
	}
	at, ok := g.majorityEcho(now)
	if ok {
		g.base.ReadAt = max(g.base.ReadAt, at)
	}
}

// majorityEcho returns the latest moment such that more than half of the members
// wrote a heartbeat without an open change after it.
func (g *Granter) majorityEcho(now time.Duration) (time.Duration, bool) {
	need := len(g.members)/2 + 1
	echoes := make([]time.Duration, 0, len(g.members))
	for _, id := range g.members {
		h, ok := g.heard[id]
		if ok && !h.Pending && h.Echo <= now {
			echoes = append(echoes, h.Echo)
		}
	}
	if len(g.members) == 0 || len(echoes) < need {
		return 0, false
	}
	slices.Sort(echoes)
	return echoes[len(echoes)-need], true
}

// Mode says what permits rest on at now.
func (g *Granter) Mode(now time.Duration) Mode {
	switch {
	case g.view == nil:
		return Empty
	case g.read && now-g.byRead < Lease:
		return Confirmed
	case g.base.Fresh(now):
		return Outage
	}
	return Island
}
