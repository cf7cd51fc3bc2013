package model

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/routing"
)

// Limits of the shape of generated jobs.
const (
	maxTasks    = 4
	minDeadline = time.Second
)

// callerJob is a job with all requests of its caller and their answers.
type callerJob struct {
	spec         *job.Spec
	firstAttempt time.Time
	submissions  []*submission
}

// submission is one request to submit, cancel or look up a job.
type submission struct {
	job          *callerJob
	spec         *job.Spec
	entry        *entryProcess
	op           routing.Op
	id           ident.RequestID
	sent         time.Duration
	received     time.Duration
	accepted     bool // the entry has received it
	answered     bool
	disconnected bool
	outcome      job.Outcome
}

// submitNew creates a job and submits it as a first attempt. The shape selects
// the number of tasks and the deadline.
func (c *Cluster) submitNew(entry, shape int) {
	tasks := 1 + index(shape, maxTasks)
	deadline := minDeadline + time.Duration(index(shape/maxTasks, 8))*time.Second
	j := &callerJob{spec: c.newSpec(tasks, min(deadline, maxDeadline)), firstAttempt: c.wallClock().Add(c.skew())}
	c.jobs = append(c.jobs, j)
	c.request(j, entry, routing.OpSubmit, true)
}

// maxSkew is the maximum error of a caller's clock. It is below
// home.Config.FreshSkew.
const maxSkew = 900 * time.Millisecond

// skew draws by how much the clock of one caller is ahead; it may be negative.
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
	case OpReuseKey:
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
	case OpDisconnect:
		c.disconnect(j, cmd.B%2 == 0)
	}
}

// resubmit submits a job again. If every submission so far was refused, nothing
// has started, so this submission is a first attempt made now.
func (c *Cluster) resubmit(j *callerJob, entry int) {
	first := c.mutated(MutationAllFirstAttempts)
	if j.allRefused() {
		first = true
		j.firstAttempt = c.wallClock().Add(c.skew())
	}
	c.request(j, entry, routing.OpSubmit, first)
}

// allRefused reports whether every submission so far was refused.
func (j *callerJob) allRefused() bool {
	for _, s := range j.submissions {
		if !s.answered || s.outcome.Kind != job.Refused || s.outcome.Reason == job.ReasonKeyReused {
			return false
		}
	}
	return true
}

// recentJobs is the number of newest jobs that commands apply to.
const recentJobs = 6

func (c *Cluster) request(j *callerJob, entry int, op routing.Op, first bool) {
	c.send(&submission{job: j, spec: j.spec, op: op}, entry, first)
}

// send sends a request to an entry.
func (c *Cluster) send(s *submission, entry int, first bool) {
	s.sent = c.queue.Now()
	s.entry = c.entries[index(entry, entryCount)]
	if s.op == routing.OpSubmit {
		s.job.submissions = append(s.job.submissions, s)
	}
	c.unanswered = append(c.unanswered, s)
	s.entry.after(c.delay(), func() {
		s.accepted = true
		s.received = c.queue.Now()
		r := routing.Request{Op: s.op, Key: s.spec.Key, First: first, FirstAttempt: s.job.firstAttempt, Deadline: s.spec.Deadline}
		if c.mutated(MutationAllFirstAttempts) {
			r.FirstAttempt = c.wallClock()
		}
		if s.op == routing.OpSubmit {
			r.Spec = s.spec
		}
		s.id = s.entry.request(r, func(a routing.Action) { c.receiveAnswer(s, a) })
	})
}

// receiveAnswer records the answer at the caller and checks it.
func (c *Cluster) receiveAnswer(s *submission, a routing.Action) {
	s.answered = true
	if r, ok := a.(routing.Reply); ok {
		s.outcome = r.Outcome
		c.checkOutcome(s)
	}
}

// disconnect makes the caller of the newest unanswered submission of a job
// disconnect. If notified is false, its entry gets no notice of it.
func (c *Cluster) disconnect(j *callerJob, notified bool) {
	for i := len(j.submissions) - 1; i >= 0; i-- {
		s := j.submissions[i]
		if s.answered || s.disconnected || !s.accepted {
			continue
		}
		s.disconnected = true
		if notified {
			s.entry.after(minDelay, func() { s.entry.callerGone(s.id) })
		}
		return
	}
}
