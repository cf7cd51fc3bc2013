package dispatcher

import (
	"context"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/claim"
	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// follow waits for the answer of a job at the entry that runs it, which is reached at the address
// via. final is false if that entry has given the job up or refused it, so that this one decides.
func (d *Dispatcher) follow(ctx context.Context, job *schedule.Job, holder claim.Holder, via string) (a schedule.Answer, final bool) {
	began := clock.Now()
	d.cfg.Log.Info("job is at another entry; waiting for its answer", telemetry.JobID(string(job.ID)), telemetry.Peer(holder.Incarnation), telemetry.ReasonText(via))
	res, err := d.links.peer(via).Await(ctx, connect.NewRequest(&linkpb.AwaitRequest{Job: string(job.ID), Holder: link.HolderMessage(holder)}))
	if err == nil && res.Msg.GetFound() {
		a, err = answerOf(res.Msg)
	}
	final = a.Verdict == schedule.Completed || a.Verdict == schedule.FailedJob || a.Verdict == schedule.Dropped
	if err != nil || !final {
		d.cfg.Log.Info("no answer of a job from the entry that had it", telemetry.JobID(string(job.ID)), telemetry.Peer(holder.Incarnation), telemetry.OutcomeText(a.Verdict.String()), telemetry.Elapsed(clock.Now()-began), telemetry.Err(err))
		return schedule.Answer{}, false
	}
	a.ID, a.Priority, a.Waited = job.ID, job.Route.Priority, clock.Now()-began
	d.logAnswer(a)
	return a, true
}

// Await waits for the answer of a job that this entry runs, for another one to which it was
// submitted too.
func (p Peer) Await(ctx context.Context, req *connect.Request[linkpb.AwaitRequest]) (*connect.Response[linkpb.AwaitResponse], error) {
	d, m := p.Dispatcher, req.Msg
	if err := d.checkHolder(m.GetHolder(), m.GetRelayed()); err != nil {
		return nil, err
	}
	if address := m.GetHolder().GetAddress(); address != d.cfg.Self.Address {
		res, err := d.links.peer(address).Await(ctx, connect.NewRequest(&linkpb.AwaitRequest{Job: m.GetJob(), Holder: m.GetHolder(), Relayed: true}))
		return res, relayedError(err)
	}
	id := work.JobID(m.GetJob())
	if !d.claims.Settled(ctx, id) {
		return connect.NewResponse(&linkpb.AwaitResponse{}), nil
	}
	answer, found := d.attach(id)
	if !found {
		return connect.NewResponse(&linkpb.AwaitResponse{}), nil
	}
	d.cfg.Log.Info("another entry waits for the answer of a job", telemetry.JobID(string(id)))
	a := d.awaitAnswer(ctx, id, answer)
	return connect.NewResponse(answerMessage(a)), ctx.Err()
}

// attachment is the event of a caller or another entry that waits for the answer of a job if the
// core has it. found gets whether it has.
type attachment struct {
	id     work.JobID
	answer chan schedule.Answer
	found  chan bool
}

// attach returns the channel of the answer of a job, if the core has the job.
func (d *Dispatcher) attach(id work.JobID) (answer chan schedule.Answer, found bool) {
	e := attachment{id: id, answer: make(chan schedule.Answer, 1), found: make(chan bool, 1)}
	d.enqueue(e)
	select {
	case found = <-e.found:
		return e.answer, found
	case <-d.base.Done():
		return nil, false
	}
}

func (d *Dispatcher) handleAttachment(e attachment) {
	found := d.core.HasJob(e.id)
	if found {
		d.waiters[e.id] = append(d.waiters[e.id], e.answer)
	}
	e.found <- found
}

// locationInCore tells whether the core has a job or is ending it.
func (d *Dispatcher) locationInCore(id work.JobID) linkpb.Location {
	presence := schedule.Absent
	d.queryCore(func(c *schedule.Core) { presence = c.Presence(id) })
	switch presence {
	case schedule.Present:
		return linkpb.Location_LOCATION_HERE
	case schedule.Ending:
		return linkpb.Location_LOCATION_ENDING
	}
	return linkpb.Location_LOCATION_UNSPECIFIED
}

// verdicts are the verdicts by their messages.
var verdicts = []schedule.Verdict{
	linkpb.Verdict_VERDICT_COMPLETED:   schedule.Completed,
	linkpb.Verdict_VERDICT_FAILED:      schedule.FailedJob,
	linkpb.Verdict_VERDICT_REJECTED:    schedule.Rejected,
	linkpb.Verdict_VERDICT_TIMED_OUT:   schedule.TimedOut,
	linkpb.Verdict_VERDICT_DROPPED:     schedule.Dropped,
	linkpb.Verdict_VERDICT_INTERRUPTED: schedule.Interrupted,
}

// answerMessage converts the answer of a job to its message.
func answerMessage(a schedule.Answer) *linkpb.AwaitResponse {
	return &linkpb.AwaitResponse{
		Found: true, Verdict: linkpb.Verdict(slices.Index(verdicts, a.Verdict)),
		Reason: a.Reason, RetryAfterMs: a.RetryAfter.Milliseconds(),
	}
}

// answerOf converts the message of a job's answer. It has no figures of the job's runs. The error
// tells of a verdict that this version doesn't know.
func answerOf(m *linkpb.AwaitResponse) (schedule.Answer, error) {
	v := m.GetVerdict()
	if v <= linkpb.Verdict_VERDICT_UNSPECIFIED || int(v) >= len(verdicts) {
		return schedule.Answer{}, fmt.Errorf("verdict %d of a job at another entry is unknown", v)
	}
	return schedule.Answer{
		Verdict: verdicts[v], Reason: m.GetReason(), FirstStart: -1,
		RetryAfter: max(0, time.Duration(m.GetRetryAfterMs())*time.Millisecond),
	}, nil
}
