package sitesim

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// checks compares what the backend servers and the callers of a site see with the
// guarantees of the system.
type checks struct {
	site *Site
	// runs lists, for each task, the VMs on which a run of it is active.
	runs       map[work.Task][]*vm
	withdrawn  map[ident.FailureDomain]time.Duration
	violations []string
	usefulTime time.Duration
	wastedTime time.Duration
	startedAt  map[work.Run]time.Duration
}

func newChecks(s *Site) *checks {
	return &checks{
		site: s, runs: map[work.Task][]*vm{}, withdrawn: map[ident.FailureDomain]time.Duration{},
		startedAt: map[work.Run]time.Duration{},
	}
}

func (c *checks) fail(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.site.now())+fmt.Sprintf(format, args...))
}

// Bounds of the guarantees.
const (
	// drainBound and withdrawBound are set by the users: how long after a backend
	// server reports that it drains, or after an operators' row withdraws its failure
	// domain, a task may still start there.
	drainBound    = 2 * time.Second
	withdrawBound = 5 * time.Second
)

// runWatcher records and checks the runs of one backend server.
type runWatcher struct{ vm *vm }

// Began implements runserver.Watcher.
func (l *runWatcher) Began(at time.Duration, r work.Run) {
	v, c := l.vm, l.vm.site.checks
	c.runs[r.Task] = append(c.runs[r.Task], v)
	if n := len(c.runs[r.Task]); n > 1 {
		c.fail("task %v runs %d times at once; the newest run is on VM %d", r, n, v.index)
	}
	if !v.server.Used().Fits(v.capacity()) {
		c.fail("%v starts on VM %d over its capacity", r, v.index)
	}
	if v.drainReportedAt != 0 && at-v.drainReportedAt > drainBound {
		c.fail("%v starts on VM %d, which has been draining since %v", r, v.index, v.drainReportedAt)
	}
	if since, out := c.withdrawn[c.site.domain(v.index)]; out && at-since > withdrawBound {
		c.fail("%v starts in a failure domain withdrawn since %v", r, since)
	}
	j := c.site.callers.jobs[string(r.Task.Job)]
	j.started = true
	if j.rejections > 0 && j.rejections == j.submissions {
		c.fail("%v starts although its job was rejected", r)
	}
	c.startedAt[r] = at
}

// freeTime is how long a server may be free while a job is refused: about the age of an
// entry's view of its servers.
const freeTime = 20 * time.Millisecond

// hasFree reports whether a server that the entry reaches has had room for a task of the
// first kind for longer than freeTime.
func (c *checks) hasFree(e *entryNode) bool {
	for i, l := range e.links {
		v := c.site.vms[i]
		if l == nil || !l.open || !v.alive || v.server == nil || v.state.silent || v.state.draining || c.site.operator.IsWithdrawn(c.site.domain(i)) {
			continue
		}
		if !v.full() && c.site.now()-v.busyAt > freeTime {
			return true
		}
	}
	return false
}

// full reports whether the server has no room for a task of the first kind.
func (v *vm) full() bool {
	return !v.server.Used().Plus(v.site.cfg.Kinds[0].Demand).Fits(v.capacity())
}

// Ended implements runserver.Watcher.
func (l *runWatcher) Ended(at time.Duration, r work.Run, how run.End) {
	c := l.vm.site.checks
	left := c.runs[r.Task][:0]
	removed := false
	for _, v := range c.runs[r.Task] {
		if v == l.vm && !removed {
			removed = true
			continue
		}
		left = append(left, v)
	}
	c.runs[r.Task] = left
	if l.vm.server != nil && !l.vm.server.Used().Plus(c.site.callers.task(r.Task).demand).Plus(c.site.cfg.Kinds[0].Demand).Fits(l.vm.capacity()) {
		l.vm.busyAt = at
	}
	took := at - c.startedAt[r]
	if how == run.EndDone {
		c.site.callers.jobs[string(r.Task.Job)].done[r.Task] = true
		c.usefulTime += took
		return
	}
	c.wastedTime += took
}

func (c *checks) completed(j *callerJob) {
	if len(j.done) < len(j.tasks) {
		c.fail("job %s is answered as completed, but only %d of its %d tasks are", j.job.ID, len(j.done), len(j.tasks))
	}
}

func (c *checks) rejected(j *callerJob) {
	if j.started && j.rejections == j.submissions {
		c.fail("job %s is rejected although one of its tasks has started", j.job.ID)
	}
}

func (c *checks) wasted() float64 {
	if c.usefulTime+c.wastedTime == 0 {
		return 0
	}
	return float64(c.wastedTime) / float64(c.usefulTime+c.wastedTime)
}
