package schedule

import (
	"hash/fnv"
	"time"

	"foxtaildock.example/dock/work"
)

// admit decides whether a job is taken. It returns the answer if it isn't: a job
// that can't end in time is turned away at once, before anything of it runs.
func (c *Core) admit(j *jobState) *Answer {
	reason := c.admitReason(j)
	if reason == "" {
		return nil
	}
	return &Answer{ID: j.ID, Verdict: Rejected, Reason: reason, RetryAfter: c.retryAfter(j), FirstStart: -1}
}

func (c *Core) admitReason(j *jobState) string {
	capacity, largest := c.capacity(j)
	if capacity.CPUMilli <= 0 {
		return "no backend server in service"
	}
	for i := range j.Steps {
		if !j.Steps[i].Demand.Fits(largest) {
			return "larger than every backend server"
		}
	}
	if wait := c.expectedWait(j, capacity); wait > c.allowedWait(j) {
		return "too much work waits"
	}
	return ""
}

// capacity is the room of all backend servers of the job's service, and the
// largest of each kind of room that one of them has.
func (c *Core) capacity(j *jobState) (sum, largest work.Demand) {
	for _, a := range c.order {
		if !c.usable(a, j, &Step{}) {
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

// expectedWait is how long the work that goes before the job takes the entry's
// share of the backend servers.
func (c *Core) expectedWait(j *jobState, capacity work.Demand) time.Duration {
	ahead := 0.0 // in thousandths of a core, times nanoseconds
	for _, w := range c.waiting {
		if w.Route.Service != j.Route.Service || compareJobs(w, j) > 0 {
			continue
		}
		for s := range w.steps {
			left := w.Steps[s].Count - w.steps[s].next
			ahead += float64(left) * float64(w.Steps[s].Demand.CPUMilli) * float64(c.expectedTask(w.Route.Name, &w.Steps[s]))
		}
	}
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead / (float64(capacity.CPUMilli) * c.share(j)))
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
		all += a.used.CPUMilli + a.queued.CPUMilli
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

// shed turns away jobs that haven't begun and can no longer end in time.
func (c *Core) shed() {
	for _, j := range c.sortedJobs() {
		if j.offered || !j.queued {
			continue
		}
		if c.now-j.arrived > c.allowedWait(j) {
			c.finish(j, Rejected, "waited in vain")
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
