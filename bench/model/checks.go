package model

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/routing"
)

// checkOutcome checks an answer at the moment its caller gets it.
func (c *Cluster) checkOutcome(s *submission) {
	o := &s.outcome
	if s.op == routing.OpSubmit {
		c.count(o.Kind)
		c.checkPlanned(s)
	}
	switch o.Kind {
	case job.Complete:
		c.checkWhole(s)
	case job.Refused:
		c.checkRefusal(s)
		c.checkRefused(s.spec.Key)
	case job.Failed:
		if len(o.Results) > 0 {
			c.fail(RuleWhole, fmt.Sprintf("job %s failed with %d results", s.spec.Key, len(o.Results)))
		}
	default:
		c.fail(RuleWhole, fmt.Sprintf("job %s has an outcome of no kind", s.spec.Key))
	}
}

// checkPlanned checks that a job completes if there are no faults. Its record is
// kept for the retention time only.
func (c *Cluster) checkPlanned(s *submission) {
	o := &s.outcome
	age := c.wallClock().Sub(s.job.first)
	if o.Reason == job.ReasonTooOld && age > retention {
		return
	}
	if c.trace.Planned && o.Kind != job.Complete {
		c.fail(RulePlanned, fmt.Sprintf("job %s made at %v: %s %s: %s", s.spec.Key, s.sent, o.Kind, o.Reason, o.Detail))
	}
}

func (c *Cluster) count(k job.Kind) {
	switch k {
	case job.Complete:
		c.outcomes.Complete++
	case job.Failed:
		c.outcomes.Failed++
	case job.Refused:
		c.outcomes.Refused++
	}
}

// checkWhole checks a complete answer.
func (c *Cluster) checkWhole(s *submission) {
	want := s.answeredSpec()
	if len(s.outcome.Results) != len(want.Tasks) {
		c.fail(RuleWhole, fmt.Sprintf("job %s has %d results for %d tasks", want.Key, len(s.outcome.Results), len(want.Tasks)))
		return
	}
	for i, r := range s.outcome.Results {
		id := ident.TaskID{Job: want.Key, Index: i}
		if r.Index != i || string(r.Body) != body(id, want.Tasks[i].Payload) {
			c.fail(RuleWhole, fmt.Sprintf("result %d of job %s is %q", i, want.Key, r.Body))
			return
		}
		if c.starts[id] != 1 {
			c.fail(RuleWhole, fmt.Sprintf("job %s is complete but task %d started %d times", want.Key, i, c.starts[id]))
			return
		}
	}
}

// answeredSpec is the body that an answer speaks of. A cancellation or look-up
// names the key only, so it gets the answer for the body that came first.
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

// isAnswerOf reports whether the first result is one of the body's first task.
func isAnswerOf(o *job.Outcome, spec *job.Spec) bool {
	first := ident.TaskID{Job: spec.Key}
	return len(o.Results) > 0 && string(o.Results[0].Body) == body(first, spec.Tasks[0].Payload)
}

// checkRefusal checks that a submission that was made after a start of its job
// is not refused. That a key belongs to a job with another body says nothing
// about that job.
func (c *Cluster) checkRefusal(s *submission) {
	at, started := c.firstStart[s.spec.Key]
	if s.op == routing.OpSubmit && s.outcome.Reason != job.ReasonKeyReused && started && at <= s.sent {
		c.fail(RuleRefusedNotRun, fmt.Sprintf("job %s started at %v and was refused (%s: %s) when submitted at %v", s.spec.Key, at, s.outcome.Reason, s.outcome.Detail, s.sent))
	}
}

// checkRefused checks that a job of which every submission was refused has not
// started.
func (c *Cluster) checkRefused(key ident.JobKey) {
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
		c.fail(RuleRefusedNotRun, fmt.Sprintf("job %s started at %v and every submission was refused, the last with %s: %s", key, at, j.last().outcome.Reason, j.last().outcome.Detail))
	}
}

func (j *callerJob) last() *submission { return j.submissions[len(j.submissions)-1] }

func (c *Cluster) jobOf(key ident.JobKey) *callerJob {
	for i := len(c.jobs) - 1; i >= 0; i-- {
		if c.jobs[i].spec.Key == key {
			return c.jobs[i]
		}
	}
	return nil
}

// checkMonotonic checks that no permit goes back.
func (c *Cluster) checkMonotonic(a *agentProcess, s permit.State) {
	if !s.Covers(a.newest) {
		c.fail(RuleMonotonic, fmt.Sprintf("agent %s went from %v back to %v", a.incarnation, a.newest, s))
	}
	a.newest = a.newest.Join(s)
}

// checkAnswered checks that nobody waits beyond its deadline.
func (c *Cluster) checkAnswered() {
	now := c.queue.Now()
	kept := c.open[:0]
	for _, s := range c.open {
		if s.answered || s.hungUp {
			continue
		}
		if s.entry.dead {
			c.outcomes.Lost++
			continue
		}
		kept = append(kept, s)
		if s.isLate(now) {
			c.fail(RuleSettles, fmt.Sprintf("the request of job %s received at %v with %v to go has no answer", s.spec.Key, s.received, s.spec.Deadline))
		}
	}
	c.open = kept
}

// isLate reports whether a live entry owes an answer.
func (s *submission) isLate(now time.Duration) bool {
	if !s.accepted || s.entry.paused {
		return false
	}
	limit := s.received + s.spec.Deadline + answerSlack
	return now > max(limit, s.entry.wasPaused+answerSlack)
}

// epochQuiet is the time after a change of the epoch in which a first attempt may
// still be refused, since a former home of its key is gone: the time to learn of
// the epoch, a lease, and twice the difference of clocks.
const epochQuiet = warmUp + 3*time.Second

// settle ends all faults and checks that everything comes to an end and that
// the system works again.
func (c *Cluster) settle() {
	c.endFaults()
	c.advance(settleTime)
	if c.broken != nil {
		return
	}
	for _, a := range c.agents {
		c.checkIdle(a)
	}
	for _, e := range c.entries {
		if n := e.core.InFlight(); n > 0 {
			c.fail(RuleSettles, fmt.Sprintf("entry %s still has %d requests", e.incarnation, n))
		}
	}
	c.replaceRemoved()
	c.advance(epochQuiet)
	c.checkWorks()
}

func (c *Cluster) checkIdle(a *agentProcess) {
	h, g := a.home.Load(), a.gate.Load()
	if h.Active > 0 || h.Waiting > 0 || g.Running > 0 || g.Queued > 0 {
		c.fail(RuleSettles, fmt.Sprintf("agent %s still has %+v %+v", a.incarnation, h, g))
	}
}

// checkWorks submits new jobs through every entry and expects them complete.
func (c *Cluster) checkWorks() {
	const jobs = 6
	from := len(c.jobs)
	for i := range jobs {
		c.submitNew(i, 4*7+i)
	}
	c.advance(maxDeadline + answerSlack)
	for _, j := range c.jobs[from:] {
		if o := j.last().outcome; o.Kind != job.Complete {
			c.fail(RuleWorks, fmt.Sprintf("job %s after all faults: %s %s: %s", j.spec.Key, o.Kind, o.Reason, o.Detail))
		}
	}
}
