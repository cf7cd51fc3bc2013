package schedule

import (
	"hash/fnv"
	"slices"
	"time"

	"foxtaildock.example/dock/overload"
	"foxtaildock.example/dock/work"
)

// settlePeriod is how long a new entry admits every job, and how long an entry whose
// process was paused admits jobs for which it knows no backend server. Its agents are
// still attaching, so the known capacity is incomplete. A session opens within a few
// round trips.
const settlePeriod = 400 * time.Millisecond

// admit decides whether a job is admitted. It returns nil if so, otherwise the
// rejection.
//
// Three prospects are kept apart. A job that is expected to end in time takes its place
// by priority and arrival. One that is expected to be late, yet early enough to be of
// use to its caller, is admitted as late: it goes behind the jobs of its priority that
// can end in time, and its prospect is considered once more after reviewShare of its
// objective. A job that is expected to end too late for any use is rejected at once,
// before any task of it runs.
func (c *Core) admit(j *jobState) *Answer {
	capacity, largest := c.capacity(j)
	j.basis = c.basis(j, capacity)
	reason := c.admitReason(j, capacity, largest)
	if reason == "" {
		return nil
	}
	return &Answer{ID: j.ID, Verdict: Rejected, Reason: reason, RetryAfter: c.retryAfter(j, reason), FirstStart: -1, Basis: j.basis, Priority: j.Route.Priority}
}

func (c *Core) basis(j *jobState, capacity work.Demand) Basis {
	return Basis{
		ExpectedWait: c.expectedWait(j, capacity), AllowedWait: c.allowedWait(j), HeadWait: c.headWait(j),
		CapacityMilli: capacity.CPUMilli, Agents: len(c.order), RowsVersion: c.operator.Version,
		RateMilli: int64(c.priorityRate(j, capacity)), RateAge: c.placed.age(j.Route.Priority, c.now),
		ReservedMilli: c.reservedFor(j, false).Reserved(capacity.CPUMilli),
	}
}

func (c *Core) admitReason(j *jobState, capacity, largest work.Demand) string {
	if c.answerBy > 0 && !c.endsBeforeStop(j) {
		return reasonStopping
	}
	if c.now-c.startedAt < settlePeriod {
		return ""
	}
	if capacity.CPUMilli <= 0 {
		if c.now-c.resumedAt < settlePeriod {
			return "" // agents only seem unresponsive because the entry itself was paused
		}
		return "no backend server in service"
	}
	for i := range j.Steps {
		if !j.Steps[i].Demand.Fits(largest) {
			return reasonTooLarge
		}
	}
	if !c.expectedLate(j) {
		return ""
	}
	j.late, j.underReview = true, true
	j.basis.Prospect = overload.Late
	if c.expectedUseless(j, capacity) {
		j.basis.Prospect = overload.Hopeless
		return "too much work waits"
	}
	c.emit(AdmittedLate{ID: j.ID, Basis: j.basis})
	return ""
}

// drainShare is the part of the time until a stopping entry answers all jobs within which
// a new job must be expected to end. The rest is a margin, since a job that is interrupted
// has to be submitted again.
const drainShare = 0.5

// endsBeforeStop reports whether a job is expected to end well before the entry, which is
// stopping, answers all jobs.
func (c *Core) endsBeforeStop(j *jobState) bool {
	left := float64(c.answerBy - c.now)
	return float64(j.basis.ExpectedWait+j.expected) <= drainShare*left
}

// expectedUseless reports whether so much work goes before a late job that it is
// expected to end too late for any use.
func (c *Core) expectedUseless(j *jobState, capacity work.Demand) bool {
	left := j.usefulWait() - (c.now - j.arrived)
	return float64(c.expectedWait(j, capacity)) > usefulWaitShare*float64(left)
}

// expectedLate reports whether so much work waits that the job is expected to be late.
func (c *Core) expectedLate(j *jobState) bool {
	allowed := float64(j.basis.AllowedWait)
	return float64(j.basis.ExpectedWait) > waitShare*allowed && float64(j.basis.HeadWait) > headWaitShare*allowed
}

// headWaitShare is the part of a job's allowed wait for which the job at the head of
// the queue must already have waited before the new job counts as late. A queue that
// has only just formed comes from a few close arrivals and drains soon.
const headWaitShare = 0.25

// headWait returns the longest wait of the jobs of the same service and priority of which
// nothing was offered yet. Those that were put off count as well: a plan puts jobs off as soon
// as a queue stands.
func (c *Core) headWait(j *jobState) time.Duration {
	var longest time.Duration
	for _, w := range c.waiting {
		if w.Route.Service == j.Route.Service && w.Route.Priority == j.Route.Priority && !w.offered {
			longest = max(longest, c.now-w.arrived)
		}
	}
	return longest
}

const (
	// waitShare is the part of its allowed wait that a job may be expected to wait and
	// still counts as one that ends in time. The rest is a margin for errors of the
	// estimate.
	waitShare = 0.6
	// usefulWaitShare is the part of the wait after which its answer is of no use that a
	// job admitted as late may be expected to wait. The margin is wider than waitShare's,
	// since jobs that arrive later and can end in time go before it.
	usefulWaitShare = 0.2
	// reviewShare is the part of its objective after which the prospect of a job admitted
	// as late is considered again. A caller that is refused then can still go elsewhere.
	reviewShare = 0.2
)

// capacity returns the total capacity of the backend servers that may run the job,
// and for each resource the largest capacity that a single one of them has.
func (c *Core) capacity(j *jobState) (sum, largest work.Demand) {
	for _, a := range c.order {
		if !c.acceptsOffers(a) || !c.usable(a, j, &Step{}) {
			continue
		}
		own := a.server.Capacity
		sum = sum.Plus(own)
		largest.CPUMilli = max(largest.CPUMilli, own.CPUMilli)
		largest.MemoryMB = max(largest.MemoryMB, own.MemoryMB)
		largest.GPUs = max(largest.GPUs, own.GPUs)
	}
	return sum, largest
}

// allowedWait returns how long a job may wait for its first start and still end
// within its latency objective.
func (c *Core) allowedWait(j *jobState) time.Duration {
	return j.targetEnd - j.arrived - j.expected
}

// expectedWait returns how long it takes to start the work that is ahead of the job: at all
// entries if enough agents have reported their load, otherwise at this one.
func (c *Core) expectedWait(j *jobState, capacity work.Demand) time.Duration {
	if load, ok := c.fleetLoad(j.Route.Service, j.Route.Priority); ok {
		return c.fleetWait(j, &load)
	}
	return c.ownWait(j, capacity)
}

// fleetWait returns how long it takes to start the work of all entries that is at least as
// urgent as the job and ahead of it, at the rate that its priority may expect. It is zero
// while an agent has had free capacity for the job for longer than freeWithoutWait.
//
// Other entries' work is what the agents report less this entry's part of it. The part is
// that of the agents whose load is included. Agents don't report which jobs are late, so the
// share of the work that goes before the job is taken to be that of this entry.
func (c *Core) fleetWait(j *jobState, load *FleetLoad) time.Duration {
	all, ahead := c.ownAhead(j)
	included := float64(load.Agents) / float64(load.Usable)
	others := max(float64(load.WaitingCPUMs)-included*float64(all), 0)
	if all > 0 {
		others *= float64(ahead) / float64(all)
	}
	wait := (others + included*float64(ahead)) * float64(time.Millisecond) / max(load.RateMilli, 1)
	if wait > 0 && c.hasRoomFor(j) {
		return 0
	}
	return time.Duration(min(wait, float64(maxExpectedWait)))
}

// maxExpectedWait bounds the expected wait, which is unlimited if more urgent work takes the
// whole capacity.
const maxExpectedWait = time.Hour

// ownAhead returns the work of this entry that is at least as urgent as the job, and the part
// of it that goes before the job.
func (c *Core) ownAhead(j *jobState) (all, ahead int64) {
	all, ahead = c.ownWaiting(j.Route.Service, j.Route.Priority, j.late)
	if !j.queued {
		return all, ahead
	}
	for _, w := range c.waiting {
		if w.backlog.class == j.backlog.class && w.late == j.late && compareJobs(w, j) >= 0 {
			ahead -= w.backlog.cpuMs
		}
	}
	return all, ahead
}

// ownWait returns how long it takes to start the queued jobs of the same service
// and priority that are ahead of the job, at the rate at which the entry has recently
// placed work of that priority. More urgent work is accounted for in that rate, since
// it lowers it.
func (c *Core) ownWait(j *jobState, capacity work.Demand) time.Duration {
	ahead := 0.0 // in millicore-nanoseconds
	for _, w := range c.waiting {
		if w.Route.Service != j.Route.Service || w.Route.Priority != j.Route.Priority || compareJobs(w, j) > 0 {
			continue
		}
		ahead += c.waitingWork(w)
	}
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead / c.priorityRate(j, capacity))
}

// cpuWork returns the expected CPU work of one task, in millicore-nanoseconds.
func (c *Core) cpuWork(j *jobState, step int) float64 {
	return float64(j.Steps[step].Demand.CPUMilli) * float64(c.expectedTask(j.Route.Name, &j.Steps[step]))
}

// minShare is the lower bound of share. An entry without running work gets a share of
// the capacity as soon as it offers some.
const minShare = 0.15

// share returns the part of the CPU demand running or queued at the agents of the
// job's service that belongs to this entry, between minShare and 1. It is used while too
// few agents report their load.
func (c *Core) share(j *jobState) float64 {
	var total, own int64
	for _, a := range c.order {
		if !a.attached || a.server.Service != j.Route.Service {
			continue
		}
		total += a.used.CPUMilli
		for _, q := range a.queued {
			total += q.Demand.CPUMilli
		}
		for task := range a.runs {
			if job := c.jobs[task.Job]; job != nil {
				own += job.Steps[task.Step].Demand.CPUMilli
			}
		}
	}
	if total <= 0 {
		return 1
	}
	return min(max(float64(own)/float64(total), minShare), 1)
}

// lateFactor is the multiple of its latency objective up to which a late job is still
// useful to its caller.
const lateFactor = 3

// usefulWait returns how long the job may wait for its first start and still end early
// enough to be of use to its caller.
func (j *jobState) usefulWait() time.Duration {
	return lateFactor*(j.targetEnd-j.arrived) - j.expected
}

// shed handles jobs of which nothing was offered yet: it moves those that can no
// longer end in time behind the others of their priority, and rejects those that
// would end too late to be useful.
func (c *Core) shed() {
	for _, j := range slices.Clone(c.waiting) {
		if j.offered {
			continue
		}
		waited := c.now - j.arrived
		if c.reviewedUseless(j, waited) {
			j.basis.Prospect = overload.Hopeless
			c.finish(j, Rejected, "too much work waits")
			continue
		}
		if waited > j.usefulWait() {
			j.basis.Prospect = overload.Hopeless
			c.finish(j, Rejected, "waited in vain")
			continue
		}
		if !j.late && !j.hasObjective() && waited > c.allowedWait(j) {
			c.dequeue(j)
			j.late = true
			c.enqueue(j)
		}
	}
}

// reviewedUseless considers the prospect of a job admitted as late once more, when it has
// waited for reviewShare of its objective, and reports whether it has none.
func (c *Core) reviewedUseless(j *jobState, waited time.Duration) bool {
	if !j.underReview || float64(waited) <= reviewShare*float64(j.targetEnd-j.arrived) {
		return false
	}
	j.underReview = false
	capacity, _ := c.capacity(j)
	return c.expectedUseless(j, capacity)
}

// Range of the retry delay given to rejected callers.
const (
	minRetryAfter = time.Second
	// spreadRetryAfter is the jitter that spreads the retries of callers that were
	// rejected together.
	spreadRetryAfter = 3 * time.Second
)

// retryAfter returns the retry delay, with jitter derived from a hash of the job ID. It is
// short if only this entry refuses the job, since other entries admit it at once.
func (c *Core) retryAfter(j *jobState, reason string) time.Duration {
	if reason == reasonStopping {
		return minRetryAfter
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(j.ID))
	return minRetryAfter + time.Duration(h.Sum32()%1000)*spreadRetryAfter/1000
}
