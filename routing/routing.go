// Package routing is the decision core of an entry: it finds the home of each
// job, sends again after silence, follows redirects, and decides what the caller
// is told when no home answers.
//
// Invariants. A request has at most one call outstanding. A call goes to another
// incarnation only after a definite answer from the one before, or if nothing was
// sent to it. "Refused" is said only for a first attempt of which every call that
// may have arrived was answered with a promise not to start it.
package routing

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
)

// Config bounds the core.
type Config struct {
	// RetryPause is the wait before a call is made again.
	RetryPause time.Duration
	// GiveUpUnsent is how long a home that can't be reached at all is tried
	// before the request is refused.
	GiveUpUnsent time.Duration
	// GiveUpSilent is how long an incarnation that may have the job, and that
	// the placement still lists, is called again before the job is given up.
	GiveUpSilent time.Duration
	// GiveUpGone is the same for one that the placement lists no more.
	GiveUpGone time.Duration
	// RetryAfter is when callers are told to come back.
	RetryAfter time.Duration
	// AnswerGrace is how long after a job's deadline its home may still say
	// what became of it. Without it the entry, which knows less, would be the
	// first to answer.
	AnswerGrace time.Duration
}

// DefaultConfig returns the bounds that a daemon uses unless its settings say
// otherwise.
func DefaultConfig() Config {
	return Config{
		RetryPause:   50 * time.Millisecond,
		GiveUpUnsent: 5 * time.Second,
		GiveUpSilent: 20 * time.Second,
		GiveUpGone:   time.Second,
		RetryAfter:   time.Second,
		AnswerGrace:  200 * time.Millisecond,
	}
}

// Stats counts what the core did, for metrics.
type Stats struct {
	Requests   uint64
	Calls      uint64
	Resends    uint64
	Redirects  uint64
	LateAnswer uint64
}

// flight is one request on its way.
type flight struct {
	req      Request
	deadline time.Duration // of the job
	giveUp   time.Duration // of the request
	target   placement.Member
	calls    int // calls made in all
	toTarget int // calls made to the present target
	open     bool
	retryAt  time.Duration
	troubled time.Duration // when the present target began to fail; -1 if it does not
	// asked holds the incarnations that redirected since the last pause.
	asked []ident.Incarnation
	// fresh is true while no incarnation but the present target can have
	// the job.
	fresh bool
	// maybeSent is true if the present target may have got a call.
	maybeSent bool
	// tried holds former homes that a look-up has already asked.
	tried []ident.Incarnation
}

// Routing is the core. The zero value is not usable; call New.
type Routing struct {
	cfg       Config
	placement *placement.Placement
	flights   map[ident.RequestID]*flight
	order     []ident.RequestID
	stats     Stats
	out       []Action
}

// New returns a core that knows no placement yet.
func New(cfg Config) *Routing {
	return &Routing{cfg: cfg, flights: make(map[ident.RequestID]*flight)}
}

// Stats returns the counters.
func (r *Routing) Stats() Stats { return r.stats }

// InFlight returns the number of requests without an answer.
func (r *Routing) InFlight() int { return len(r.flights) }

// Step processes one event at the monotonic time now and returns what to do.
// The returned slice is valid until the next call.
func (r *Routing) Step(now time.Duration, e Event) []Action {
	r.out = r.out[:0]
	switch e := e.(type) {
	case Request:
		r.request(now, e)
	case Answered:
		r.answered(e)
	case State:
		r.state(e)
	case Redirected:
		r.redirected(now, e)
	case Failed:
		r.failed(now, e)
	case Gone:
		delete(r.flights, e.ID)
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
	f := &flight{req: e, deadline: now + e.Deadline, giveUp: now + e.Deadline + r.cfg.AnswerGrace, fresh: e.First && e.Op == OpSubmit, troubled: -1}
	r.flights[e.ID] = f
	r.order = append(r.order, e.ID)
	r.aim(now, f)
}

// aim chooses the home and calls it.
func (r *Routing) aim(now time.Duration, f *flight) {
	if m, ok := r.home(f.req.Key); ok {
		r.call(f, m)
		return
	}
	r.wait(now, f)
}

func (r *Routing) home(key ident.JobKey) (placement.Member, bool) {
	if r.placement == nil {
		return placement.Member{}, false
	}
	return r.placement.Home(key)
}

func (r *Routing) call(f *flight, to placement.Member) {
	if to.Incarnation != f.target.Incarnation {
		f.target = to
		f.toTarget = 0
		f.maybeSent = false
	}
	f.calls++
	f.toTarget++
	f.open = true
	r.stats.Calls++
	r.out = append(r.out, Call{ID: f.req.ID, Call: f.calls, Op: f.req.Op, To: f.target, Key: f.req.Key, Spec: f.req.Spec, Fresh: f.fresh,
		FirstAttempt: f.req.FirstAttempt, Deadline: f.deadline, GiveUp: f.giveUp})
}

// wait notes trouble and schedules the next call.
func (r *Routing) wait(now time.Duration, f *flight) {
	f.open = false
	f.retryAt = now + r.cfg.RetryPause
	if f.troubled < 0 {
		f.troubled = now
	}
}

// current returns the flight that an answer belongs to, or nil if it is late.
func (r *Routing) current(id ident.RequestID, call int) *flight {
	f := r.flights[id]
	if f == nil || !f.open || f.calls != call {
		r.stats.LateAnswer++
		return nil
	}
	return f
}

func (r *Routing) answered(e Answered) {
	f := r.current(e.ID, e.Call)
	if f == nil {
		return
	}
	if r.lookFurther(f, e.Outcome) {
		return
	}
	r.finish(f, r.honest(f, e.Outcome))
}

// lookFurther asks the next former home if a look-up found no record.
func (r *Routing) lookFurther(f *flight, o job.Outcome) bool {
	if f.req.Op == OpSubmit || o.Reason != job.ReasonUnknownKey || r.placement == nil {
		return false
	}
	f.tried = append(f.tried, f.target.Incarnation)
	for _, m := range r.placement.Places(f.req.Key, 0, r.placement.Epoch) {
		if !slices.Contains(f.tried, m.Incarnation) {
			r.call(f, m)
			return true
		}
	}
	return false
}

// honest turns a refusal into a failure if an earlier call may still lead to a
// start: a home's refusal speaks only for the calls that it has seen.
func (r *Routing) honest(f *flight, o job.Outcome) job.Outcome {
	if o.Kind == job.Refused && f.toTarget > 1 && f.maybeSent {
		return job.Outcome{Kind: job.Failed, Reason: job.ReasonUnresolved, RetryAfter: o.RetryAfter, Home: o.Home,
			Detail: fmt.Sprintf("%s: %s; an earlier sending may still arrive", o.Reason, o.Detail)}
	}
	return o
}

func (r *Routing) state(e State) {
	f := r.current(e.ID, e.Call)
	if f == nil {
		return
	}
	delete(r.flights, e.ID)
	r.out = append(r.out, ReplyState{ID: e.ID, Total: e.Total, Started: e.Started, Finished: e.Finished})
}

// redirected follows a redirect. A call that was made more than once may still
// arrive at the old target, so the job stays fresh only after a single call. An
// incarnation that is named a second time knows another placement than the one
// that named it: the call is made again after a pause, when they agree.
func (r *Routing) redirected(now time.Duration, e Redirected) {
	f := r.current(e.ID, e.Call)
	if f == nil {
		return
	}
	r.stats.Redirects++
	if f.toTarget > 1 {
		f.fresh = false
	}
	f.asked = append(f.asked, f.target.Incarnation)
	f.maybeSent = false
	if slices.Contains(f.asked, e.To.Incarnation) {
		f.asked = nil
		r.wait(now, f)
		return
	}
	r.call(f, e.To)
}

// failed takes the end of a call without an answer.
func (r *Routing) failed(now time.Duration, e Failed) {
	f := r.current(e.ID, e.Call)
	if f == nil {
		return
	}
	if e.Sent {
		f.maybeSent = true
	}
	if e.Replaced {
		r.targetGone(now, f)
		return
	}
	if second, ok := r.second(f); ok && !e.Sent {
		r.call(f, second)
		return
	}
	r.wait(now, f)
}

func (r *Routing) finish(f *flight, o job.Outcome) {
	delete(r.flights, f.req.ID)
	r.out = append(r.out, Reply{ID: f.req.ID, Outcome: o})
}
