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

// Admitter is the Limiter that runs the admission core. The core runs in a
// goroutine of its own behind a bounded mailbox; a job that arrives while the
// mailbox is full is refused.
type Admitter struct {
	origin time.Time
	core   *admission.Admission
	box    *mailbox.Box[admission.Event]
	lastID atomic.Uint64
	demand atomic.Pointer[[]admission.Demand]

	mu      sync.Mutex
	waiting map[ident.RequestID]chan admission.Action

	// The fields below are used only by the goroutine that calls SetAgents and
	// SetDemand.
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
		box:     mailbox.New[admission.Event](mailboxSize),
		waiting: make(map[ident.RequestID]chan admission.Action),
		agents:  make(map[ident.Incarnation]membership.Agent),
		peers:   make(map[ident.Incarnation]bool),
	}
}

// Run runs the admission core until the context ends.
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

// step passes an event to the core and performs the resulting actions. The slice
// of actions is valid only until the core's next step, so an admitted job whose
// caller has hung up is reported as done only after all actions are performed.
func (a *Admitter) step(e admission.Event) {
	events := []admission.Event{e}
	for len(events) > 0 {
		var done []admission.Event
		for _, action := range a.core.Step(a.now(), events[0]) {
			if id, callerGone := a.perform(action); callerGone {
				done = append(done, admission.Done{ID: id})
			}
		}
		events = append(events[1:], done...)
	}
}

// perform passes an admission or refusal to the request that waits for it. If the
// action admits a job whose caller has hung up, it returns the request's id and
// true.
func (a *Admitter) perform(action admission.Action) (ident.RequestID, bool) {
	switch action := action.(type) {
	case admission.Admit:
		return action.ID, !a.answer(action.ID, action)
	case admission.Refuse:
		a.answer(action.ID, action)
	}
	return 0, false
}

// answer hands an action to the request that waits for it. It returns false if no
// request waits any more.
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
		a.stopWaiting(id)
		return nil, job.Refuse(job.ReasonOverloaded, busyRetry, errBusy.Error()), false
	}
	select {
	case action := <-ch:
		return a.admissionResult(spec, action)
	case <-ctx.Done():
	}
	if a.stopWaiting(id) {
		a.box.Put(admission.CallerGone{ID: id})
		return nil, job.Refuse(job.ReasonCancelled, 0, "the caller hung up before the job was admitted"), false
	}
	return a.admissionResult(spec, <-ch)
}

// stopWaiting removes a request from those that wait for an answer. It returns
// false if the answer has already been sent.
func (a *Admitter) stopWaiting(id ident.RequestID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, waits := a.waiting[id]
	delete(a.waiting, id)
	return waits
}

func (a *Admitter) admissionResult(spec *job.Spec, action admission.Action) (func(), job.Outcome, bool) {
	switch action := action.(type) {
	case admission.Admit:
		spec.Handicap = action.Handicap
		return func() { a.box.Put(admission.Done{ID: action.ID}) }, job.Outcome{}, true
	case admission.Refuse:
		return nil, job.Refuse(action.Reason, action.RetryAfter, action.Detail), false
	}
	return nil, job.Refuse(job.ReasonOverloaded, busyRetry, "no answer from admission"), false
}

// SetView replaces the limits of all teams with those of a newer document.
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

// SetAgents updates the state and load of the given agents.
func (a *Admitter) SetAgents(agents []membership.Agent) {
	for _, agent := range agents {
		if agent.State == membership.Gone {
			delete(a.agents, agent.Incarnation)
			continue
		}
		a.agents[agent.Incarnation] = agent
	}
	a.sendCapacity()
}

// SetDemand replaces the demand at another entry. A nil demand removes the entry,
// which no longer answers.
func (a *Admitter) SetDemand(entry ident.Incarnation, demand []admission.Demand) {
	if demand == nil {
		delete(a.peers, entry)
		a.box.Put(admission.PeerGone{Entry: entry})
		a.sendCapacity()
		return
	}
	isNew := !a.peers[entry]
	a.peers[entry] = true
	a.box.Put(admission.PeerDemand{Entry: entry, Demand: demand})
	if isNew {
		a.sendCapacity()
	}
}

// Demand returns the recent demand at this entry, which the other entries need
// for their share of each limit. It is nil until the first tick.
func (a *Admitter) Demand() []admission.Demand {
	if d := a.demand.Load(); d != nil {
		return *d
	}
	return nil
}

// sendCapacity tells the core the load of all agents, the slots of those in
// service, and the median of their paces.
func (a *Admitter) sendCapacity() {
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
