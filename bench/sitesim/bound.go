package sitesim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaildock.example/dock/work"
)

// bound serves the callers' jobs by an omniscient queue: one server pool without latency,
// on which a job can be spread without limit, exact run times, strict priorities, and
// Moore and Hodgson's rule within a priority. It shows what a load leaves to gain.
type bound struct {
	site *Site
	now  time.Duration
	// waiting holds the jobs that have arrived and are not answered, by priority.
	waiting map[work.Priority][]*boundJob
	levels  []work.Priority
	arrived []*boundJob // all jobs by time of arrival
	fastest float64     // smallest factor by which a server's run times are multiplied
}

// boundJob is a job in the queue. Work is in thousandths of a core x seconds, on a server
// of speed 1.
type boundJob struct {
	*callerJob
	left, total      float64
	soonest          time.Duration // when it ends if it has its capacity at once
	due, usefulUntil time.Duration
	fate             Fate
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
	var sum, longest time.Duration
	for _, t := range j.tasks {
		sum += t
		longest = max(longest, t)
	}
	cpu := float64(j.kind.Demand.CPUMilli) * sum.Seconds()
	return &boundJob{
		callerJob: j, left: cpu, total: cpu,
		soonest: j.sent + time.Duration(float64(longest)*b.fastest),
		due:     j.sent + j.objective(), usefulUntil: j.sent + lateLimit*j.objective(),
	}
}

// boundStep is the longest time for which the bound's capacity is taken as constant.
const boundStep = 100 * time.Millisecond

// run plays all arrivals, and the time until all jobs are answered.
func (b *bound) run() {
	for i := 0; i < len(b.arrived) || b.busy(); {
		next := b.now + boundStep
		if i < len(b.arrived) {
			next = min(next, b.arrived[i].sent)
		}
		b.serve(next)
		for ; i < len(b.arrived) && b.arrived[i].sent <= b.now; i++ {
			p := b.arrived[i].kind.Route.Priority
			b.waiting[p] = append(b.waiting[p], b.arrived[i])
		}
		b.plan(b.arrived[i:])
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

// serve works on the waiting jobs in their order until the given time.
func (b *bound) serve(until time.Duration) {
	rate := b.capacity(b.now)
	for _, p := range b.levels {
		for len(b.waiting[p]) > 0 && b.now < until && rate > 0 {
			j := b.waiting[p][0]
			done := min(j.left, rate*(until-b.now).Seconds())
			j.left -= done
			b.now += time.Duration(done / rate * float64(time.Second))
			if j.left > 1e-6*j.total {
				break
			}
			b.waiting[p] = b.waiting[p][1:]
			j.end(max(b.now, j.soonest))
		}
	}
	b.now = until
}

func (j *boundJob) end(at time.Duration) {
	switch {
	case at <= j.due:
		j.fate = InTime
	case at <= j.usefulUntil:
		j.fate = Late
	default:
		j.fate = Lost
	}
}

// plan orders the jobs of each priority, and refuses those that can't be useful any more.
func (b *bound) plan(coming []*boundJob) {
	rate, ahead := b.capacity(b.now), 0.0
	for _, p := range b.levels {
		own := rate - b.moreUrgentRate(p, coming)
		inTime, putOff, _ := mooreHodgson(b.waiting[p], b.now, ahead, own, func(j *boundJob) time.Duration { return j.due })
		useful, hopeless, _ := mooreHodgson(putOff, b.now, ahead+sumLeft(inTime), own, func(j *boundJob) time.Duration { return j.usefulUntil })
		for _, j := range hopeless {
			j.fate = Refused
		}
		b.waiting[p] = append(inTime, useful...)
		ahead += sumLeft(b.waiting[p])
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

// mooreHodgson splits the jobs into those that end by their limit and those that are put
// off, so that few are put off: in the order of limits, whenever a job would end too late,
// the one with the most work left so far is put off. The capacity first serves the work
// ahead.
func mooreHodgson(jobs []*boundJob, now time.Duration, ahead, rate float64, limit func(*boundJob) time.Duration) (kept, putOff []*boundJob, end float64) {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(x, y *boundJob) int { return cmp.Compare(limit(x), limit(y)) })
	end = ahead
	for _, j := range sorted {
		kept = append(kept, j)
		end += j.left
		if end <= rate*(limit(j)-now).Seconds() {
			continue
		}
		largest := 0
		for i, k := range kept {
			if k.left > kept[largest].left {
				largest = i
			}
		}
		end -= kept[largest].left
		putOff = append(putOff, kept[largest])
		kept = slices.Delete(kept, largest, largest+1)
	}
	return kept, putOff, end
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
