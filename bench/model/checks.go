package model

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/routing"
)

// checkOutcome checks an answer when its caller receives it.
func (c *Cluster) checkOutcome(s *submission) {
	o := &s.outcome
	if s.op == routing.OpSubmit {
		c.countOutcome(o.Kind)
		c.checkPlanned(s)
	}
	switch o.Kind {
	case job.Complete:
		c.checkComplete(s)
	case job.Refused:
		c.checkRefusedAfterStart(s)
		c.checkRefusedNotStarted(s.spec.Key)
	case job.Failed:
		if len(o.Results) > 0 {
			c.fail(GuaranteeCompleteAnswer, fmt.Sprintf("job %s failed with %d results", s.spec.Key, len(o.Results)))
		}
	default:
		c.fail(GuaranteeCompleteAnswer, fmt.Sprintf("the outcome of job %s has no kind", s.spec.Key))
	}
}

// checkPlanned checks that a job completes if the trace has no faults. A job
// that is resubmitted after the retention time of its record may be refused as
// too old.
func (c *Cluster) checkPlanned(s *submission) {
	o := &s.outcome
	age := c.wallClock().Sub(s.job.firstAttempt)
	if o.Reason == job.ReasonTooOld && age > retention {
		return
	}
	if c.trace.FaultFree && o.Kind != job.Complete {
		c.fail(GuaranteePlannedChanges, fmt.Sprintf("job %s submitted at %v did not complete: %s %s: %s", s.spec.Key, s.sent, o.Kind, o.Reason, o.Detail))
	}
}

func (c *Cluster) countOutcome(k job.Kind) {
	switch k {
	case job.Complete:
		c.outcomes.Complete++
	case job.Failed:
		c.outcomes.Failed++
	case job.Refused:
		c.outcomes.Refused++
	}
}

// checkComplete checks the answer for a complete job.
func (c *Cluster) checkComplete(s *submission) {
	want := s.answeredSpec()
	if len(s.outcome.Results) != len(want.Tasks) {
		c.fail(GuaranteeCompleteAnswer, fmt.Sprintf("job %s has %d results for %d tasks", want.Key, len(s.outcome.Results), len(want.Tasks)))
		return
	}
	for i, r := range s.outcome.Results {
		id := ident.TaskID{Job: want.Key, Index: i}
		if r.Index != i || string(r.Body) != resultBody(id, want.Tasks[i].Payload) {
			c.fail(GuaranteeCompleteAnswer, fmt.Sprintf("result %d of job %s is not that of its task: %q", i, want.Key, r.Body))
			return
		}
		if c.starts[id] != 1 {
			c.fail(GuaranteeCompleteAnswer, fmt.Sprintf("job %s is complete but task %d started %d times instead of once", want.Key, i, c.starts[id]))
			return
		}
	}
}

// answeredSpec returns the job body that an answer belongs to. A cancellation
// or look-up names only the key, so it gets the answer for the body that came
// first.
func (s *submission) answeredSpec() *job.Spec {
	if s.op == routing.OpSubmit {
		return s.spec
	}
	for _, other := range s.job.submissions {
		if isAnswerOf(&s.outcome, other.spec) {
			return other.spec
		}
	}
	return s.spec
}

// isAnswerOf reports whether the first result is that of the first task of
// spec.
func isAnswerOf(o *job.Outcome, spec *job.Spec) bool {
	first := ident.TaskID{Job: spec.Key}
	return len(o.Results) > 0 && string(o.Results[0].Body) == resultBody(first, spec.Tasks[0].Payload)
}

// checkRefusedAfterStart checks that a submission that was made after a start
// of its job is not refused. A refusal because the key belongs to a job with
// another body is allowed, since it says nothing about that job.
func (c *Cluster) checkRefusedAfterStart(s *submission) {
	at, started := c.firstStart[s.spec.Key]
	if s.op == routing.OpSubmit && s.outcome.Reason != job.ReasonKeyReused && started && at <= s.sent {
		c.fail(GuaranteeRefusedNotRun, fmt.Sprintf("job %s started at %v and was refused (%s: %s) when submitted at %v", s.spec.Key, at, s.outcome.Reason, s.outcome.Detail, s.sent))
	}
}

// checkRefusedNotStarted checks that a job whose submissions were all refused
// has not started.
func (c *Cluster) checkRefusedNotStarted(key ident.JobKey) {
	j := c.jobOf(key)
	if j == nil {
		return
	}
	for _, s := range j.submissions {
		if s.outcome.Reason == job.ReasonKeyReused {
			return
		}
		if !s.answered || s.outcome.Kind != job.Refused {
			return
		}
	}
	if at, started := c.firstStart[key]; started {
		c.fail(GuaranteeRefusedNotRun, fmt.Sprintf("job %s started at %v and every submission was refused, the last with %s: %s", key, at, j.lastSubmission().outcome.Reason, j.lastSubmission().outcome.Detail))
	}
}

func (j *callerJob) lastSubmission() *submission { return j.submissions[len(j.submissions)-1] }

func (c *Cluster) jobOf(key ident.JobKey) *callerJob {
	for i := len(c.jobs) - 1; i >= 0; i-- {
		if c.jobs[i].spec.Key == key {
			return c.jobs[i]
		}
	}
	return nil
}

// checkMonotonic checks that the version and the epoch of an agent's permit do
// not decrease.
func (c *Cluster) checkMonotonic(a *agentProcess, s permit.State) {
	if !s.Covers(a.newestPermitState) {
		c.fail(GuaranteeMonotonic, fmt.Sprintf("agent %s went from %v back to %v", a.incarnation, a.newestPermitState, s))
	}
	a.newestPermitState = a.newestPermitState.Join(s)
}

// checkAnswered checks that no request waits for its answer beyond its deadline
// plus the tolerance. Requests of dead entries count as lost.
func (c *Cluster) checkAnswered() {
	now := c.queue.Now()
	kept := c.unanswered[:0]
	for _, s := range c.unanswered {
		if s.answered || s.disconnected {
			continue
		}
		if s.entry.dead {
			c.outcomes.Lost++
			continue
		}
		kept = append(kept, s)
		if s.isLate(now) {
			c.fail(GuaranteeTerminates, fmt.Sprintf("the request of job %s received at %v with a deadline of %v has no answer", s.spec.Key, s.received, s.spec.Deadline))
		}
	}
	c.unanswered = kept
}

// isLate reports whether the answer of a running entry is overdue. An entry
// that was paused gets the tolerance again after it is resumed.
func (s *submission) isLate(now time.Duration) bool {
	if !s.accepted || s.entry.paused {
		return false
	}
	limit := s.received + s.spec.Deadline + answerTolerance
	return now > max(limit, s.entry.resumedAt+answerTolerance)
}

// epochSettleTime is the time after a change of the epoch during which a first
// attempt may still be refused because a former home of its key is gone. It
// covers the time to learn of the epoch, one lease, and twice the difference of
// clocks.
const epochSettleTime = warmUp + 3*time.Second

// settle ends all faults and checks that all jobs and requests end and that new
// jobs complete.
func (c *Cluster) settle() {
	c.endFaults()
	c.advance(settleTime)
	if c.violation != nil {
		return
	}
	for _, a := range c.agents {
		c.checkIdle(a)
	}
	for _, e := range c.entries {
		if n := e.core.InFlight(); n > 0 {
			c.fail(GuaranteeTerminates, fmt.Sprintf("entry %s still has %d requests after settling", e.incarnation, n))
		}
	}
	c.replaceRemoved()
	c.advance(epochSettleTime)
	c.checkNewJobsComplete()
}

// checkIdle checks that an agent has no active jobs and no tasks.
func (c *Cluster) checkIdle(a *agentProcess) {
	h, g := a.home.Load(), a.gate.Load()
	if h.Active > 0 || h.Waiting > 0 || g.Running > 0 || g.Queued > 0 {
		c.fail(GuaranteeTerminates, fmt.Sprintf("agent %s is not idle after settling: home %+v, gate %+v", a.incarnation, h, g))
	}
}

// checkNewJobsComplete submits new jobs through every entry and checks that
// they complete.
func (c *Cluster) checkNewJobsComplete() {
	const jobs = 6
	first := len(c.jobs)
	for i := range jobs {
		c.submitNew(i, 4*7+i)
	}
	c.advance(maxDeadline + answerTolerance)
	for _, j := range c.jobs[first:] {
		if o := j.lastSubmission().outcome; o.Kind != job.Complete {
			c.fail(GuaranteeRecovers, fmt.Sprintf("job %s submitted after all faults did not complete: %s %s: %s", j.spec.Key, o.Kind, o.Reason, o.Detail))
		}
	}
}
