package home

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// phase is the stage of a record's life cycle.
type phase int

const (
	// phaseResolving: former homes are asked for seals; no task has started.
	phaseResolving phase = iota + 1
	// phaseRunning: the job is accepted and its tasks are placed on executors.
	phaseRunning
	// phaseDone: the outcome is final.
	phaseDone
	// phaseSealed: this home promised another home not to accept the key.
	phaseSealed
)

// record is what a home knows about one job key.
type record struct {
	key    ident.JobKey
	digest uint64
	spec   *job.Spec
	phase  phase
	fresh  bool
	// resubmitted is true if a waiter's request was not a first attempt.
	resubmitted bool
	// createdAfter is a lower bound of the time at which a fresh job was created.
	createdAfter time.Duration
	tooOld       bool // may be looked up at former homes, but not started
	waiters      []ident.RequestID
	arrived      time.Duration
	deadline     time.Duration
	changed      time.Duration

	// While resolving.
	sealRequests []sealRequest
	giveUpAt     time.Duration // when the caller is told that the job is unresolved

	// While running.
	tasks      []task
	unfinished int // number of tasks without a result
	// inFlight is the number of tasks in the state taskSent.
	inFlight int

	// Once done.
	outcome job.Outcome
	size    int // bytes of results that count towards MaxResultBytes

	// Once sealed. A sealed record may be resolved again in an epoch later than
	// sealEpoch in which this home owns the key again.
	sealedTo  ident.Incarnation
	sealEpoch ident.Epoch
}

// taskState is the state of one task at its home.
type taskState int

const (
	taskWaiting taskState = iota
	taskSent
	taskDone
)

// task is one task of a running job.
type task struct {
	state   taskState
	agent   ident.Incarnation
	attempt int
	body    []byte
}

func (r *record) isActive() bool { return r.phase == phaseResolving || r.phase == phaseRunning }

// isFirst reports whether all waiting requests are first attempts.
func (r *record) isFirst() bool { return r.fresh && !r.resubmitted }

// sent returns the number of tasks that may have started.
func (r *record) sent() int {
	n := 0
	for i := range r.tasks {
		if r.tasks[i].state != taskWaiting {
			n++
		}
	}
	return n
}

// agents returns the incarnations that have tasks without an answer, sorted.
func (r *record) agents() []ident.Incarnation {
	var ids []ident.Incarnation
	for i := range r.tasks {
		if r.tasks[i].state == taskSent {
			ids = append(ids, r.tasks[i].agent)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// results returns the results of all tasks in the order of their index.
func (r *record) results() []job.Result {
	out := make([]job.Result, len(r.tasks))
	for i := range r.tasks {
		out[i] = job.Result{Index: i, Body: r.tasks[i].body}
	}
	return out
}

// conclude makes the outcome final and answers all waiting requests.
func (h *Home) conclude(now time.Duration, r *record, o job.Outcome) {
	h.count(o.Kind)
	o.Home = h.cfg.Self
	r.phase = phaseDone
	r.outcome = o
	r.spec = nil
	r.sealRequests = nil
	h.deactivate(r)
	h.touch(now, r)
	h.keepAnswer(r)
	h.answerWaiters(r, o)
}

// discard answers all waiting requests and forgets the job, so that a later
// submission of the key is treated as a new job. It is called only if no task
// has started.
func (h *Home) discard(now time.Duration, r *record, o job.Outcome) {
	h.count(o.Kind)
	o.Home = h.cfg.Self
	h.retire(now, r)
	h.answerWaiters(r, o)
}

// retire removes a record none of whose tasks has started. If the key was sealed
// before, the record stays as a seal.
func (h *Home) retire(now time.Duration, r *record) {
	h.deactivate(r)
	r.spec = nil
	r.sealRequests = nil
	r.tasks = nil
	if r.sealedTo != "" {
		r.phase = phaseSealed
		h.touch(now, r)
		return
	}
	delete(h.records, r.key)
}

func (h *Home) answerWaiters(r *record, o job.Outcome) {
	for _, req := range r.waiters {
		h.reply(req, o)
	}
	r.waiters = nil
}

func (h *Home) deactivate(r *record) {
	if i := slices.Index(h.active, r); i >= 0 {
		h.active = slices.Delete(h.active, i, i+1)
	}
}

func (h *Home) count(k job.Kind) {
	switch k {
	case job.Complete:
		h.stats.Complete++
	case job.Failed:
		h.stats.Failed++
	case job.Refused:
		h.stats.Refused++
	}
}

// keepAnswer adds the results of a finished job to the total size and drops the
// oldest answers while it exceeds MaxResultBytes. One answer is always kept.
func (h *Home) keepAnswer(r *record) {
	r.tasks = nil
	for i := range r.outcome.Results {
		r.size += len(r.outcome.Results[i].Body)
	}
	if r.size == 0 {
		return
	}
	h.resultBytes += r.size
	h.answers = append(h.answers, r.key)
	for h.resultBytes > h.cfg.MaxResultBytes && len(h.answers) > 1 {
		h.dropOldestAnswer()
	}
}

func (h *Home) dropOldestAnswer() {
	key := h.answers[0]
	h.answers = h.answers[1:]
	r := h.records[key]
	if r == nil || r.size == 0 {
		return
	}
	h.forgetAnswer(r)
	r.outcome = h.withHome(job.Fail(job.ReasonAnswerDropped, 0, "the job ran; its answer was dropped to make room"))
}

func (h *Home) forgetAnswer(r *record) {
	h.resultBytes -= r.size
	r.size = 0
	r.outcome.Results = nil
}
