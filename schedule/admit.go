package schedule

import (
	"hash/fnv"
	"slices"
	"time"

	"foxtaildock.example/dock/work"
)

// settleTime is how long a new entry takes every job, and one that was held up those
// for which it knows no backend server: its agents are still being attached, so what
// it knows of the room says little. A session is open within a few round trips.
const settleTime = 400 * time.Millisecond

// admit decides whether a job is taken. It returns the answer if it isn't: a job
// that can't end in time is turned away at once, before anything of it runs.
func (c *Core) admit(j *jobState) *Answer {
	capacity, largest := c.capacity(j)
	j.basis = c.basis(j, capacity)
	reason := c.admitReason(j, capacity, largest)
	if reason == "" {
		return nil
	}
	return &Answer{ID: j.ID, Verdict: Rejected, Reason: reason, RetryAfter: c.retryAfter(j), FirstStart: -1, Basis: j.basis}
}

func (c *Core) basis(j *jobState, capacity work.Demand) Basis {
	return Basis{
		ExpectedWait: c.expectedWait(j, capacity), AllowedWait: c.allowedWait(j), HeadWait: c.headWait(j),
		CapacityMilli: capacity.CPUMilli, Agents: len(c.order), RowsVersion: c.operator.Version,
	}
}

func (c *Core) admitReason(j *jobState, capacity, largest work.Demand) string {
	if c.now-c.began < settleTime {
		return ""
	}
	if capacity.CPUMilli <= 0 {
		if c.now-c.woke < settleTime {
			return "" // the entry's own pause has made its agents look silent
		}
		return "no backend server in service"
	}
	for i := range j.Steps {
		if !j.Steps[i].Demand.Fits(largest) {
			return "larger than every backend server"
		}
	}
	allowed := float64(j.basis.AllowedWait)
	if float64(j.basis.ExpectedWait) > waitShare*allowed && float64(j.basis.HeadWait) > standShare*allowed {
		return "too much work waits"
	}
	return ""
}

// standShare is the part of a job's spare time for which the first of those that
// wait must have waited already before another one is turned away. A queue that has
// only just formed is the ripple of a few arrivals, and is gone soon.
const standShare = 0.25

// headWait is how long the first job of the same priority has waited.
func (c *Core) headWait(j *jobState) time.Duration {
	for _, w := range c.waiting {
		if w.Route.Service == j.Route.Service && w.Route.Priority == j.Route.Priority && !w.late {
			return c.now - w.arrived
		}
	}
	return 0
}

// waitShare is the part of its spare time that a job may be expected to wait. The
// rest is for what the estimate can't know.
const waitShare = 0.45

// capacity is the room of all backend servers of the job's service, and the
// largest of each kind of room that one of them has.
func (c *Core) capacity(j *jobState) (sum, largest work.Demand) {
	for _, a := range c.order {
		if !c.mayStart(a) || !c.usable(a, j, &Step{}) {
			continue
		}
		room := a.server.Capacity
		sum = sum.Plus(room)
		largest.CPUMilli = max(largest.CPUMilli, room.CPUMilli)
		largest.MemoryMB = max(largest.MemoryMB, room.MemoryMB)
		largest.GPUs = max(largest.GPUs, room.GPUs)
	}
	return sum, largest
}

// allowedWait is how long a job may wait for its first start and still end within
// its objective.
func (c *Core) allowedWait(j *jobState) time.Duration {
	return j.aim - j.arrived - j.expected
}

// expectedWait is how long the jobs of the same priority that go first take, at
// the rate at which the entry has lately placed work of that priority. Work that is
// more urgent is in that rate: it leaves less of it.
func (c *Core) expectedWait(j *jobState, capacity work.Demand) time.Duration {
	ahead := 0.0 // in thousandths of a core, times nanoseconds
	for _, w := range c.waiting {
		if w.Route.Service != j.Route.Service || w.Route.Priority != j.Route.Priority || compareJobs(w, j) > 0 {
			continue
		}
		for s := range w.steps {
			left := w.Steps[s].Count - w.steps[s].next
			ahead += float64(left) * c.effort(w, s)
		}
	}
	if ahead == 0 {
		return 0
	}
	rate := c.placed.rate(j.Route.Priority, c.now)
	fair := float64(capacity.CPUMilli)*c.share(j) - c.placed.moreUrgent(j.Route.Priority, c.now)
	return time.Duration(ahead / max(rate, fair, 1))
}

// effort is the work of one task, in thousandths of a core, times nanoseconds.
func (c *Core) effort(j *jobState, step int) float64 {
	return float64(j.Steps[step].Demand.CPUMilli) * float64(c.expectedTask(j.Route.Name, &j.Steps[step]))
}

// minShare bounds the share of an entry from below, since one without any work
// under way gets its share as soon as it has some.
const minShare = 0.15

// share is the entry's part of what is under way at the backend servers.
func (c *Core) share(j *jobState) float64 {
	var all, mine int64
	for _, a := range c.order {
		if !a.attached || a.server.Service != j.Route.Service {
			continue
		}
		all += a.used.CPUMilli
		for _, q := range a.queued {
			all += q.Demand.CPUMilli
		}
		for task := range a.runs {
			if job := c.jobs[task.Job]; job != nil {
				mine += job.Steps[task.Step].Demand.CPUMilli
			}
		}
	}
	if all <= 0 {
		return 1
	}
	return min(max(float64(mine)/float64(all), minShare), 1)
}

// lateFactor is how many objectives a job may take and still be of some use to its
// caller.
const lateFactor = 3

// shed puts jobs that haven't begun and can no longer end in time behind the others
// of their priority, and turns away those that can no longer be of use.
func (c *Core) shed() {
	for _, j := range slices.Clone(c.waiting) {
		if j.offered {
			continue
		}
		waited := c.now - j.arrived
		if waited > lateFactor*(j.aim-j.arrived)-j.expected {
			c.finish(j, Rejected, "waited in vain")
			continue
		}
		if !j.late && waited > c.allowedWait(j) {
			c.dequeue(j)
			j.late = true
			c.enqueue(j)
		}
	}
}

// Bounds of the time after which a rejected caller should come back.
const (
	minRetryAfter = time.Second
	// spreadRetryAfter spreads callers that were turned away together.
	spreadRetryAfter = 3 * time.Second
)

// retryAfter spreads callers by a hash of their job.
func (c *Core) retryAfter(j *jobState) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID))
	return minRetryAfter + time.Duration(h.Sum32()%1000)*spreadRetryAfter/1000
}
