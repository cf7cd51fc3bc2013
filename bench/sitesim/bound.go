package sitesim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaildock.example/dock/work"
)

// bound serves the callers' jobs by an omniscient queue: one server pool without latency,
// exact run times, strict priorities, and Moore and Hodgson's rule within a priority. Work
// in service can be interrupted without loss, and tasks run at the speed of the fastest
// servers as long as the pool's capacity suffices. It shows how many jobs a load lets be in
// time. It doesn't bound the worth: the rule counts jobs, and puts off the large ones.
type bound struct {
	site *Site
	now  time.Duration
	// waiting holds the jobs that have arrived and are not answered, by priority and in the
	// order in which they are served.
	waiting map[work.Priority][]*boundJob
	levels  []work.Priority
	arrived []*boundJob // all jobs by time of arrival
	fastest float64     // smallest factor by which a server's run times are multiplied
}

// boundJob is a job in the queue. Work is in thousandths of a core x seconds, on a server
// of speed 1.
type boundJob struct {
	*callerJob
	left    float64 // work
	total   float64 // work
	maxRate float64 // that the job can use, so that it takes as long as its longest task
	begun   bool
	// inTimeStart and usefulStart are the latest starts with which the job is completed in
	// time, and late but useful.
	inTimeStart, usefulStart time.Duration
	fate                     Fate
}

// Bound returns the outcomes of the bound for the jobs of the site, which must have run.
func (s *Site) Bound() []Outcome {
	b := &bound{site: s, waiting: map[work.Priority][]*boundJob{}, fastest: slices.Min(s.cfg.Speed)}
	for _, j := range s.callers.list {
		if j.disconnected {
			continue
		}
		b.arrived = append(b.arrived, b.newJob(j))
		b.waiting[j.kind.Route.Priority] = nil
	}
	b.levels = slices.Sorted(maps.Keys(b.waiting))
	slices.SortStableFunc(b.arrived, func(x, y *boundJob) int { return cmp.Compare(x.sent, y.sent) })
	b.run()
	classes := s.callers.sizeClasses()
	var list []Outcome
	for _, j := range b.arrived {
		list = append(list, j.outcome(classes[j.callerJob], j.fate))
	}
	return list
}

func (b *bound) newJob(j *callerJob) *boundJob {
	var sum time.Duration
	for _, t := range j.tasks {
		sum += t
	}
	cpu := float64(j.kind.Demand.CPUMilli) * sum.Seconds()
	length := time.Duration(float64(slices.Max(j.tasks)) * b.fastest)
	return &boundJob{
		callerJob: j, left: cpu, total: cpu, maxRate: cpu / length.Seconds(),
		inTimeStart: j.sent + j.objective() - length, usefulStart: j.sent + lateLimit*j.objective() - length,
	}
}

// boundStep is the time between two plans of the bound.
const boundStep = 5 * time.Millisecond

// run plays all arrivals, and the time until all jobs are answered.
func (b *bound) run() {
	for i := 0; i < len(b.arrived) || b.busy(); {
		for ; i < len(b.arrived) && b.arrived[i].sent <= b.now; i++ {
			p := b.arrived[i].kind.Route.Priority
			b.waiting[p] = append(b.waiting[p], b.arrived[i])
		}
		rate := b.capacity(b.now)
		b.plan(rate, b.arrived[i:])
		b.serve(rate)
		b.now += boundStep
	}
}

func (b *bound) busy() bool {
	for _, list := range b.waiting {
		if len(list) > 0 {
			return true
		}
	}
	return false
}

// serve gives the capacity of one step to the waiting jobs in their order.
func (b *bound) serve(rate float64) {
	for _, p := range b.levels {
		for _, j := range b.waiting[p] {
			got := min(j.maxRate, rate)
			if !j.begun && got < j.maxRate/float64(len(j.tasks)) {
				break // no room for one of its tasks
			}
			j.begun = true
			rate -= got
			j.left -= got * boundStep.Seconds()
			if j.left <= 0 {
				j.end(b.now + boundStep + time.Duration(j.left/got*float64(time.Second)))
			}
		}
		b.waiting[p] = slices.DeleteFunc(b.waiting[p], func(j *boundJob) bool { return j.left <= 0 })
	}
}

func (j *boundJob) end(at time.Duration) {
	// A job arrives up to one step before the bound sees it.
	switch took := at - boundStep - j.sent; {
	case took <= j.objective():
		j.fate = InTime
	case took <= lateLimit*j.objective():
		j.fate = Late
	default:
		j.fate = Lost
	}
}

// plan orders the jobs of each priority, and refuses those that can't be useful any more.
func (b *bound) plan(rate float64, coming []*boundJob) {
	ahead := 0.0
	for _, p := range b.levels {
		var begun, queued []*boundJob
		for _, j := range b.waiting[p] {
			switch {
			case j.begun:
				begun = append(begun, j)
			case b.now > j.usefulStart:
				j.fate = Refused
			default:
				queued = append(queued, j)
			}
		}
		// Less urgent work progresses at a twentieth of the rate even if more urgent work
		// takes everything for the moment.
		own := max(rate-b.moreUrgentRate(p, coming), rate/20)
		inTime, putOff := mooreHodgson(queued, b.now, ahead, own, func(j *boundJob) time.Duration { return j.inTimeStart })
		useful, hopeless := mooreHodgson(putOff, b.now, ahead+sumLeft(inTime), own, func(j *boundJob) time.Duration { return j.usefulStart })
		b.waiting[p] = slices.Concat(begun, inTime, useful, hopeless)
		ahead += sumLeft(queued)
	}
}

// lookAhead is the time over which the bound averages the more urgent work to come.
const lookAhead = time.Second

// moreUrgentRate returns the mean rate of the work more urgent than p that arrives within
// lookAhead.
func (b *bound) moreUrgentRate(p work.Priority, coming []*boundJob) float64 {
	sum := 0.0
	for _, j := range coming {
		if j.sent > b.now+lookAhead {
			break
		}
		if j.kind.Route.Priority < p {
			sum += j.total
		}
	}
	return sum / lookAhead.Seconds()
}

func sumLeft(list []*boundJob) float64 {
	sum := 0.0
	for _, j := range list {
		sum += j.left
	}
	return sum
}

// mooreHodgson splits the jobs into those that start by their limit and those that are put
// off, so that few are put off: in the order of limits, whenever a job would start too late,
// the one with the most work left so far is put off. The capacity first serves the work
// ahead.
func mooreHodgson(jobs []*boundJob, now time.Duration, ahead, rate float64, limit func(*boundJob) time.Duration) (kept, putOff []*boundJob) {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(x, y *boundJob) int { return cmp.Compare(limit(x), limit(y)) })
	for _, j := range sorted {
		late := ahead > rate*(limit(j)-now).Seconds()
		kept = append(kept, j)
		ahead += j.left
		if !late {
			continue
		}
		largest := 0
		for i, k := range kept {
			if k.left > kept[largest].left {
				largest = i
			}
		}
		ahead -= kept[largest].left
		putOff = append(putOff, kept[largest])
		kept = slices.Delete(kept, largest, largest+1)
	}
	return kept, putOff
}

// capacity returns the rate at which the servers that are there at the given time work, in
// whole slots of the first kind. Of all faults it knows lost domains and leaving servers.
func (b *bound) capacity(at time.Duration) float64 {
	cfg := &b.site.cfg
	demand := cfg.Kinds[0].Demand.CPUMilli
	sum := 0.0
	for i := range cfg.Agents {
		if !cfg.away(i, at-warmUp) {
			slots := cfg.Capacity[i%len(cfg.Capacity)].CPUMilli / demand
			sum += float64(slots*demand) / cfg.Speed[i%len(cfg.Speed)]
		}
	}
	return sum
}

// away reports whether a server takes no work because its domain is withdrawn, or because
// it has left.
func (c *Config) away(index int, at time.Duration) bool {
	for _, f := range c.Faults {
		from, until := f.At, f.At+f.For
		switch {
		case f.Kind == WithdrawDomain && index%c.Domains == f.Index%c.Domains:
		case f.Kind == LeaveServer && index == f.Index%c.Agents:
			from, until = until, until+time.Duration(f.Magnitude*float64(time.Second))
		default:
			continue
		}
		if at >= from && at < until {
			return true
		}
	}
	return false
}
