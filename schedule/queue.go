package schedule

import (
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/overload"
	"foxtaildock.example/dock/work"
)

const (
	// planInterval is the least time between two plans of the queues.
	planInterval = 10 * time.Millisecond
	// maxPlanned is the number of waiting jobs of a service and priority that are planned.
	// The others keep their order.
	maxPlanned = 1000
)

// reasonHopeless is why a job that can't start early enough to be of use is refused.
const reasonHopeless = "can't start before it is of no use"

// queuePlans holds the buffers of the plans.
type queuePlans struct {
	planner   overload.Planner
	plannedAt time.Duration
	states    []*jobState
	jobs      []overload.Job
	sizes     map[string]*overload.Sizes // by route name
	rates     map[queueKey]*plannedRate
	// putOff is the number of jobs put off in the last plans.
	putOff int
	// unsorted is true if the rank of a waiting job has changed.
	unsorted bool
}

// hasObjective reports whether the job's route has a latency objective. Only such jobs are
// ordered by their latest start.
func (j *jobState) hasObjective() bool {
	return j.Route.Stretch > 0 || j.Route.TargetLatency > 0
}

func (j *jobState) latestStart() time.Duration { return j.targetEnd - j.expected }

// queueKey identifies the queue of a service and priority.
type queueKey struct {
	service  ident.Service
	priority work.Priority
}

// planQueues plans the queue of each service and priority in which work waits.
func (c *Core) planQueues() {
	if c.now-c.plans.plannedAt < planInterval {
		return
	}
	c.plans.putOff = 0
	c.plans.plannedAt = c.now
	var done []queueKey
	for _, j := range slices.Clone(c.waiting) {
		key := queueKey{j.Route.Service, j.Route.Priority}
		if j.hasObjective() && !slices.Contains(done, key) {
			done = append(done, key)
			c.planQueue(key, j)
		}
	}
	c.restoreOrder()
}

// planQueue marks the jobs of a queue that are put off, and refuses the hopeless ones. A job
// counts as in time while it is expected to wait for no more than waitShare of its allowed
// wait, as on admission.
func (c *Core) planQueue(key queueKey, first *jobState) {
	p := &c.plans
	p.states, p.jobs = p.states[:0], p.jobs[:0]
	for _, j := range c.waiting {
		if j.Route.Service != key.service || j.Route.Priority != key.priority || !j.hasObjective() {
			continue
		}
		if len(p.jobs) == maxPlanned {
			break
		}
		p.states = append(p.states, j)
		p.jobs = append(p.jobs, overload.Job{
			LatestStart:  j.arrived + time.Duration(waitShare*float64(c.allowedWait(j))),
			LatestUseful: c.latestUseful(j), Work: c.waitingWork(j),
			Started: j.offered, Protected: c.sizes(j).Protected(c.now, j.class), Order: j.arrivalOrder,
		})
	}
	capacity, _ := c.capacity(first)
	if capacity.CPUMilli <= 0 {
		return // agents are attaching or unreachable for a moment; nothing is known of the rate
	}
	rate := c.priorityRate(first, capacity)
	if c.headWait(first) > rateWindow {
		rate = c.placed.rate(key.priority, c.now) // a queue stands, so this is all that it gets
	}
	prospects := p.planner.Plan(c.now, c.plannedRate(key, rate), p.jobs)
	for i, j := range p.states {
		if late := prospects[i] != overload.InTime; late != j.late && !j.offered {
			j.late = late
			c.countBacklog(j)
			p.unsorted = true
		}
		if prospects[i] == overload.Late {
			p.putOff++
		}
		if prospects[i] == overload.Hopeless && c.now-max(c.startedAt, c.resumedAt) >= settlePeriod && !c.hasRoomFor(j) {
			j.basis = c.basis(j, capacity)
			j.basis.Prospect = overload.Hopeless
			c.finish(j, Rejected, reasonHopeless)
		}
	}
}

// latestUseful returns the latest start up to which a job that is put off is kept. It has to
// be expected to start well before it is of no use, since jobs that arrive later go before
// it. Kept up to the last moment, such jobs held slots late that others needed in time.
func (c *Core) latestUseful(j *jobState) time.Duration {
	left := j.usefulWait() - (c.now - j.arrived)
	return c.now + time.Duration(usefulWaitShare*float64(left))
}

// restoreOrder sorts the waiting jobs again after the rank of some has changed.
func (c *Core) restoreOrder() {
	if c.plans.unsorted {
		c.plans.unsorted = false
		slices.SortFunc(c.waiting, compareJobs)
	}
}

// waitingWork returns the CPU work of the job's tasks that were not offered yet, in
// millicore-nanoseconds.
func (c *Core) waitingWork(j *jobState) float64 {
	sum := 0.0
	for s := range j.steps {
		sum += float64(j.Steps[s].Count-j.steps[s].next) * c.cpuWork(j, s)
	}
	return sum
}

// priorityRate returns the CPU rate that the work of the job's service and priority may
// expect at this entry, in thousandths of a core: what the entry has lately placed of it,
// or its share of the capacity less more urgent work and the room left to such work. Plans
// use it also where the fleet's load is known: the rate of the fleet, divided by the waiting
// work, says little about the few jobs of one entry (docs/design/fleet-load.md).
func (c *Core) priorityRate(j *jobState, capacity work.Demand) float64 {
	rate := c.placed.rate(j.Route.Priority, c.now)
	fairShare := float64(capacity.CPUMilli)*c.share(j) - c.placed.moreUrgent(j.Route.Priority, c.now)
	fairShare -= c.share(j) * float64(c.reservedFor(j, false).Reserved(capacity.CPUMilli))
	return max(rate, fairShare, 1)
}

// plannedRateWindow is the time constant with which the rates of the plans are averaged. Jobs
// wait for up to seconds, while the rate at which work is placed varies with each burst of
// more urgent work.
const plannedRateWindow = time.Second

type plannedRate struct {
	value float64
	at    time.Duration
}

// plannedRate returns the average of the rate of a queue.
func (c *Core) plannedRate(key queueKey, rate float64) float64 {
	r := c.plans.rates[key]
	if r == nil {
		r = &plannedRate{value: rate}
		c.plans.rates[key] = r
	} else {
		r.value += (rate - r.value) * (1 - math.Exp(-float64(c.now-r.at)/float64(plannedRateWindow)))
	}
	r.at = c.now
	return r.value
}

// sizes returns how the jobs of the job's route have fared by size.
func (c *Core) sizes(j *jobState) *overload.Sizes {
	s := c.plans.sizes[j.Route.Name]
	if s == nil {
		s = &overload.Sizes{}
		c.plans.sizes[j.Route.Name] = s
	}
	return s
}

// recordSize gives an arriving job its size class within its route.
func (c *Core) recordSize(j *jobState) {
	if j.hasObjective() {
		millicoreSeconds := c.waitingWork(j) / float64(time.Second)
		j.class = c.sizes(j).Classify(int64(millicoreSeconds))
	}
}

// recordService counts how a job fared for the served share of its size class. Jobs that
// ended for another reason than the time that they took say nothing about it.
func (c *Core) recordService(j *jobState, v Verdict, reason string) {
	if !j.hasObjective() {
		return
	}
	switch {
	case v == Completed:
		c.sizes(j).Ended(c.now, j.class, c.now <= j.targetEnd)
	case v == TimedOut, v == Rejected && reason != reasonStopping:
		c.sizes(j).Ended(c.now, j.class, false)
	}
}
