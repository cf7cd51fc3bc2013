package dispatcher

import (
	"context"
	"time"

	"foxtaildock.example/dock/claim"
	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/overload"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// handleSubmission passes a job to the core and records that its caller waits for it, unless it
// was claimed too long ago.
func (d *Dispatcher) handleSubmission(e submission) {
	if !e.mayBeLate && d.tookTooLong(e.claimedAt) {
		e.taken <- false
		return
	}
	d.held.Store(e.job.ID, struct{}{})
	d.waiters[e.job.ID] = append(d.waiters[e.job.ID], e.answer)
	d.cfg.Log.Info("job arrived", telemetry.JobID(string(e.job.ID)), telemetry.Route(e.job.Route.Name), telemetry.Count(e.job.Tasks()), telemetry.Elapsed(e.job.Deadline-clock.Now()))
	d.step(schedule.JobArrived{Job: e.job})
	e.taken <- true
}

// handleCallerGone removes a caller that no longer waits. The job is dropped when its
// last caller has left.
func (d *Dispatcher) handleCallerGone(e callerGone) {
	remaining := d.waiters[e.id]
	for i, w := range remaining {
		if w == e.answer {
			remaining = append(remaining[:i:i], remaining[i+1:]...)
			break
		}
	}
	if len(remaining) > 0 {
		d.waiters[e.id] = remaining
		return
	}
	delete(d.waiters, e.id)
	d.step(schedule.JobDropped{ID: e.id, Reason: e.reason})
}

// disconnectReason returns why the connection of a waiting caller has ended: the caller
// has left, or this process has closed it.
func (d *Dispatcher) disconnectReason() string {
	if d.closing.Load() {
		return "connection closed by the stopping entry"
	}
	return "caller left"
}

// answer logs the answer of a job and passes it to the callers that wait for it.
func (d *Dispatcher) answer(a schedule.Answer) {
	fields := []telemetry.Field{
		telemetry.JobID(string(a.ID)), telemetry.OutcomeText(a.Verdict.String()), telemetry.ReasonText(a.Reason),
		telemetry.Elapsed(a.Waited), telemetry.Runs(a.Runs), telemetry.RowsVersion(a.Basis.RowsVersion),
	}
	if a.FirstStart >= 0 {
		fields = append(fields, telemetry.FirstStart(a.FirstStart))
	}
	if a.Verdict == schedule.Rejected {
		fields = append(fields, telemetry.RetryAfter(a.RetryAfter))
		fields = append(fields, basisFields(&a.Basis)...)
	}
	d.cfg.Log.Info("job answered", fields...)
	d.cfg.Metrics.recordAnswer(a)
	for _, w := range d.waiters[a.ID] {
		w <- a
	}
	delete(d.waiters, a.ID)
	d.held.Delete(a.ID)
}

// basisFields returns the figures on which the admission or the refusal of a job was decided.
func basisFields(b *schedule.Basis) []telemetry.Field {
	fields := []telemetry.Field{
		telemetry.ExpectedWait(b.ExpectedWait), telemetry.AllowedWait(b.AllowedWait), telemetry.HeadWait(b.HeadWait),
		telemetry.Capacity(b.CapacityMilli), telemetry.Agents(b.Agents), telemetry.Rate(b.RateMilli),
		telemetry.RateAge(b.RateAge), telemetry.Reserved(b.ReservedMilli),
	}
	if b.Prospect != overload.InTime { // otherwise something else than the wait decided
		fields = append(fields, telemetry.Prospect(b.Prospect.String()))
	}
	return fields
}

// Submit submits the job and waits for its answer. The job times out after the given
// time, and is dropped if the context ends and no other caller waits for it. If another entry has
// the job already, its answer is that of the other one.
func (d *Dispatcher) Submit(ctx context.Context, job schedule.Job, timeout time.Duration) schedule.Answer {
	job.Deadline = clock.Now() + timeout
	waiting, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-d.settled:
	case <-waiting.Done():
		return d.notStarted(ctx, &job)
	}
	for {
		mine, followed, err := d.claims.Begin(waiting, job.ID)
		switch {
		case err != nil:
			return d.notStarted(ctx, &job)
		case followed == (claim.Holder{}):
			return d.submitClaiming(ctx, waiting, &job, mine)
		}
		if a, final := d.follow(waiting, &job, followed, followed.Address); final {
			return a
		}
		if !pause.For(waiting, locatePause) {
			return d.notStarted(ctx, &job)
		}
	}
}

// submitClaiming claims a job and submits it to the core, or follows the entry that has it. Without
// a claim it waits for the answer of a job that the core has.
func (d *Dispatcher) submitClaiming(ctx, waiting context.Context, job *schedule.Job, mine claim.Holder) schedule.Answer {
	if _, held := d.held.Load(job.ID); held {
		if answer, found := d.attach(job.ID); found {
			d.claims.End(job.ID)
			return d.awaitAnswer(ctx, job.ID, answer)
		}
	}
	calls := &jobCalls{d: d, job: job.ID, until: job.Deadline, recent: job.Recent}
	for late := false; ; {
		holder, err := d.claims.Acquire(waiting, calls, job.ID, mine)
		if err != nil {
			d.claims.End(job.ID)
			return d.notStarted(ctx, job)
		}
		if holder != (claim.Holder{}) {
			if a, final := d.follow(waiting, job, holder, calls.via); final {
				d.claims.End(job.ID)
				return a
			}
		} else if a, inTime := d.submitClaimed(ctx, job, calls.began, late); inTime {
			return a
		} else {
			late = true // an entry that is always slow doesn't try for ever
		}
		mine = d.claims.Resume(job.ID)
	}
}

// submitClaimed passes a job to the core, which ends its claim, and waits for its answer. inTime is
// false if the core has got the job so late after its claim that other entries may have given
// this one up meanwhile, unless that is allowed: nothing was started then, and the claim goes on.
func (d *Dispatcher) submitClaimed(ctx context.Context, job *schedule.Job, claimedAt time.Duration, mayBeLate bool) (a schedule.Answer, inTime bool) {
	s := submission{job: *job, claimedAt: claimedAt, mayBeLate: mayBeLate, answer: make(chan schedule.Answer, 1), taken: make(chan bool, 1)}
	select {
	case d.events <- s:
	default:
		d.claims.End(job.ID)
		return d.TurnAway(job.ID, job.Route.Priority, reasonBusy), true
	}
	select {
	case taken := <-s.taken:
		if !taken {
			return schedule.Answer{}, false
		}
	case <-d.base.Done():
	}
	d.claims.End(job.ID)
	return d.awaitAnswer(ctx, job.ID, s.answer), true
}

// awaitAnswer waits for the answer of a job that the core has. The core is told if the context ends
// first.
func (d *Dispatcher) awaitAnswer(ctx context.Context, id work.JobID, answer chan schedule.Answer) schedule.Answer {
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		reason := d.disconnectReason()
		d.enqueue(callerGone{id, answer, reason})
		return schedule.Answer{ID: id, Verdict: schedule.Dropped, Reason: reason}
	case <-d.base.Done():
		return schedule.Answer{ID: id, Verdict: schedule.Interrupted, Reason: "entry stopped", FirstStart: -1}
	}
}

// notStarted returns the answer of a job of which this entry has started nothing until its
// caller left, or stopped waiting.
func (d *Dispatcher) notStarted(caller context.Context, job *schedule.Job) schedule.Answer {
	a := schedule.Answer{ID: job.ID, Verdict: schedule.TimedOut, Reason: "deadline", FirstStart: -1, Priority: job.Route.Priority}
	if caller.Err() != nil {
		a.Verdict, a.Reason = schedule.Dropped, d.disconnectReason()
	}
	d.logAnswer(a)
	return a
}

// CallerLeft records that a job wasn't submitted, since its caller had disconnected
// before its request was read. The caller may have submitted it elsewhere meanwhile.
func (d *Dispatcher) CallerLeft(id work.JobID) {
	d.logAnswer(schedule.Answer{ID: id, Verdict: schedule.Dropped, Reason: "caller left before its request was read", FirstStart: -1})
}

// retryElsewhereAfter is the retry delay for callers rejected because this entry is
// busy or stopping. It is short, since other entries admit the job at once.
const retryElsewhereAfter = time.Second

// reasonBusy is why a job is turned away while the queue of events is full.
const reasonBusy = "entry busy"

// TurnAway records the rejection of a job that the core doesn't see, and returns it.
func (d *Dispatcher) TurnAway(id work.JobID, priority work.Priority, reason string) schedule.Answer {
	a := schedule.Answer{ID: id, Verdict: schedule.Rejected, Priority: priority, Reason: reason, RetryAfter: retryElsewhereAfter, FirstStart: -1}
	d.logAnswer(a)
	return a
}

// logAnswer logs and counts the answer of a job that the core doesn't see.
func (d *Dispatcher) logAnswer(a schedule.Answer) {
	d.cfg.Log.Info("job answered", telemetry.JobID(string(a.ID)), telemetry.OutcomeText(a.Verdict.String()), telemetry.ReasonText(a.Reason), telemetry.Elapsed(a.Waited))
	d.cfg.Metrics.recordAnswer(a)
}
