package permit

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// View is one version of the operators' document as far as permits need it.
type View interface {
	// InService reports whether the backend server beside the given agent may
	// start tasks.
	InService(domain ident.FailureDomain, agent ident.Incarnation, address string) bool
	// Ramp returns the time over which the usable slots of a backend server in
	// the domain grow to their full number when it comes back into service.
	Ramp(domain ident.FailureDomain) time.Duration
}

// Mode is the basis on which a granter grants permits.
type Mode int

// The modes of a granter.
const (
	// Empty means that no state has been installed yet. Nothing is granted.
	Empty Mode = iota
	// Confirmed means that this process read the platform less than one lease
	// ago.
	Confirmed
	// Outage means that this process has no recent read of the platform, but
	// that another entry gave a confirmation, or the heartbeats of more than
	// half of the members prove that nothing was committed.
	Outage
	// Isolated means that there is no valid confirmation at all, as in an entry
	// that is cut off from the platform and most members. Nothing is granted.
	Isolated
)

// String returns the name of the mode for logs and reports.
func (m Mode) String() string {
	switch m {
	case Confirmed:
		return "confirmed"
	case Outage:
		return "outage"
	case Isolated:
		return "island"
	}
	return "empty"
}

// MemberReport is what the newest heartbeat of a member says about changes of the
// state.
type MemberReport struct {
	// Echo is a moment on the granter's own clock before the heartbeat was
	// written: the time of the granter's reply that the heartbeat echoes. The
	// time of receipt can't be used, since a heartbeat may be delayed for any
	// time.
	Echo time.Duration
	// Known is the newest state that the member has learned of.
	Known State
	// Pending is true while the member knows of an announced change whose
	// outcome it does not know.
	Pending bool
}

// Granter grants permits in an entry. It needs a confirmation that is younger than
// one lease, which is either a read of the platform or the heartbeats of more than
// half of the members.
//
// Invariant: the base state was committed, and at base.ReadAt no later state had
// been committed yet.
type Granter struct {
	// view and members describe base.State.
	view    View
	members []ident.Incarnation
	// isMember is the set of members.
	isMember map[ident.Incarnation]bool
	base     Confirmation
	// lastOwnRead is the start of the newest read of the platform by this process,
	// if hasOwnRead is true. Only Mode uses it, to tell Confirmed from Outage.
	lastOwnRead time.Duration
	hasOwnRead  bool
	// uninstalled is a confirmation of a state whose view and members have not been
	// installed yet.
	uninstalled    Confirmation
	hasUninstalled bool
	known          State
	// evaluatedAt is when the members' heartbeats were last evaluated.
	evaluatedAt time.Duration
	// reports holds the newest report of each member.
	reports map[ident.Incarnation]MemberReport
}

// NewGranter returns a granter that grants nothing until a state is installed and
// confirmed.
func NewGranter() *Granter {
	return &Granter{reports: make(map[ident.Incarnation]MemberReport)}
}

// Known returns the newest state that the granter has learned of.
func (g *Granter) Known() State { return g.known }

// Base returns the state that permits name, with the newest confirmation of it.
func (g *Granter) Base() Confirmation { return g.base }

// RaiseKnown raises the known state. It grants nothing. From then on the heartbeats
// of members no longer confirm an older state.
func (g *Granter) RaiseKnown(s State) { g.known = g.known.Join(s) }

// Install sets the view and the current members of a committed state. It changes
// nothing and returns false if the state is older than the installed one or view is
// nil.
func (g *Granter) Install(s State, view View, members []ident.Incarnation) bool {
	if !s.Covers(g.base.State) || view == nil {
		return false
	}
	g.known = g.known.Join(s)
	if s != g.base.State || g.view == nil {
		// A state that has just been installed is unconfirmed: this ReadAt is
		// older than any lease.
		g.base = Confirmation{State: s, ReadAt: -2 * Lease}
	}
	g.view = view
	g.members = slices.Clone(members)
	g.updateMembers()
	if g.hasUninstalled && g.uninstalled.State == s {
		g.hasUninstalled = false
		g.Confirm(g.uninstalled)
	}
	return true
}

// updateMembers rebuilds the set of members and drops the reports of former
// members.
func (g *Granter) updateMembers() {
	current := make(map[ident.Incarnation]MemberReport, len(g.members))
	g.isMember = make(map[ident.Incarnation]bool, len(g.members))
	for _, id := range g.members {
		g.isMember[id] = true
		if r, ok := g.reports[id]; ok {
			current[id] = r
		}
	}
	g.reports = current
}

// Confirm processes a confirmation whose ReadAt is on the granter's own clock: the
// start of its own read, or a time translated by ConfirmationFromAnswer. A
// confirmation of a state that is not installed yet is kept for Install; until then
// permits for the older state are granted for the rest of its lease and no longer.
func (g *Granter) Confirm(c Confirmation) {
	g.known = g.known.Join(c.State)
	if c.State != g.base.State || g.view == nil {
		g.keepUninstalled(c)
		return
	}
	g.base.ReadAt = max(g.base.ReadAt, c.ReadAt)
}

// keepUninstalled keeps a confirmation of a state that is not installed yet.
func (g *Granter) keepUninstalled(c Confirmation) {
	if g.hasUninstalled {
		c = newest(g.uninstalled, c)
	}
	g.uninstalled = c
	g.hasUninstalled = true
}

// ConfirmRead processes the confirmation by the granter's own read of the
// platform, which started at c.ReadAt.
func (g *Granter) ConfirmRead(c Confirmation) {
	g.Confirm(c)
	g.lastOwnRead = max(g.lastOwnRead, c.ReadAt)
	g.hasOwnRead = true
}

// ObserveHeartbeat processes a heartbeat. Heartbeats of agents that are not members
// don't count towards a majority, but their known state is learned as well.
func (g *Granter) ObserveHeartbeat(id ident.Incarnation, r MemberReport) {
	g.known = g.known.Join(r.Known)
	old, ok := g.reports[id]
	if ok && old.Echo > r.Echo {
		return
	}
	if g.isMember[id] {
		g.reports[id] = r
	}
}

// Grant returns the permit for a heartbeat reply to the given agent. The last
// result is false if nothing may be granted; the reply then only tells the agent of
// the state.
func (g *Granter) Grant(now time.Duration, domain ident.FailureDomain, agent ident.Incarnation, address string) (Grant, bool) {
	if g.view == nil {
		return Grant{}, false
	}
	if g.base.Age(now) >= evaluationAge && now-g.evaluatedAt >= evaluationInterval {
		g.evaluatedAt = now
		g.renewFromMembers(now)
	}
	grant := Grant{
		State:     g.base.State,
		InService: g.view.InService(domain, agent, address),
		Ramp:      g.view.Ramp(domain),
		Remaining: max(g.base.ReadAt+Lease-now, 0),
	}
	return grant, grant.Remaining > 0
}

// evaluationAge is the age of the confirmation from which on the members'
// heartbeats are evaluated. It is longer than the interval of platform reads, so
// that they are not evaluated while the platform answers.
const evaluationAge = Lease / 2

// evaluationInterval is the minimum time between two evaluations of the members'
// heartbeats. An evaluation takes time in proportion to the number of members, and
// every heartbeat asks for a grant.
const evaluationInterval = 50 * time.Millisecond

// renewFromMembers renews base.ReadAt from the heartbeats of more than half of the
// members.
//
// This is correct because a change is committed only after at least half of the
// members of the state it replaces have acknowledged its announcement. Any half of
// the members and any majority have a member in common. That member wrote its
// heartbeat after Echo and reported neither the announced change nor a newer
// state, so it had not acknowledged the change yet, and the commit is later than
// Echo. docs/design/permits.md has the full proof.
func (g *Granter) renewFromMembers(now time.Duration) {
	if g.known.NewerThan(g.base.State) {
		return
	}
	at, ok := g.majorityEcho(now)
	if ok {
		g.base.ReadAt = max(g.base.ReadAt, at)
	}
}

// majorityEcho returns the latest moment after which more than half of the members
// wrote a heartbeat that reports no pending change. It returns false if there is
// none.
func (g *Granter) majorityEcho(now time.Duration) (time.Duration, bool) {
	need := len(g.members)/2 + 1
	echoes := make([]time.Duration, 0, len(g.members))
	for _, id := range g.members {
		r, ok := g.reports[id]
		if ok && !r.Pending && r.Echo <= now {
			echoes = append(echoes, r.Echo)
		}
	}
	if len(g.members) == 0 || len(echoes) < need {
		return 0, false
	}
	slices.Sort(echoes)
	return echoes[len(echoes)-need], true
}

// Mode returns the basis of permits at now.
func (g *Granter) Mode(now time.Duration) Mode {
	switch {
	case g.view == nil:
		return Empty
	case g.hasOwnRead && now-g.lastOwnRead < Lease:
		return Confirmed
	case g.base.Fresh(now):
		return Outage
	}
	return Isolated
}
