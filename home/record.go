package home

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// phase is the life of a record.
type phase int

const (
	// phaseResolving: former homes are asked, nothing has started.
	phaseResolving phase = iota + 1
	// phaseRunning: the job is accepted.
	phaseRunning
	// phaseDone: the outcome is final.
	phaseDone
	// phaseSealed: another home has taken the key over.
	phaseSealed
)

// record is what a home knows of one key.
type record struct {
	key    ident.JobKey
	digest uint64
	spec   *job.Spec
	phase  phase
	fresh  bool
	// resubmitted is true if a waiter's request was not a first attempt.
	resubmitted bool
	// exists is a moment before which the job did not exist, if it is fresh.
	exists   time.Duration
	tooOld   bool // to be looked up, not started
	waiters  []ident.RequestID
	arrived  time.Duration
	deadline time.Duration
	changed  time.Duration

	// While resolving.
	asks   []ask
	giveUp time.Duration // when the caller is told that it is unresolved

	// While running.
	tasks []task
	left  int // tasks without a result
	// flight is the number of tasks in the state taskSent.
	flight int

	// Once done.
	outcome job.Outcome
	size    int // bytes of results accounted for

	// Once sealed. A sealed record may resolve again in an epoch later than
	// sealEpoch, when this home owns the key once more.
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

// isFirst reports whether everybody who waits made a first attempt.
func (r *record) isFirst() bool { return r.fresh && !r.resubmitted }

// sent counts the tasks that may have started.
func (r *record) sent() int {
	n := 0
	for i := range r.tasks {
		if r.tasks[i].state != taskWaiting {
			n++
		}
	}
	return n
}

// agents returns the incarnations with tasks that may be running, in order.
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

// results returns the whole answer.
func (r *record) results() []job.Result {
	out := make([]job.Result, len(r.tasks))
	for i := range r.tasks {
		out[i] = job.Result{Index: i, Body: r.tasks[i].body}
	}
	return out
}

// conclude makes the outcome final and answers everybody who waits.
func (h *Home) conclude(now time.Duration, r *record, o job.Outcome) {
	h.count(o.Kind)
	o.Home = h.cfg.Self
	r.phase = phaseDone
	r.outcome = o
	r.spec = nil
	r.asks = nil
	h.deactivate(r)
	h.touch(now, r)
	h.keepAnswer(r)
	h.answerWaiters(r, o)
}

// discard answers everybody who waits and forgets the job, so that a later
// submission of the key starts anew. It is used only if nothing has started.
func (h *Home) discard(now time.Duration, r *record, o job.Outcome) {
	h.count(o.Kind)
	o.Home = h.cfg.Self
	h.retire(now, r)
	h.answerWaiters(r, o)
}

// retire takes a record that never started out of work. A seal it once gave
// stays in force.
func (h *Home) retire(now time.Duration, r *record) {
	h.deactivate(r)
	r.spec = nil
	r.asks = nil
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

// keepAnswer accounts for the results of a finished job and drops the oldest
// answers beyond the bound.
func (h *Home) keepAnswer(r *record) {
	r.tasks = nil
	for i := range r.outcome.Results {
		r.size += len(r.outcome.Results[i].Body)
	}
	if r.size == 0 {
		return
	}
	h.bytes += r.size
	h.answers = append(h.answers, r.key)
	for h.bytes > h.cfg.MaxResultBytes && len(h.answers) > 1 {
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
	r.outcome = h.signed(job.Fail(job.ReasonAnswerDropped, 0, "the job ran; its answer was dropped to make room"))
}

func (h *Home) forgetAnswer(r *record) {
	h.bytes -= r.size
	r.size = 0
	r.outcome.Results = nil
}
