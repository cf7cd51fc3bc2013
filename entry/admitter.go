package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/admission"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/mailbox"
	"foxtaildock.example/dock/membership"
)

// Admitter is the Limiter around the admission core. It has a goroutine of its
// own behind a bounded channel; a full channel is a refusal.
type Admitter struct {
	origin time.Time
	core   *admission.Admission
	box    *mailbox.Box[admission.Event]
	lastID atomic.Uint64
	demand atomic.Pointer[[]admission.Demand]

	mu      sync.Mutex
	waiting map[ident.RequestID]chan admission.Action

	// What follows is used by the caller of SetAgents and SetDemand only.
	agents map[ident.Incarnation]membership.Agent
	peers  map[ident.Incarnation]bool
}

var _ Limiter = (*Admitter)(nil)

// NewAdmitter returns an admitter that does nothing until Run.
func NewAdmitter() *Admitter {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Admitter{
		origin:  time.Now(),
		core:    admission.New(admission.Config{Random: random}),
		box:     mailbox.New[admission.Event](boxSize),
		waiting: make(map[ident.RequestID]chan admission.Action),
		agents:  make(map[ident.Incarnation]membership.Agent),
		peers:   make(map[ident.Incarnation]bool),
	}
}

// Run runs the admission duty until the context ends.
func (a *Admitter) Run(ctx context.Context) {
	a.box.RunAdaptive(ctx, a.interval, a.step, a.tick)
}

func (a *Admitter) interval() time.Duration {
	if a.core.Load().Queued > 0 {
		return busyTick
	}
	return idleTick
}

func (a *Admitter) now() time.Duration { return time.Since(a.origin) }

func (a *Admitter) tick() {
	a.step(admission.Tick{})
	demand := a.core.Demand(a.now())
	a.demand.Store(&demand)
}

// step performs what the core says. The core's answer is valid only until its next
// step, so the room of callers that have hung up is given back after all of it.
func (a *Admitter) step(e admission.Event) {
	events := []admission.Event{e}
	for len(events) > 0 {
		var done []admission.Event
		for _, action := range a.core.Step(a.now(), events[0]) {
			if id, left := a.perform(action); left {
				done = append(done, admission.Done{ID: id})
			}
		}
		events = append(events[1:], done...)
	}
}

// perform passes an answer on. It returns the id of an admitted job whose caller
// has hung up.
func (a *Admitter) perform(action admission.Action) (ident.RequestID, bool) {
	switch action := action.(type) {
	case admission.Admit:
		return action.ID, !a.answer(action.ID, action)
	case admission.Refuse:
		a.answer(action.ID, action)
	}
	return 0, false
}

// answer hands an action to the request that waits for it, and reports whether
// it still does.
func (a *Admitter) answer(id ident.RequestID, action admission.Action) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	ch, ok := a.waiting[id]
	if ok {
		ch <- action
		delete(a.waiting, id)
	}
	return ok
}

// Admit implements Limiter.
func (a *Admitter) Admit(ctx context.Context, spec *job.Spec) (func(), job.Outcome, bool) {
	id := ident.RequestID(a.lastID.Add(1))
	ch := make(chan admission.Action, 1)
	a.mu.Lock()
	a.waiting[id] = ch
	a.mu.Unlock()
	submit := admission.Submit{ID: id, Team: spec.Key.Team, Tasks: len(spec.Tasks), Deadline: spec.Deadline}
	if !a.box.Offer(submit) {
		a.hangUp(id)
		return nil, job.Refuse(job.ReasonOverloaded, busyRetry, errBusy.Error()), false
	}
	select {
	case action := <-ch:
		return a.settle(spec, action)
	case <-ctx.Done():
	}
	if a.hangUp(id) {
		a.box.Put(admission.CallerGone{ID: id})
		return nil, job.Refuse(job.ReasonCancelled, 0, "the caller hung up before the job was admitted"), false
	}
	return a.settle(spec, <-ch)
}

// hangUp stops waiting, and reports whether no answer has come before.
func (a *Admitter) hangUp(id ident.RequestID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, waits := a.waiting[id]
	delete(a.waiting, id)
	return waits
}

func (a *Admitter) settle(spec *job.Spec, action admission.Action) (func(), job.Outcome, bool) {
	switch action := action.(type) {
	case admission.Admit:
		spec.Handicap = action.Handicap
		return func() { a.box.Put(admission.Done{ID: action.ID}) }, job.Outcome{}, true
	case admission.Refuse:
		return nil, job.Refuse(action.Reason, action.RetryAfter, action.Detail), false
	}
	return nil, job.Refuse(job.ReasonOverloaded, busyRetry, "no answer from admission"), false
}

// SetView hands over a newer document.
func (a *Admitter) SetView(v *document.View) {
	var limits []admission.Limits
	for _, t := range v.Teams() {
		l := v.Limits(t)
		limits = append(limits, admission.Limits{
			Team:            t,
			StartsPerSecond: l.StartsPerSecond,
			Burst:           l.Burst,
			Running:         l.Running,
			Queued:          l.Queued,
			Weight:          l.Weight,
		})
	}
	a.box.Put(admission.SetLimits{Limits: limits})
}

// SetAgents updates the state and load of some agents.
func (a *Admitter) SetAgents(agents []membership.Agent) {
	for _, agent := range agents {
		if agent.State == membership.Gone {
			delete(a.agents, agent.Incarnation)
			continue
		}
		a.agents[agent.Incarnation] = agent
	}
	a.tellCapacity()
}

// SetDemand hands over the demand at another entry, or nil once it is silent.
func (a *Admitter) SetDemand(entry ident.Incarnation, demand []admission.Demand) {
	if demand == nil {
		delete(a.peers, entry)
		a.box.Put(admission.PeerGone{Entry: entry})
		a.tellCapacity()
		return
	}
	isNew := !a.peers[entry]
	a.peers[entry] = true
	a.box.Put(admission.PeerDemand{Entry: entry, Demand: demand})
	if isNew {
		a.tellCapacity()
	}
}

// Demand returns what the other entries are to be told.
func (a *Admitter) Demand() []admission.Demand {
	if d := a.demand.Load(); d != nil {
		return *d
	}
	return nil
}

func (a *Admitter) tellCapacity() {
	c := admission.SetCapacity{Entries: 1 + len(a.peers)}
	var paces []time.Duration
	for _, agent := range a.agents {
		c.Waiting += agent.Queued + agent.Waiting
		if agent.State != membership.Up || agent.OutOfService {
			continue
		}
		c.Slots += agent.Slots
		c.Free += agent.Free
		if agent.Pace > 0 {
			paces = append(paces, agent.Pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		c.Pace = paces[len(paces)/2]
	}
	a.box.Put(c)
}
