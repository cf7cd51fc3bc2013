// Package home is the decision core of a job's home: the one agent that owns
// the job's record. The core accepts the job, splits it into tasks, places them on
// executors (agents whose backend server can run tasks), and collects the results
// of all tasks into one answer. Package entry submits jobs to homes, package
// dispatch chooses the next task and its executor, and package gate starts tasks
// at a backend server. Jobs that are answered at their end and whose record no
// agent keeps are handled by package schedule instead.
//
// The core guarantees three things. A key is accepted only if no other home has
// started the job or can start it later (submit.go, resolve.go, seal.go). A task
// is sent to a second executor only after the gate of the first has sealed the
// attempt, so that the attempt never starts there (run.go). A job either
// completes with the results of all its tasks or fails (run.go).
//
// Terms: A former home of a key is an incarnation that was its home in an earlier
// epoch. A seal is a home's promise never to accept a key. A job is resolving
// while its home asks the former homes for seals. A job is fresh if the request
// is the caller's first attempt, so that no other incarnation can have seen it. A
// vouch is the statement that one incarnation, the heir, took over the records of
// another that left.
//
// The core does no I/O and has no clock. Its caller passes monotonic time to
// Step, performs the returned actions, and reports back by events.
package home

import (
	"slices"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// Config holds the limits and timings of a home.
type Config struct {
	// Self is the home's own incarnation.
	Self ident.Incarnation
	// MaxRecords is the maximum number of records, finished ones included. At
	// the limit new jobs are refused; at twice the limit no seal is given for a
	// key without a record.
	MaxRecords int
	// MaxResultBytes is the maximum total size of the results of finished jobs.
	// Beyond it the oldest results are dropped; their records stay, so that
	// no job runs again.
	MaxResultBytes int
	// Retention is how long a finished or sealed record is kept after its last
	// use.
	Retention time.Duration
	// AcceptWindow is the maximum age of a job's first attempt. Older jobs are
	// not started.
	AcceptWindow time.Duration
	// FreshSkew is how far a caller's clock may be ahead of this process's clock
	// before its first-attempt mark is ignored. After a change of epoch, former
	// homes are asked about fresh jobs for one permit lease plus this time.
	FreshSkew time.Duration
	// ResolveLimit is how long a job may be resolving before the caller is told
	// that it is unresolved.
	ResolveLimit time.Duration
	// ResolveRetry is the pause before a former home is asked again.
	ResolveRetry time.Duration
	// RetryAfter is the delay after which callers are told to retry a refused
	// request.
	RetryAfter time.Duration
}

// DefaultConfig returns the values that the agent process uses unless its
// settings say otherwise.
func DefaultConfig(self ident.Incarnation) Config {
	return Config{
		Self:           self,
		MaxRecords:     100_000,
		MaxResultBytes: 48 << 20,
		Retention:      job.Retention,
		AcceptWindow:   job.AcceptWindow,
		FreshSkew:      time.Second,
		ResolveLimit:   3 * time.Second,
		ResolveRetry:   200 * time.Millisecond,
		RetryAfter:     time.Second,
	}
}

// Stats holds the counters of a home for metrics.
type Stats struct {
	Accepted    uint64 // jobs whose tasks were queued
	Complete    uint64 // jobs that ended with all results
	Failed      uint64 // jobs that ended as failed
	Refused     uint64 // jobs that ended as refused after a record was made
	Attached    uint64 // repeated submissions of a job with a record
	Redirected  uint64 // requests redirected to another incarnation
	TasksSent   uint64 // tasks handed out to gates, repetitions included
	TasksMoved  uint64 // tasks returned to the queue
	LateAnswers uint64 // answers that belonged to no task in flight
	Sealed      uint64 // seals given to other homes
}

// Home is the decision core of one incarnation. It is not safe for concurrent
// use. The zero value is not usable; call New.
type Home struct {
	cfg           Config
	pool          dispatch.Pool
	placement     *placement.Placement
	permit        permit.Permit
	lapsing       []lapsingEpoch
	executors     []dispatch.Executor
	records       map[ident.JobKey]*record
	active        []*record // resolving or running, in the order of arrival
	waiting       *dispatch.Queue
	expiryOrder   []expiryEntry
	answers       []ident.JobKey // finished records with results, oldest first
	resultBytes   int
	leftPlacement bool // a placement marked this home as having left
	handedOver    bool
	vouches       []Vouch
	stats         Stats
	batch         []Execute
	out           []Action
}

// expiryEntry is an entry of the expiry order. It is stale if the record has
// changed since at.
type expiryEntry struct {
	key ident.JobKey
	at  time.Duration
}

// lapsingEpoch is a replaced epoch. Some agent may still have held a permit for it
// until one lease after this process learned of the next epoch.
type lapsingEpoch struct {
	epoch ident.Epoch
	until time.Duration
}

// New returns a home without a placement and a permit. It accepts no job until it
// has both.
func New(cfg Config, pool dispatch.Pool) *Home {
	return &Home{
		cfg:     cfg,
		pool:    pool,
		records: make(map[ident.JobKey]*record),
		waiting: dispatch.NewQueue(0),
	}
}

// Stats returns the counters.
func (h *Home) Stats() Stats { return h.stats }

// Load is the load of a home as heartbeats report it.
type Load struct {
	Records int // all records, finished and sealed ones included
	Active  int // jobs that are resolving or running
	Waiting int // tasks that wait for an executor
	// HandedOver is true once a leaving home has sent its records to their new
	// homes.
	HandedOver bool
}

// Load returns the present load.
func (h *Home) Load() Load {
	return Load{Records: len(h.records), Active: len(h.active), Waiting: h.waiting.Len(), HandedOver: h.handedOver}
}

// Step processes one event at the monotonic time now and returns what to do.
// The returned slice is valid until the next call.
func (h *Home) Step(now time.Duration, e Event) []Action {
	h.out = h.out[:0]
	h.batch = h.batch[:0]
	h.handle(now, e)
	h.place(now)
	for _, b := range h.batch {
		h.emit(b)
	}
	h.handOver()
	return h.out
}

func (h *Home) handle(now time.Duration, e Event) {
	switch e := e.(type) {
	case Submit:
		h.submit(now, e)
	case Lookup:
		h.lookup(now, e)
	case Cancel:
		h.cancel(now, e)
	case CallerGone:
		h.dropWaiter(e)
	case SealRequested:
		h.sealRequested(now, e)
	case SealAnswered:
		h.sealAnswered(now, e)
	case Answered:
		h.answered(now, e)
	case NotSent:
		h.notSent(now, e)
	case AgentGone:
		h.agentGone(now, e)
	case GateLoad:
		h.pool.Observe(now, h.cfg.Self, e.Load)
	case SetExecutors:
		h.executors = slices.Clone(e.Executors)
		h.pool.SetExecutors(now, e.Executors)
	case SetPlacement:
		h.setPlacement(now, e.Placement)
	case SetPermit:
		h.permit = e.Permit
		h.advanceAllResolving(now)
	case HandedOver:
		h.receive(now, e)
	case Tick:
		h.tick(now)
	}
}

// setPlacement installs a newer placement and ignores any other. Invariant: the
// epoch never decreases.
func (h *Home) setPlacement(now time.Duration, p *placement.Placement) {
	var known ident.Epoch
	if h.placement != nil {
		known = h.placement.Epoch
	}
	if p.Epoch <= known {
		return
	}
	h.forgetLapsed(now)
	h.lapsing = append(h.lapsing, lapsingEpoch{epoch: known, until: now + permit.Lease})
	h.placement = p
	h.forgetVouches()
	if m, ok := p.Member(h.cfg.Self); ok && m.Left != 0 {
		h.leftPlacement = true
	}
	for _, r := range h.active {
		if r.phase == phaseResolving {
			h.requestSeals(r)
		}
	}
	h.recheckSealRequests(now)
}

// forgetLapsed drops epochs whose last permits lapsed before the first attempt of
// any job that may still be accepted.
func (h *Home) forgetLapsed(now time.Duration) {
	h.lapsing = slices.DeleteFunc(h.lapsing, func(l lapsingEpoch) bool {
		return now-l.until > h.cfg.AcceptWindow+h.cfg.FreshSkew
	})
}

// tick applies deadlines, retries of seal requests and the expiry of records.
func (h *Home) tick(now time.Duration) {
	for _, r := range slices.Clone(h.active) {
		switch {
		case now >= r.deadline:
			h.expireJob(now, r)
		case r.phase == phaseResolving:
			h.retryResolve(now, r)
		}
	}
	h.expireRecords(now)
}

// expireRecords drops records that have not been used for Retention.
func (h *Home) expireRecords(now time.Duration) {
	for len(h.expiryOrder) > 0 && now-h.expiryOrder[0].at >= h.cfg.Retention {
		a := h.expiryOrder[0]
		h.expiryOrder = h.expiryOrder[1:]
		r := h.records[a.key]
		if r == nil || r.changed != a.at || r.isActive() {
			continue
		}
		h.forgetAnswer(r)
		delete(h.records, a.key)
	}
}

// touch restarts the retention of a record.
func (h *Home) touch(now time.Duration, r *record) {
	r.changed = now
	h.expiryOrder = append(h.expiryOrder, expiryEntry{key: r.key, at: now})
}

// maxTouchesPerRetention is the maximum number of times per Retention that the use
// of a record restarts its retention. Without a limit every look-up would add an
// entry to the expiry order.
const maxTouchesPerRetention = 16

// extendRetention restarts the retention of a record that a caller has asked for, at
// most maxTouchesPerRetention times per Retention.
func (h *Home) extendRetention(now time.Duration, r *record) {
	if now-r.changed >= h.cfg.Retention/maxTouchesPerRetention {
		h.touch(now, r)
	}
}

func (h *Home) lookup(now time.Duration, e Lookup) {
	r := h.records[e.Key]
	switch {
	case r == nil:
		h.reply(e.Request, job.Fail(job.ReasonUnknownKey, 0, "no record of this job"))
	case r.phase == phaseSealed:
		h.redirectTo(e.Request, r.sealedTo, false)
	case r.phase == phaseDone:
		h.extendRetention(now, r)
		h.reply(e.Request, r.outcome)
	case e.Wait:
		r.waiters = append(r.waiters, e.Request)
	default:
		h.emit(ReplyState{Request: e.Request, Total: len(r.spec.Tasks), Started: r.sent(), Finished: len(r.tasks) - r.unfinished})
	}
}

func (h *Home) cancel(now time.Duration, e Cancel) {
	r := h.records[e.Key]
	switch {
	case r == nil:
		h.reply(e.Request, job.Fail(job.ReasonUnknownKey, 0, "no record of this job"))
	case r.phase == phaseSealed:
		h.redirectTo(e.Request, r.sealedTo, false)
	case r.phase == phaseDone:
		h.reply(e.Request, r.outcome)
	default:
		h.abandon(now, r, job.ReasonCancelled, "the caller cancelled the job")
		h.reply(e.Request, r.outcome)
	}
}

// dropWaiter removes the request of a caller that no longer waits. The job goes
// on: the caller may ask for it again by its key.
func (h *Home) dropWaiter(e CallerGone) {
	for _, r := range h.active {
		if i := slices.Index(r.waiters, e.Request); i >= 0 {
			r.waiters = slices.Delete(r.waiters, i, i+1)
			return
		}
	}
}

// redirectTo redirects a request to another incarnation. If the placement no
// longer knows that incarnation's address, the request is rejected.
func (h *Home) redirectTo(req ident.RequestID, to ident.Incarnation, fresh bool) {
	if h.placement != nil {
		if m, ok := h.placement.Member(to); ok {
			h.stats.Redirected++
			h.emit(Redirect{Request: req, To: m})
			return
		}
	}
	h.reply(req, h.rejection(fresh, job.ReasonNotHome, "the home of this job is not known here"))
}

// rejection returns the outcome for a job that this home does not accept and has
// not resolved. A fresh job has run nowhere, so it is refused; any other may have
// run elsewhere, so it is unresolved.
func (h *Home) rejection(fresh bool, r job.Reason, detail string) job.Outcome {
	if fresh {
		return h.withHome(job.Refuse(r, h.cfg.RetryAfter, detail))
	}
	return h.withHome(job.Fail(job.ReasonUnresolved, h.cfg.RetryAfter, string(r)+": "+detail))
}

// withHome returns the outcome with this home's incarnation in it.
func (h *Home) withHome(o job.Outcome) job.Outcome {
	o.Home = h.cfg.Self
	return o
}

func (h *Home) reply(req ident.RequestID, o job.Outcome) {
	h.emit(Reply{Request: req, Outcome: o})
}

func (h *Home) emit(a Action) { h.out = append(h.out, a) }
