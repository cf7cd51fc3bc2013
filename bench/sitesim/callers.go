package sitesim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/work"
)

// callers simulates all callers. They send jobs, and send them again when an answer is
// lost.
type callers struct {
	site            *Site
	jobs            map[string]*callerJob
	list            []*callerJob
	disconnectShare float64
}

// callerJob is one job from the view of its caller.
type callerJob struct {
	job         schedule.Job
	kind        *Kind
	tasks       []time.Duration // actual run times
	sent        time.Duration
	deadline    time.Duration
	entry       *entryNode
	submissions int
	rejections  int // submissions that were rejected
	// answerLost says that the answer to the last submission was lost.
	answerLost   bool
	verdict      schedule.Verdict
	ended        time.Duration
	disconnected bool
	done         map[work.Task]bool
	started      bool
	// home is the entry that the job is sent to first, -1 before that if any will do.
	home int
	// work is the run time of all tasks without stragglers.
	work        time.Duration
	refusedFree bool // rejected although a server was free
}

// actualTask holds the actual properties of a task, in contrast to its estimate.
type actualTask struct {
	demand    work.Demand
	length    time.Duration
	failShare float64
}

func (c *callers) task(t work.Task) actualTask {
	j := c.jobs[string(t.Job)]
	return actualTask{demand: j.kind.Demand, length: j.tasks[t.Index], failShare: j.kind.FailShare}
}

// schedule schedules all arrivals.
func (c *callers) schedule() {
	s := c.site
	for k := range s.cfg.Kinds {
		kind := &s.cfg.Kinds[k]
		at := time.Duration(0)
		for n := 0; ; n++ {
			rate := kind.PerSecond * s.cfg.Rate(at) * c.locationRate(at)
			if kind.Rate != nil {
				rate *= kind.Rate(at)
			}
			at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.cfg.Length {
				break
			}
			j := c.newJob(kind, n)
			j.home = c.drawLocation(at)
			s.at(warmUp+at, func() { c.arrive(j) })
		}
	}
}

// locationRate returns the sum of the rates of all locations, 1 if there are none.
func (c *callers) locationRate(at time.Duration) float64 {
	if len(c.site.cfg.Locations) == 0 {
		return 1
	}
	sum := 0.0
	for i := range c.site.cfg.Locations {
		sum += c.site.cfg.Locations[i].rate(at)
	}
	return sum
}

// drawLocation returns the location of a job, -1 if there are none.
func (c *callers) drawLocation(at time.Duration) int {
	list := c.site.cfg.Locations
	if len(list) == 0 {
		return -1
	}
	left := c.site.random.Float64() * c.locationRate(at)
	for i := range list {
		if left -= list[i].rate(at); left < 0 {
			return i
		}
	}
	return len(list) - 1
}

func (c *callers) newJob(kind *Kind, number int) *callerJob {
	r := c.site.random
	width := max(1, int(math.Round(float64(kind.Width)*math.Exp(0.4*r.NormFloat64()-0.08))))
	if kind.MaxWidth > 0 {
		width = min(width, kind.MaxWidth)
	}
	mean := float64(kind.Work) * math.Exp(kind.Spread*r.NormFloat64()-kind.Spread*kind.Spread/2)
	j := &callerJob{kind: kind, done: map[work.Task]bool{}}
	for range width {
		task := mean * (1 + 0.15*(2*r.Float64()-1))
		j.work += time.Duration(task)
		if share := c.site.cfg.StragglerShare; share > 0 && r.Float64() < share {
			task *= c.site.cfg.StragglerFactor
		}
		j.tasks = append(j.tasks, time.Duration(task))
	}
	estimate := mean * (1 + kind.MaxEstimateError*(2*r.Float64()-1))
	j.job = schedule.Job{
		ID: work.JobID(fmt.Sprintf("%s-%d", kind.Route.Name, number)), Route: kind.Route,
		Steps: []schedule.Step{{Count: width, Demand: kind.Demand, Estimate: time.Duration(estimate)}},
	}
	c.jobs[string(j.job.ID)] = j
	c.list = append(c.list, j)
	return j
}

func (c *callers) arrive(j *callerJob) {
	j.sent = c.site.now()
	j.deadline = j.sent + j.kind.CallerTimeout
	if c.site.random.Float64() < c.disconnectShare {
		c.site.after(j.kind.CallerTimeout/8, func() { c.disconnect(j) })
	}
	c.submit(j)
}

// submit sends the job to the entry of its location, and after that to a random running
// entry other than the last one.
func (c *callers) submit(j *callerJob) {
	if j.verdict != 0 || j.disconnected || c.site.now() >= j.deadline {
		return
	}
	j.submissions++
	j.answerLost = false
	var up []*entryNode
	for _, e := range c.site.entries {
		if e.alive && e != j.entry {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		j.answerLost = true
		c.resubmitLater(j)
		return
	}
	var e *entryNode
	if j.submissions == 1 && j.home >= 0 && c.site.entries[j.home].alive {
		e = c.site.entries[j.home]
	} else {
		e = up[c.site.random.IntN(len(up))]
	}
	if j.home < 0 {
		j.home = e.index
	}
	j.entry = e
	generation := e.generation
	submission := j.submissions
	c.site.after(c.site.cfg.Delay, func() {
		e.deliver(generation, func() {
			if j.submissions == submission {
				job := j.job
				job.Deadline = j.deadline
				e.step(schedule.JobArrived{Job: job})
			}
		})
	})
}

func (c *callers) resubmitLater(j *callerJob) {
	c.site.after(c.site.cfg.Resend, func() { c.submit(j) })
}

// disconnect closes the connection of a caller, which its entry notices.
func (c *callers) disconnect(j *callerJob) {
	if j.verdict != 0 {
		return
	}
	j.disconnected = true
	e := j.entry
	e.deliver(e.generation, func() { e.step(schedule.JobDropped{ID: j.job.ID, Reason: "caller left"}) })
}

// entryLost closes the connections of callers to an entry that has ended. They send
// their jobs again.
func (c *callers) entryLost(e *entryNode) {
	for _, j := range c.list {
		if j.entry == e && j.sent > 0 && j.verdict == 0 && !j.disconnected && !j.answerLost {
			j.answerLost = true
			c.resubmitLater(j)
		}
	}
}

// answered processes an entry's answer.
func (c *callers) answered(e *entryNode, a schedule.Answer) {
	j := c.jobs[string(a.ID)]
	if j == nil || j.entry != e || j.verdict != 0 || j.disconnected {
		return
	}
	switch a.Verdict {
	case schedule.Completed:
		c.site.checks.completed(j)
	case schedule.Rejected:
		j.rejections++
		j.refusedFree = c.site.checks.hasFree(e)
		c.site.checks.rejected(j)
	}
	j.verdict = a.Verdict
	j.ended = c.site.now()
}

// Result sums up what callers saw.
type Result struct {
	Kinds []KindResult
	// Benefit is the worth of the answers over the worth of all jobs.
	Benefit float64
	// Wasted is the share of run time that went into runs that did not complete.
	Wasted float64
	Jobs   int
	// RejectedLate is the worth of jobs that were rejected later than a quarter of
	// their objective, over the worth of all jobs.
	RejectedLate float64
	// Served is the share of jobs that were completed within three times their
	// objective.
	Served float64
	// Unanswered is the number of jobs that got no final answer although their
	// callers waited.
	Unanswered int
	// Outcomes are those of all jobs whose callers waited, by kind and time of arrival.
	Outcomes []Outcome
}

// KindResult sums up what the callers of one kind of job saw.
type KindResult struct {
	Name                                          string
	Jobs, WithinObjective, Late, Rejected, Failed int
	TimedOut                                      int
	P50, P99                                      time.Duration
	RejectedAfter, MaxRejectedAfter, Worth        float64 // ms, ms, share of the worth of all jobs
}

// lateLimit is the multiple of the objective up to which an answer has its LateWorth.
const lateLimit = 3

func (c *callers) result() *Result {
	r := &Result{Wasted: c.site.checks.wasted()}
	earned, offered := 0.0, 0.0
	for k := range c.site.cfg.Kinds {
		kind := &c.site.cfg.Kinds[k]
		kr, e, o := c.kindResult(kind, r)
		r.Kinds = append(r.Kinds, kr)
		earned, offered = earned+e, offered+o
	}
	if offered > 0 {
		r.Benefit = earned / offered
		r.RejectedLate /= offered
	}
	if r.Jobs > 0 {
		r.Served /= float64(r.Jobs)
	}
	r.Outcomes = c.outcomes()
	return r
}

func (c *callers) kindResult(kind *Kind, r *Result) (kr KindResult, earned, offered float64) {
	kr.Name = kind.Route.Name
	var times []time.Duration
	rejectedMS := 0.0
	for _, j := range c.list {
		if j.kind != kind || j.disconnected {
			continue
		}
		r.Jobs++
		kr.Jobs++
		worth := kind.Worth * j.weight()
		offered += worth
		took := j.ended - j.sent
		switch {
		case j.verdict == schedule.Completed:
			times = append(times, took)
			objective := j.objective()
			if took <= lateLimit*objective {
				r.Served++
			}
			if took <= objective {
				kr.WithinObjective++
				earned += worth
			} else {
				kr.Late++
				if took <= lateLimit*objective {
					earned += worth * kind.LateWorth / kind.Worth
				}
			}
		case j.verdict == schedule.Rejected:
			kr.Rejected++
			ms := float64(took) / float64(time.Millisecond)
			rejectedMS += ms
			kr.MaxRejectedAfter = max(kr.MaxRejectedAfter, ms)
			if took > j.objective()/4 {
				r.RejectedLate += worth
			}
		case j.verdict == schedule.TimedOut:
			kr.TimedOut++
		case j.verdict == schedule.FailedJob:
			kr.Failed++
		case j.answerLost:
			kr.Failed++ // the caller's waiting time ended before it could send the job again
		default:
			r.Unanswered++
		}
	}
	if kr.Rejected > 0 {
		kr.RejectedAfter = rejectedMS / float64(kr.Rejected)
	}
	slices.Sort(times)
	if len(times) > 0 {
		kr.P50, kr.P99 = times[len(times)/2], times[len(times)*99/100]
	}
	if offered > 0 {
		kr.Worth = earned / offered
	}
	return kr, earned, offered
}

// weight returns the worth of a job relative to the mean of its kind: a fixed 0.3 plus
// a part proportional to its work, 4 at most.
func (j *callerJob) weight() float64 {
	total := 0.0
	for _, t := range j.tasks {
		total += t.Seconds()
	}
	mean := float64(j.kind.Width) * j.kind.Work.Seconds()
	return min(4, 0.3+0.7*total/mean)
}

// objective returns the latency objective of the job, by its actual run times.
func (j *callerJob) objective() time.Duration {
	longest := slices.Max(j.tasks)
	return time.Duration(j.kind.Route.Stretch*float64(longest)) + j.kind.Route.TargetLatency
}
