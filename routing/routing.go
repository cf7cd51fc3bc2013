// Package routing is the decision core (a state machine without I/O, clock or
// goroutines) with which an entry routes requests for jobs whose record an agent keeps.
// It finds the home of each job, which is the agent that keeps its record, calls it,
// repeats calls that got no answer, follows redirects, and decides what the caller is
// told when no home answers. Package admission runs before it; package entry is the
// process around both.
//
// Invariants: A request has at most one outstanding call. A call goes to another
// incarnation only after a definite answer from the previous one, or if nothing was
// sent to the previous one. The core replies "refused" only to a first attempt of which
// every call that may have arrived was answered with a promise not to start the job.
package routing

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
)

// Config holds the time limits of the core.
type Config struct {
	// RetryPause is the time between a failed call and the next one.
	RetryPause time.Duration
	// UnreachableTimeout is how long a home to which no call can be sent is retried
	// before the request is given up.
	UnreachableTimeout time.Duration
	// ListedHomeTimeout is how long an incarnation that may have the job, and that the
	// placement lists, is retried before the request is given up.
	ListedHomeTimeout time.Duration
	// UnlistedHomeTimeout is the same for one that the placement no longer lists.
	UnlistedHomeTimeout time.Duration
	// RetryAfter is the time after which callers are told to retry.
	RetryAfter time.Duration
	// AnswerGrace is how long after the deadline of a job its home may still
	// report the outcome. Without it the entry, which knows less than the home,
	// would answer first.
	AnswerGrace time.Duration
}

// DefaultConfig returns the limits that a daemon uses by default.
func DefaultConfig() Config {
	return Config{
		RetryPause:          50 * time.Millisecond,
		UnreachableTimeout:  5 * time.Second,
		ListedHomeTimeout:   20 * time.Second,
		UnlistedHomeTimeout: time.Second,
		RetryAfter:          time.Second,
		AnswerGrace:         200 * time.Millisecond,
	}
}

// Stats holds the counters of the core, for metrics.
type Stats struct {
	Requests    uint64
	Calls       uint64
	Resends     uint64 // retries
	Redirects   uint64
	LateAnswers uint64 // answers to calls that are no longer outstanding
}

// pendingRequest is a request that has not been answered.
type pendingRequest struct {
	req            Request
	jobDeadline    time.Duration // end of the job's time
	replyDeadline  time.Duration // when the request ends without an answer
	target         placement.Member
	calls          int // calls made to all targets
	callsToTarget  int // calls made to the present target
	awaitingAnswer bool
	retryAt        time.Duration
	failingSince   time.Duration // when the first retry was scheduled; -1 if none was
	// redirectedBy holds the incarnations that have redirected the request. It is
	// cleared when a redirect leads back to one of them.
	redirectedBy []ident.Incarnation
	// fresh is true while no incarnation but the present target can have the job.
	fresh bool
	// maybeSent is true if a call may have reached the present target.
	maybeSent bool
	// lookedUpAt holds the homes that answered a look-up without a record.
	lookedUpAt []ident.Incarnation
}

// Routing is the decision core. The zero value is not usable; call New. It is not safe
// for concurrent use.
type Routing struct {
	cfg       Config
	placement *placement.Placement
	pending   map[ident.RequestID]*pendingRequest
	order     []ident.RequestID // by arrival; answered requests are removed at the next tick
	stats     Stats
	out       []Action
}

// New returns a core without a placement.
func New(cfg Config) *Routing {
	return &Routing{cfg: cfg, pending: make(map[ident.RequestID]*pendingRequest)}
}

// Stats returns the counters.
func (r *Routing) Stats() Stats { return r.stats }

// InFlight returns the number of requests without an answer.
func (r *Routing) InFlight() int { return len(r.pending) }

// Step processes one event at the monotonic time now and returns the actions to
// perform. The returned slice is valid until the next call.
func (r *Routing) Step(now time.Duration, e Event) []Action {
	r.out = r.out[:0]
	switch e := e.(type) {
	case Request:
		r.request(now, e)
	case Answered:
		r.answered(e)
	case JobState:
		r.jobState(e)
	case Redirected:
		r.redirected(now, e)
	case CallFailed:
		r.callFailed(now, e)
	case CallerGone:
		delete(r.pending, e.ID)
	case SetPlacement:
		if r.placement == nil || e.Placement.Epoch > r.placement.Epoch {
			r.placement = e.Placement
		}
	case Tick:
		r.tick(now)
	}
	return r.out
}

func (r *Routing) request(now time.Duration, e Request) {
	r.stats.Requests++
	p := &pendingRequest{req: e, jobDeadline: now + e.Deadline, replyDeadline: now + e.Deadline + r.cfg.AnswerGrace, fresh: e.First && e.Op == OpSubmit, failingSince: -1}
	r.pending[e.ID] = p
	r.order = append(r.order, e.ID)
	r.callHome(now, p)
}

// callHome calls the home of the request's key, or schedules a retry if there is none.
func (r *Routing) callHome(now time.Duration, p *pendingRequest) {
	if m, ok := r.home(p.req.Key); ok {
		r.call(p, m)
		return
	}
	r.scheduleRetry(now, p)
}

func (r *Routing) home(key ident.JobKey) (placement.Member, bool) {
	if r.placement == nil {
		return placement.Member{}, false
	}
	return r.placement.Home(key)
}

func (r *Routing) call(p *pendingRequest, to placement.Member) {
	if to.Incarnation != p.target.Incarnation {
		p.target = to
		p.callsToTarget = 0
		p.maybeSent = false
	}
	p.calls++
	p.callsToTarget++
	p.awaitingAnswer = true
	r.stats.Calls++
	r.out = append(r.out, Call{ID: p.req.ID, Call: p.calls, Op: p.req.Op, To: p.target, Key: p.req.Key, Spec: p.req.Spec, Fresh: p.fresh,
		FirstAttempt: p.req.FirstAttempt, Deadline: p.jobDeadline, ReplyDeadline: p.replyDeadline})
}

// scheduleRetry marks the request as failing and schedules the next call.
func (r *Routing) scheduleRetry(now time.Duration, p *pendingRequest) {
	p.awaitingAnswer = false
	p.retryAt = now + r.cfg.RetryPause
	if p.failingSince < 0 {
		p.failingSince = now
	}
}

// matchAnswer returns the request whose outstanding call an answer belongs to, or nil
// if the answer is late.
func (r *Routing) matchAnswer(id ident.RequestID, call int) *pendingRequest {
	p := r.pending[id]
	if p == nil || !p.awaitingAnswer || p.calls != call {
		r.stats.LateAnswers++
		return nil
	}
	return p
}

func (r *Routing) answered(e Answered) {
	p := r.matchAnswer(e.ID, e.Call)
	if p == nil {
		return
	}
	if r.askFormerHome(p, e.Outcome) {
		return
	}
	r.finish(p, r.checkRefusal(p, e.Outcome))
}

// askFormerHome calls the next former home if a look-up found no record, and reports
// whether it did.
func (r *Routing) askFormerHome(p *pendingRequest, o job.Outcome) bool {
	if p.req.Op == OpSubmit || o.Reason != job.ReasonUnknownKey || r.placement == nil {
		return false
	}
	p.lookedUpAt = append(p.lookedUpAt, p.target.Incarnation)
	for _, m := range r.placement.PossibleHomes(p.req.Key, 0, r.placement.Epoch) {
		if !slices.Contains(p.lookedUpAt, m.Incarnation) {
			r.call(p, m)
			return true
		}
	}
	return false
}

// checkRefusal turns a refusal into a failure if an earlier call may still start the
// job: a home's refusal covers only the calls that have reached it.
func (r *Routing) checkRefusal(p *pendingRequest, o job.Outcome) job.Outcome {
	if o.Kind == job.Refused && p.callsToTarget > 1 && p.maybeSent {
		return job.Outcome{Kind: job.Failed, Reason: job.ReasonUnresolved, RetryAfter: o.RetryAfter, Home: o.Home,
			Detail: fmt.Sprintf("%s: %s; an earlier sending may still arrive", o.Reason, o.Detail)}
	}
	return o
}

func (r *Routing) jobState(e JobState) {
	p := r.matchAnswer(e.ID, e.Call)
	if p == nil {
		return
	}
	delete(r.pending, e.ID)
	r.out = append(r.out, ReplyState{ID: e.ID, Total: e.Total, Started: e.Started, Finished: e.Finished})
}

// redirected follows a redirect. If the old target was called more than once, an
// earlier call may still arrive there, so the job stays fresh only after a single
// call. A redirect to an incarnation that has redirected itself means that the two
// know different placements: the next call is made after a pause, by which time they
// should agree.
func (r *Routing) redirected(now time.Duration, e Redirected) {
	p := r.matchAnswer(e.ID, e.Call)
	if p == nil {
		return
	}
	r.stats.Redirects++
	if p.callsToTarget > 1 {
		p.fresh = false
	}
	p.redirectedBy = append(p.redirectedBy, p.target.Incarnation)
	p.maybeSent = false
	if slices.Contains(p.redirectedBy, e.To.Incarnation) {
		p.redirectedBy = nil
		r.scheduleRetry(now, p)
		return
	}
	r.call(p, e.To)
}

// callFailed handles a call that ended without an answer.
func (r *Routing) callFailed(now time.Duration, e CallFailed) {
	p := r.matchAnswer(e.ID, e.Call)
	if p == nil {
		return
	}
	if e.Sent {
		p.maybeSent = true
	}
	if e.Replaced {
		r.targetGone(now, p)
		return
	}
	if fallback, ok := r.fallbackHome(p); ok && !e.Sent {
		r.call(p, fallback)
		return
	}
	r.scheduleRetry(now, p)
}

func (r *Routing) finish(p *pendingRequest, o job.Outcome) {
	delete(r.pending, p.req.ID)
	r.out = append(r.out, Reply{ID: p.req.ID, Outcome: o})
}
