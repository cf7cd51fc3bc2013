// Package entry is the process between callers and agents. It checks, admits and
// routes submissions and relays whole answers. It holds nothing that must last.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/mailbox"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/routing"
	"foxtaildock.example/dock/telemetry"
)

// Sizes and intervals of the routing duty.
const (
	// boxSize is the number of events that may wait for the duty.
	boxSize = 8192
	// busyTick is how often a core with work lets time pass, idleTick how often
	// one without.
	busyTick = 10 * time.Millisecond
	idleTick = 250 * time.Millisecond
)

// Gatekeeper decides who may ask and how much.
type Gatekeeper interface {
	// Authorize reports whether the token belongs to the team.
	Authorize(team ident.Team, token string) bool
	// Admit takes a job of the given number of tasks into account. If it
	// returns false the outcome says why and when to come back; otherwise the
	// caller calls done once the job has its outcome.
	Admit(ctx context.Context, spec *job.Spec) (done func(), refusal job.Outcome, ok bool)
}

// Config is what an entry needs to know.
type Config struct {
	Self       ident.Incarnation
	Domain     ident.FailureDomain
	Routing    routing.Config
	Limits     Limits
	Gatekeeper Gatekeeper
	Log        *telemetry.Logger
	// TokenRefused notes a request without the right token for the audit trail;
	// it may be nil.
	TokenRefused func(r *http.Request, status int)
	// Record counts the answer to one submission; it may be nil.
	Record func(ctx context.Context, team ident.Team, o *job.Outcome, took time.Duration)
}

// Limits bounds the memory of an entry.
type Limits struct {
	// JobsInFlight is the largest number of requests without an answer.
	JobsInFlight int64
	// BytesInFlight is the largest sum of request bodies held at one time.
	BytesInFlight int64
	// BodyTimeout is how long a caller may take to send its request.
	BodyTimeout time.Duration
}

// Entry is one incarnation of the process. It lives from New to the end of Run.
type Entry struct {
	cfg      Config
	origin   time.Time
	log      *telemetry.Logger
	core     *routing.Routing
	box      *mailbox.Box[routing.Event]
	calls    *caller
	lastID   atomic.Uint64
	inFlight atomic.Int64
	bytes    atomic.Int64
	unready  atomic.Bool
	stopping atomic.Bool
	placed   atomic.Bool

	mu      sync.Mutex
	waiting map[ident.RequestID]chan routing.Action
	stats   routing.Stats
}

// New returns an entry that does nothing until Run.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg:     cfg,
		origin:  time.Now(),
		log:     cfg.Log,
		core:    routing.New(cfg.Routing),
		box:     mailbox.New[routing.Event](boxSize),
		waiting: make(map[ident.RequestID]chan routing.Action),
	}
	e.calls = newCaller(e)
	return e
}

// Now returns the monotonic time since the entry's origin.
func (e *Entry) Now() time.Duration { return time.Since(e.origin) }

// Run runs the routing duty until the context ends.
func (e *Entry) Run(ctx context.Context) {
	e.box.RunAdaptive(ctx, e.interval, e.step, func() { e.step(routing.Tick{}) })
	e.calls.wait()
}

func (e *Entry) interval() time.Duration {
	if e.core.InFlight() > 0 {
		return busyTick
	}
	return idleTick
}

// SetPlacement hands over a newer placement.
func (e *Entry) SetPlacement(p *placement.Placement) {
	e.placed.Store(len(p.Current()) > 0)
	e.box.Put(routing.SetPlacement{Placement: p})
}

// Unready makes the entry tell the balancer that it takes no more work.
func (e *Entry) Unready() { e.unready.Store(true) }

// Stop makes the entry turn new submissions away; those in flight go on.
func (e *Entry) Stop() { e.stopping.Store(true) }

// InFlight returns the number of requests without an answer.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Ready returns nil if the entry takes work, else the reason why not.
func (e *Entry) Ready() error {
	switch {
	case e.unready.Load():
		return errStopping
	case !e.placed.Load():
		return errNoPlacement
	}
	return nil
}

func (e *Entry) step(ev routing.Event) {
	for _, action := range e.core.Step(e.Now(), ev) {
		e.perform(action)
	}
	e.mu.Lock()
	e.stats = e.core.Stats()
	e.mu.Unlock()
}

func (e *Entry) perform(action routing.Action) {
	switch action := action.(type) {
	case routing.Call:
		e.calls.call(action)
	case routing.Reply:
		e.answer(action.ID, action)
	case routing.ReplyState:
		e.answer(action.ID, action)
	}
}

func (e *Entry) answer(id ident.RequestID, action routing.Action) {
	e.calls.end(id)
	e.mu.Lock()
	ch := e.waiting[id]
	delete(e.waiting, id)
	e.mu.Unlock()
	if ch != nil {
		ch <- action
	}
}

// route sends a request to the routing duty and waits for its answer.
func (e *Entry) route(ctx context.Context, r routing.Request) (routing.Action, error) {
	r.ID = ident.RequestID(e.lastID.Add(1))
	ch := make(chan routing.Action, 1)
	e.mu.Lock()
	e.waiting[r.ID] = ch
	e.mu.Unlock()
	defer e.forget(r.ID)
	if !e.box.Offer(r) {
		return nil, errBusy
	}
	select {
	case action := <-ch:
		return action, nil
	case <-ctx.Done():
		e.box.Offer(routing.CallerGone{ID: r.ID})
		e.calls.end(r.ID)
		return nil, ctx.Err()
	}
}

func (e *Entry) forget(id ident.RequestID) {
	e.mu.Lock()
	delete(e.waiting, id)
	e.mu.Unlock()
}

// Handler serves the callers' interface.
func (e *Entry) Handler() http.Handler { return newCallers(e) }
