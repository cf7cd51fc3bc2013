package sitesim

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// checks is what the backend servers and the callers of a site see, held against
// what the system promises.
type checks struct {
	site *Site
	// runs are the live runs of each task, with the VMs that they are on.
	runs      map[work.Task][]*vm
	withdrawn map[ident.FailureDomain]time.Duration
	broken    []string
	useful    time.Duration
	lost      time.Duration
	began     map[work.Run]time.Duration
}

func newChecks(s *Site) *checks {
	return &checks{
		site: s, runs: map[work.Task][]*vm{}, withdrawn: map[ident.FailureDomain]time.Duration{},
		began: map[work.Run]time.Duration{},
	}
}

func (c *checks) fail(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%v: ", c.site.now())+fmt.Sprintf(format, args...))
}

// Bounds of the promises.
const (
	// drainBound and withdrawBound are the users': how long after a backend
	// server's notice, or an operators' row, a task may still start there.
	drainBound    = 2 * time.Second
	withdrawBound = 5 * time.Second
)

// liveRuns watches one backend server.
type liveRuns struct{ vm *vm }

// Began implements runserver.Watcher.
func (l *liveRuns) Began(at time.Duration, r work.Run) {
	v, c := l.vm, l.vm.site.checks
	c.runs[r.Task] = append(c.runs[r.Task], v)
	if n := len(c.runs[r.Task]); n > 1 {
		c.fail("task %v runs %d times at once; the newest run is on VM %d", r, n, v.index)
	}
	if !v.server.Used().Fits(v.capacity()) {
		c.fail("%v starts on VM %d over its capacity", r, v.index)
	}
	if v.drained != 0 && at-v.drained > drainBound {
		c.fail("%v starts on VM %d, which drains since %v", r, v.index, v.drained)
	}
	if since, out := c.withdrawn[c.site.domain(v.index)]; out && at-since > withdrawBound {
		c.fail("%v starts in a failure domain withdrawn since %v", r, since)
	}
	j := c.site.callers.jobs[string(r.Task.Job)]
	j.began = true
	if j.refused > 0 && j.refused == j.tries {
		c.fail("%v starts though its job was rejected", r)
	}
	c.began[r] = at
}

// Ended implements runserver.Watcher.
func (l *liveRuns) Ended(at time.Duration, r work.Run, how run.End) {
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
	took := at - c.began[r]
	if how == run.EndDone {
		c.site.callers.jobs[string(r.Task.Job)].done[r.Task] = true
		c.useful += took
		return
	}
	c.lost += took
}

func (c *checks) completed(j *callerJob) {
	if len(j.done) < len(j.tasks) {
		c.fail("job %s is answered as completed, but %d of its %d tasks are", j.job.ID, len(j.done), len(j.tasks))
	}
}

func (c *checks) rejected(j *callerJob) {
	if j.began && j.refused == j.tries {
		c.fail("job %s is rejected though a task of it has started", j.job.ID)
	}
}

func (c *checks) wasted() float64 {
	if c.useful+c.lost == 0 {
		return 0
	}
	return float64(c.lost) / float64(c.useful+c.lost)
}
