// Package home is the decision core of a job's home: the one agent that owns
// the job's record, splits it into tasks, places them on executors, and collects
// the whole answer.
//
// The core keeps three promises. A key is accepted only if no other home can
// have started it, or can start it later (submit.go, resolve.go, seal.go). A task is handed to a
// second executor only after the first has sealed the attempt (run.go). An
// answer is whole or the job failed (run.go).
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

// Config bounds a home.
type Config struct {
	// Self is the home's own incarnation.
	Self ident.Incarnation
	// MaxRecords bounds the records, finished ones included. At the bound new
	// jobs are refused; at twice the bound no more seals are given.
	MaxRecords int
	// MaxResultBytes bounds the results of finished jobs. Beyond it the
	// oldest answers are dropped; their records stay, so nothing runs again.
	MaxResultBytes int
	// Retention is how long a finished record is kept after its last use.
	Retention time.Duration
	// AcceptWindow is the age of a first attempt beyond which a job is not
	// started any more.
	AcceptWindow time.Duration
	// FreshSkew bounds how far a caller's clock may be ahead of this process's
	// for the mark of a first attempt to be relied on. For a lease and this
	// time after a change of epochs, former homes are asked about fresh jobs.
	FreshSkew time.Duration
	// ResolveLimit is how long former homes are asked before the caller is
	// told that the job is unresolved.
	ResolveLimit time.Duration
	// ResolveRetry is the pause before a former home is asked again.
	ResolveRetry time.Duration
	// RetryAfter is when callers are told to come back after a refusal.
	RetryAfter time.Duration
}

// DefaultConfig returns the bounds that a daemon uses unless its settings say
// otherwise.
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

// Stats counts what a home did, for metrics.
type Stats struct {
	Accepted    uint64
	Complete    uint64
	Failed      uint64
	Refused     uint64
	Attached    uint64
	Redirected  uint64
	TasksSent   uint64
	TasksMoved  uint64
	LateAnswers uint64
	Sealed      uint64
}

// Home is the core. The zero value is not usable; call New.
type Home struct {
	cfg        Config
	pool       dispatch.Pool
	placement  *placement.Placement
	permit     permit.Permit
	lapsing    []lapsing
	executors  []dispatch.Executor
	records    map[ident.JobKey]*record
	active     []*record // resolving or running, in the order of arrival
	waiting    *dispatch.Queue
	order      []aged
	answers    []ident.JobKey // finished records with results, oldest first
	bytes      int
	left       bool // the newest placement no longer lists this home
	handedOver bool
	vouches    []Vouch
	stats      Stats
	batch      []Execute
	out        []Action
}

// aged is an entry of the expiry order, stale if the record changed since.
type aged struct {
	key ident.JobKey
	at  time.Duration
}

// lapsing is an epoch that permits may still have named somewhere until a lease
// after this process learned of its successor.
type lapsing struct {
	epoch ident.Epoch
	until time.Duration
}

// New returns a home without placement and permit: it accepts nothing until it
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

// Load describes the home for heartbeats.
type Load struct {
	Records int
	Active  int
	Waiting int
	// HandedOver is true once a leaving home has passed on its records.
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
	case Gone:
		h.gone(e)
	case SealAsked:
		h.sealAsked(now, e)
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
		h.settleAll(now)
	case HandedOver:
		h.receive(now, e)
	case Tick:
		h.tick(now)
	}
}

// setPlacement takes a newer placement. Invariant: the epoch never goes down.
func (h *Home) setPlacement(now time.Duration, p *placement.Placement) {
	var known ident.Epoch
	if h.placement != nil {
		known = h.placement.Epoch
	}
	if p.Epoch <= known {
		return
	}
	h.forgetLapsed(now)
	h.lapsing = append(h.lapsing, lapsing{epoch: known, until: now + permit.Lease})
	h.placement = p
	h.forgetVouches()
	if m, ok := p.Member(h.cfg.Self); ok && m.Left != 0 {
		h.left = true
	}
	for _, r := range h.active {
		if r.phase == phaseResolving {
			h.openAsks(r)
		}
	}
	h.recheckAsks(now)
}

// forgetLapsed drops epochs that lapsed before the first attempt of any job that
// may still be accepted.
func (h *Home) forgetLapsed(now time.Duration) {
	h.lapsing = slices.DeleteFunc(h.lapsing, func(l lapsing) bool {
		return now-l.until > h.cfg.AcceptWindow+h.cfg.FreshSkew
	})
}

// tick lets time pass.
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

// expireRecords drops records that were not used for Retention.
func (h *Home) expireRecords(now time.Duration) {
	for len(h.order) > 0 && now-h.order[0].at >= h.cfg.Retention {
		a := h.order[0]
		h.order = h.order[1:]
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
	h.order = append(h.order, aged{key: r.key, at: now})
}

// usesNoted is the number of times that the use of a record is noted within the
// retention time. More would take memory for every look-up.
const usesNoted = 16

// use keeps a record that is asked for.
func (h *Home) use(now time.Duration, r *record) {
	if now-r.changed >= h.cfg.Retention/usesNoted {
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
		h.use(now, r)
		h.reply(e.Request, r.outcome)
	case e.Wait:
		r.waiters = append(r.waiters, e.Request)
	default:
		h.emit(ReplyState{Request: e.Request, Total: len(r.spec.Tasks), Started: r.sent(), Finished: len(r.tasks) - r.left})
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

// gone forgets a waiter. Job work goes on: the caller may come back by key.
func (h *Home) gone(e Gone) {
	for _, r := range h.active {
		if i := slices.Index(r.waiters, e.Request); i >= 0 {
			r.waiters = slices.Delete(r.waiters, i, i+1)
			return
		}
	}
}

// redirectTo sends a request to another incarnation, or says that the job can't
// be resolved if its address is not known any more.
func (h *Home) redirectTo(req ident.RequestID, to ident.Incarnation, fresh bool) {
	if h.placement != nil {
		if m, ok := h.placement.Member(to); ok {
			h.stats.Redirected++
			h.emit(Redirect{Request: req, To: m})
			return
		}
	}
	h.reply(req, h.turnAway(fresh, job.ReasonNotHome, "the home of this job is not known here"))
}

// turnAway is the outcome for a job that is not taken before it was resolved.
// A fresh job has run nowhere; any other may have.
func (h *Home) turnAway(fresh bool, r job.Reason, detail string) job.Outcome {
	if fresh {
		return h.signed(job.Refuse(r, h.cfg.RetryAfter, detail))
	}
	return h.signed(job.Fail(job.ReasonUnresolved, h.cfg.RetryAfter, string(r)+": "+detail))
}

// signed puts the home's incarnation on an outcome.
func (h *Home) signed(o job.Outcome) job.Outcome {
	o.Home = h.cfg.Self
	return o
}

func (h *Home) reply(req ident.RequestID, o job.Outcome) {
	h.emit(Reply{Request: req, Outcome: o})
}

func (h *Home) emit(a Action) { h.out = append(h.out, a) }
