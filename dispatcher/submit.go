package dispatcher

import (
	"context"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/overload"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// handleSubmission passes a job to the core and records that its caller waits for it.
func (d *Dispatcher) handleSubmission(e submission) {
	e.job.Deadline = clock.Now() + e.timeout
	d.waiters[e.job.ID] = append(d.waiters[e.job.ID], e.answer)
	d.cfg.Log.Info("job arrived", telemetry.JobID(string(e.job.ID)), telemetry.Route(e.job.Route.Name), telemetry.Count(e.job.Tasks()), telemetry.Elapsed(e.timeout))
	d.step(schedule.JobArrived{Job: e.job})
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
// time, and is dropped if the context ends and no other caller waits for it.
func (d *Dispatcher) Submit(ctx context.Context, job schedule.Job, timeout time.Duration) schedule.Answer {
	answer := make(chan schedule.Answer, 1)
	select {
	case d.events <- submission{job: job, timeout: timeout, answer: answer}:
	default:
		return d.turnAway(job.ID, job.Route.Priority, "entry busy")
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		reason := d.disconnectReason()
		d.enqueue(callerGone{job.ID, answer, reason})
		return schedule.Answer{ID: job.ID, Verdict: schedule.Dropped, Reason: reason}
	case <-d.base.Done():
		return schedule.Answer{ID: job.ID, Verdict: schedule.Interrupted, Reason: "entry stopped", FirstStart: -1}
	}
}

// CallerLeft records that a job wasn't submitted, since its caller had disconnected
// before its request was read. The caller may have submitted it elsewhere meanwhile.
func (d *Dispatcher) CallerLeft(id work.JobID) {
	a := schedule.Answer{ID: id, Verdict: schedule.Dropped, Reason: "caller left before its request was read", FirstStart: -1}
	d.cfg.Log.Info("job answered", telemetry.JobID(string(id)), telemetry.OutcomeText(a.Verdict.String()), telemetry.ReasonText(a.Reason))
	d.cfg.Metrics.recordAnswer(a)
}

// retryElsewhereAfter is the retry delay for callers rejected because this entry is
// busy or stopping. It is short, since other entries admit the job at once.
const retryElsewhereAfter = time.Second

// turnAway returns the rejection of a job that the core doesn't see.
func (d *Dispatcher) turnAway(id work.JobID, priority work.Priority, reason string) schedule.Answer {
	a := schedule.Answer{ID: id, Verdict: schedule.Rejected, Priority: priority, Reason: reason, RetryAfter: retryElsewhereAfter, FirstStart: -1}
	d.cfg.Log.Info("job answered", telemetry.JobID(string(id)), telemetry.OutcomeText(a.Verdict.String()), telemetry.ReasonText(reason))
	d.cfg.Metrics.recordAnswer(a)
	return a
}
