// Package entry is the entry process of the older path, in which an agent, the
// home of a job, keeps the job's record. The entry checks and admits submissions,
// routes them to their homes and relays complete answers. It also serves the
// operators' interface. It keeps no state that must survive a restart.
//
// Package routing chooses the home of a job, package admission decides which jobs
// are admitted, and this package runs both. Package dispatcher is the entry
// process of the newer path, in which jobs are answered at their end.
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

// Mailbox size and tick intervals of the routing and admission cores.
const (
	// mailboxSize is the number of events that may wait for a core.
	mailboxSize = 8192
	// busyTick is the tick interval of a core that has requests or jobs waiting,
	// idleTick that of one that has none.
	busyTick = 10 * time.Millisecond
	idleTick = 250 * time.Millisecond
)

// AccessPolicy authenticates callers and admits their jobs.
type AccessPolicy interface {
	// Authorize reports whether the token is a valid token of the team.
	Authorize(team ident.Team, token string) bool
	// Admit admits a job and counts it against the limits of its team, waiting
	// until the limits allow it. If ok is false, refusal says why and when to
	// retry; otherwise done must be called once the job has its outcome.
	Admit(ctx context.Context, spec *job.Spec) (done func(), refusal job.Outcome, ok bool)
}

// Config configures an Entry.
type Config struct {
	Self         ident.Incarnation
	Domain       ident.FailureDomain
	Routing      routing.Config
	Limits       Limits
	AccessPolicy AccessPolicy
	Log          *telemetry.Logger
	// TokenRefused is called for each request without a valid token of the
	// team, with the HTTP status of the answer (401 or 403). It may be nil.
	TokenRefused func(r *http.Request, status int)
	// RecordOutcome is called with the outcome of each submission that was
	// well-formed and authorized, and with the time that it took. It may be nil.
	RecordOutcome func(ctx context.Context, team ident.Team, o *job.Outcome, took time.Duration)
}

// Limits bounds the memory that requests take up in an entry.
type Limits struct {
	// JobsInFlight is the maximum number of requests without an answer.
	JobsInFlight int64
	// BytesInFlight is the maximum total size of the request bodies held at one
	// time.
	BytesInFlight int64
	// BodyTimeout is how long a caller may take to send the body of a request;
	// 0 means no limit.
	BodyTimeout time.Duration
}

// Entry is one incarnation of the process. It lives from New to the end of Run.
type Entry struct {
	cfg          Config
	origin       time.Time
	log          *telemetry.Logger
	core         *routing.Routing
	box          *mailbox.Box[routing.Event]
	calls        *homeClient
	lastID       atomic.Uint64
	inFlight     atomic.Int64
	bytes        atomic.Int64
	unready      atomic.Bool
	stopping     atomic.Bool
	hasPlacement atomic.Bool

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
		box:     mailbox.New[routing.Event](mailboxSize),
		waiting: make(map[ident.RequestID]chan routing.Action),
	}
	e.calls = newHomeClient(e)
	return e
}

// Now returns the monotonic time since the entry's origin.
func (e *Entry) Now() time.Duration { return time.Since(e.origin) }

// Run runs the routing core until the context ends, and waits for open calls.
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

// SetPlacement passes a newer placement to the routing core.
func (e *Entry) SetPlacement(p *placement.Placement) {
	e.hasPlacement.Store(len(p.Current()) > 0)
	e.box.Put(routing.SetPlacement{Placement: p})
}

// MarkUnready makes Ready return an error, so that the load balancer sends no more
// requests. Requests that still arrive are served.
func (e *Entry) MarkUnready() { e.unready.Store(true) }

// StopAccepting makes the entry refuse new requests; those in flight go on.
func (e *Entry) StopAccepting() { e.stopping.Store(true) }

// InFlight returns the number of requests without an answer.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Ready returns nil if the entry accepts work, otherwise an error that says why
// not.
func (e *Entry) Ready() error {
	switch {
	case e.unready.Load():
		return errStopping
	case !e.hasPlacement.Load():
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
	e.calls.cancelCall(id)
	e.mu.Lock()
	ch := e.waiting[id]
	delete(e.waiting, id)
	e.mu.Unlock()
	if ch != nil {
		ch <- action
	}
}

// route sends a request to the routing core and waits for its answer. The error
// is errBusy if the mailbox is full, or that of the context.
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
		e.calls.cancelCall(r.ID)
		return nil, ctx.Err()
	}
}

func (e *Entry) forget(id ident.RequestID) {
	e.mu.Lock()
	delete(e.waiting, id)
	e.mu.Unlock()
}

// Handler returns the handler of the callers' interface.
func (e *Entry) Handler() http.Handler { return newCallersHandler(e) }
