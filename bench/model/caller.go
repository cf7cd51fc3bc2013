package model

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/routing"
)

// Shapes of jobs.
const (
	maxTasks    = 4
	minDeadline = time.Second
)

// callerJob is a job with everything its caller did and heard.
type callerJob struct {
	spec        *job.Spec
	first       time.Time
	submissions []*submission
}

// submission is one request to submit, cancel or look up a job.
type submission struct {
	job      *callerJob
	spec     *job.Spec
	entry    *entryProcess
	op       routing.Op
	id       ident.RequestID
	sent     time.Duration
	received time.Duration
	accepted bool // the entry has it
	answered bool
	hungUp   bool
	outcome  job.Outcome
}

// submitNew makes a job and submits it as a first attempt.
func (c *Cluster) submitNew(entry, shape int) {
	tasks := 1 + index(shape, maxTasks)
	deadline := minDeadline + time.Duration(index(shape/maxTasks, 8))*time.Second
	j := &callerJob{spec: c.newSpec(tasks, min(deadline, maxDeadline)), first: c.wallClock().Add(c.skew())}
	c.jobs = append(c.jobs, j)
	c.request(j, entry, routing.OpSubmit, true)
}

// maxSkew is how far a caller's clock may be off; home.Config.FreshSkew is more.
const maxSkew = 900 * time.Millisecond

// skew draws how far the clock of one caller is ahead.
func (c *Cluster) skew() time.Duration {
	return time.Duration(c.random.Int64N(int64(2*maxSkew))) - maxSkew
}

func (c *Cluster) newSpec(tasks int, deadline time.Duration) *job.Spec {
	key := ident.JobKey{Team: "tills", Key: fmt.Sprintf("job-%d", len(c.jobs))}
	spec := &job.Spec{Key: key, Service: service, Deadline: deadline}
	for i := range tasks {
		spec.Tasks = append(spec.Tasks, job.Task{Index: i, Payload: []byte(key.Key)})
	}
	return spec
}

func (c *Cluster) applyToJob(cmd Command) {
	if len(c.jobs) == 0 {
		return
	}
	j := c.jobs[len(c.jobs)-1-index(cmd.A, min(len(c.jobs), recentJobs))]
	switch cmd.Op {
	case OpResubmit:
		c.resubmit(j, cmd.B)
	case OpReuse:
		other := *j.spec
		other.Tasks = []job.Task{{Payload: []byte("another body")}}
		c.send(&submission{job: j, spec: &other, op: routing.OpSubmit}, cmd.B, false)
	case OpCancel:
		c.request(j, cmd.B, routing.OpCancel, false)
	case OpLookup:
		op := routing.OpState
		if cmd.B%2 == 1 {
			op = routing.OpWait
		}
		c.request(j, cmd.B, op, false)
	case OpHangUp:
		c.hangUp(j, cmd.B%2 == 0)
	}
}

// resubmit submits a job again. If every submission so far was refused nothing
// has started, so this one is a first attempt made now.
func (c *Cluster) resubmit(j *callerJob, entry int) {
	first := c.mutated(MutationAllFirst)
	if j.wasRefused() {
		first = true
		j.first = c.wallClock().Add(c.skew())
	}
	c.request(j, entry, routing.OpSubmit, first)
}

// wasRefused reports whether every submission so far was refused.
func (j *callerJob) wasRefused() bool {
	for _, s := range j.submissions {
		if !s.answered || s.outcome.Kind != job.Refused || s.outcome.Reason == job.ReasonKeyReused {
			return false
		}
	}
	return true
}

// recentJobs is how far back commands reach.
const recentJobs = 6

func (c *Cluster) request(j *callerJob, entry int, op routing.Op, first bool) {
	c.send(&submission{job: j, spec: j.spec, op: op}, entry, first)
}

// send brings a request to an entry.
func (c *Cluster) send(s *submission, entry int, first bool) {
	s.sent = c.queue.Now()
	s.entry = c.entries[index(entry, entryCount)]
	if s.op == routing.OpSubmit {
		s.job.submissions = append(s.job.submissions, s)
	}
	c.open = append(c.open, s)
	s.entry.after(c.delay(), func() {
		s.accepted = true
		s.received = c.queue.Now()
		r := routing.Request{Op: s.op, Key: s.spec.Key, First: first, FirstAttempt: s.job.first, Deadline: s.spec.Deadline}
		if c.mutated(MutationAllFirst) {
			r.FirstAttempt = c.wallClock()
		}
		if s.op == routing.OpSubmit {
			r.Spec = s.spec
		}
		s.id = s.entry.request(r, func(a routing.Action) { c.take(s, a) })
	})
}

// take is the caller getting its answer.
func (c *Cluster) take(s *submission, a routing.Action) {
	s.answered = true
	if r, ok := a.(routing.Reply); ok {
		s.outcome = r.Outcome
		c.checkOutcome(s)
	}
}

// hangUp ends the newest submission of a job that has no answer.
func (c *Cluster) hangUp(j *callerJob, heard bool) {
	for i := len(j.submissions) - 1; i >= 0; i-- {
		s := j.submissions[i]
		if s.answered || s.hungUp || !s.accepted {
			continue
		}
		s.hungUp = true
		if heard {
			s.entry.after(minDelay, func() { s.entry.hungUp(s.id) })
		}
		return
	}
}
