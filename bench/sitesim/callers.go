package sitesim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/work"
)

// callers send jobs, and send them again when an answer is lost.
type callers struct {
	site       *Site
	jobs       map[string]*callerJob
	list       []*callerJob
	leaveShare float64
}

// callerJob is one job as its caller sees it.
type callerJob struct {
	job     schedule.Job
	kind    *Kind
	tasks   []time.Duration // true times
	sent    time.Duration
	until   time.Duration
	entry   *entryNode
	tries   int
	refused int // tries that were rejected
	// lost says that the last try is without an answer.
	lost    bool
	verdict schedule.Verdict
	ended   time.Duration
	left    bool
	done    map[work.Task]bool
	began   bool
}

// taskTruth is what a task really is.
type taskTruth struct {
	demand    work.Demand
	length    time.Duration
	failShare float64
}

func (c *callers) task(t work.Task) taskTruth {
	j := c.jobs[string(t.Job)]
	return taskTruth{demand: j.kind.Demand, length: j.tasks[t.Index], failShare: j.kind.FailShare}
}

// schedule plans every arrival.
func (c *callers) schedule() {
	s := c.site
	for k := range s.cfg.Kinds {
		kind := &s.cfg.Kinds[k]
		at := time.Duration(0)
		for n := 0; ; n++ {
			rate := kind.PerSecond * s.cfg.Rate(at)
			at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
			if at >= s.cfg.Length {
				break
			}
			j := c.newJob(kind, n)
			s.at(warmUp+at, func() { c.arrive(j) })
		}
	}
}

func (c *callers) newJob(kind *Kind, number int) *callerJob {
	r := c.site.random
	width := max(1, int(math.Round(float64(kind.Width)*math.Exp(0.4*r.NormFloat64()-0.08))))
	mean := float64(kind.Work) * math.Exp(kind.Spread*r.NormFloat64()-kind.Spread*kind.Spread/2)
	j := &callerJob{kind: kind, done: map[work.Task]bool{}}
	for range width {
		j.tasks = append(j.tasks, time.Duration(mean*(1+0.15*(2*r.Float64()-1))))
	}
	estimate := mean * (1 + kind.EstimateOff*(2*r.Float64()-1))
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
	j.until = j.sent + j.kind.Patience
	if c.site.random.Float64() < c.leaveShare {
		c.site.after(j.kind.Patience/8, func() { c.leave(j) })
	}
	c.try(j)
}

// try sends the job to an entry that is up.
func (c *callers) try(j *callerJob) {
	if j.verdict != 0 || j.left || c.site.now() >= j.until {
		return
	}
	j.tries++
	j.lost = false
	var up []*entryNode
	for _, e := range c.site.entries {
		if e.alive && e != j.entry {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		j.lost = true
		c.again(j)
		return
	}
	e := up[c.site.random.IntN(len(up))]
	j.entry = e
	life := e.life
	try := j.tries
	c.site.after(c.site.cfg.Delay, func() {
		e.deliver(life, func() {
			if j.tries == try {
				job := j.job
				job.Deadline = j.until
				e.step(schedule.JobArrived{Job: job})
			}
		})
	})
}

func (c *callers) again(j *callerJob) {
	c.site.after(c.site.cfg.Resend, func() { c.try(j) })
}

// leave makes the caller go; its entry notices the closed connection.
func (c *callers) leave(j *callerJob) {
	if j.verdict != 0 {
		return
	}
	j.left = true
	e := j.entry
	e.deliver(e.life, func() { e.step(schedule.JobDropped{ID: j.job.ID, Reason: "caller left"}) })
}

// entryLost breaks the connections of an entry that has ended.
func (c *callers) entryLost(e *entryNode) {
	for _, j := range c.list {
		if j.entry == e && j.sent > 0 && j.verdict == 0 && !j.left && !j.lost {
			j.lost = true
			c.again(j)
		}
	}
}

// answered takes an entry's answer.
func (c *callers) answered(e *entryNode, a schedule.Answer) {
	j := c.jobs[string(a.ID)]
	if j == nil || j.entry != e || j.verdict != 0 || j.left {
		return
	}
	switch a.Verdict {
	case schedule.Completed:
		c.site.checks.completed(j)
	case schedule.Rejected:
		j.refused++
		c.site.checks.rejected(j)
	}
	j.verdict = a.Verdict
	j.ended = c.site.now()
}

// Result is what callers saw.
type Result struct {
	Kinds []KindResult
	// Benefit is the worth that was earned over that which was owed.
	Benefit float64
	// Wasted is the share of core-seconds that came to nothing.
	Wasted float64
	Jobs   int
	// HeldInVain is the worth of jobs that were rejected later than a quarter of
	// their objective, over that which was owed.
	HeldInVain float64
	// Served is the share of jobs that were completed within three objectives.
	Served float64
	// Unanswered jobs have no final answer though their callers waited.
	Unanswered int
}

// KindResult is what the callers of one kind saw.
type KindResult struct {
	Name                                   string
	Jobs, InAim, Late, Rejected, Failed    int
	TimedOut                               int
	P50, P99                               time.Duration
	RejectedAfter, MaxRejectedAfter, Worth float64 // ms, ms, share
}

// lateLimit is the number of objectives within which an answer is of some use.
const lateLimit = 3

func (c *callers) result() *Result {
	r := &Result{Wasted: c.site.checks.wasted()}
	earned, owed := 0.0, 0.0
	for k := range c.site.cfg.Kinds {
		kind := &c.site.cfg.Kinds[k]
		kr, e, o := c.kindResult(kind, r)
		r.Kinds = append(r.Kinds, kr)
		earned, owed = earned+e, owed+o
	}
	if owed > 0 {
		r.Benefit = earned / owed
		r.HeldInVain /= owed
	}
	if r.Jobs > 0 {
		r.Served /= float64(r.Jobs)
	}
	return r
}

func (c *callers) kindResult(kind *Kind, r *Result) (kr KindResult, earned, owed float64) {
	kr.Name = kind.Route.Name
	var times []time.Duration
	rejectedFor := 0.0
	for _, j := range c.list {
		if j.kind != kind || j.left {
			continue
		}
		r.Jobs++
		kr.Jobs++
		worth := kind.Worth * j.weight()
		owed += worth
		took := j.ended - j.sent
		switch {
		case j.verdict == schedule.Completed:
			times = append(times, took)
			aim := j.aim()
			if took <= lateLimit*aim {
				r.Served++
			}
			if took <= aim {
				kr.InAim++
				earned += worth
			} else {
				kr.Late++
				if took <= lateLimit*aim {
					earned += worth * kind.LateWorth / kind.Worth
				}
			}
		case j.verdict == schedule.Rejected:
			kr.Rejected++
			ms := float64(took) / float64(time.Millisecond)
			rejectedFor += ms
			kr.MaxRejectedAfter = max(kr.MaxRejectedAfter, ms)
			if took > j.aim()/4 {
				r.HeldInVain += worth
			}
		case j.verdict == schedule.TimedOut:
			kr.TimedOut++
		case j.verdict == schedule.FailedJob:
			kr.Failed++
		case j.lost:
			kr.Failed++ // the caller's time was over before it could send it again
		default:
			r.Unanswered++
		}
	}
	if kr.Rejected > 0 {
		kr.RejectedAfter = rejectedFor / float64(kr.Rejected)
	}
	slices.Sort(times)
	if len(times) > 0 {
		kr.P50, kr.P99 = times[len(times)/2], times[len(times)*99/100]
	}
	if owed > 0 {
		kr.Worth = earned / owed
	}
	return kr, earned, owed
}

// weight is the worth of a job against the mean of its kind: three tenths of it
// are fixed, the rest follows its work, and it is bounded.
func (j *callerJob) weight() float64 {
	total := 0.0
	for _, t := range j.tasks {
		total += t.Seconds()
	}
	mean := float64(j.kind.Width) * j.kind.Work.Seconds()
	return min(4, 0.3+0.7*total/mean)
}

// aim is the objective of the job, by its true times.
func (j *callerJob) aim() time.Duration {
	longest := slices.Max(j.tasks)
	return time.Duration(j.kind.Route.Stretch*float64(longest)) + j.kind.Route.TargetLatency
}
