package overload

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Job is a waiting job of one service and priority.
type Job struct {
	// LatestStart is the latest start with which the job ends in time, LatestUseful the
	// latest one with which its answer is still of use.
	LatestStart, LatestUseful time.Duration
	// Work is the CPU work that still waits, in millicore-nanoseconds.
	Work float64
	// Started is true if a task of the job was offered, so that work may have been spent.
	Started bool
	// Protected is true if jobs of its size have fared worse than others.
	Protected bool
	// Order is the order of arrival.
	Order uint64
}

// Prospect is what a job may expect.
type Prospect int

// The prospects.
const (
	// InTime: the job is expected to end within its objective.
	InTime Prospect = iota
	// Late: the job is put off, but its answer is expected to be of use.
	Late
	// Hopeless: the job can't start early enough to be of any use.
	Hopeless
)

// String names the prospect for logs.
func (p Prospect) String() string { return [...]string{"in time", "late but useful", "hopeless"}[p] }

// Planner plans queues. It keeps its buffers between calls.
type Planner struct {
	order     []int
	prospects []Prospect
	open      workHeap // jobs that may be put off
	protected workHeap // jobs that may be put off if no other can
}

// Plan returns the prospect of each job at the given rate, in thousandths of a core, by
// Moore and Hodgson's rule: in order of the latest start, as long as a job would start too
// late, the one with the most work up to there is put off. This minimizes the number of
// late jobs for one server. Jobs put off are planned in the same way against the latest
// useful start, behind those in time; the ones put off again are hopeless. Started jobs go
// first and are never put off. The result is valid until the next call.
func (p *Planner) Plan(now time.Duration, rate float64, jobs []Job) []Prospect {
	p.prospects = append(p.prospects[:0], make([]Prospect, len(jobs))...)
	p.order = p.order[:0]
	started := 0.0
	for i := range jobs {
		if jobs[i].Started {
			started += jobs[i].Work
		} else {
			p.order = append(p.order, i)
		}
	}
	rate = max(rate, 1)
	ahead := p.pass(now, rate, started, jobs, Late, func(j *Job) time.Duration { return j.LatestStart })
	p.order = slices.DeleteFunc(p.order, func(i int) bool { return p.prospects[i] == InTime })
	p.pass(now, rate, ahead, jobs, Hopeless, func(j *Job) time.Duration { return j.LatestUseful })
	return p.prospects
}

// pass gives the prospect to the jobs of the order that have to be put off so that the
// others start in time. It returns the work of the others and what is ahead of them.
func (p *Planner) pass(now time.Duration, rate, fixed float64, jobs []Job, putOff Prospect, latest func(*Job) time.Duration) float64 {
	slices.SortFunc(p.order, func(a, b int) int {
		return cmp.Or(cmp.Compare(latest(&jobs[a]), latest(&jobs[b])), cmp.Compare(jobs[a].Order, jobs[b].Order))
	})
	p.open.reset(jobs)
	p.protected.reset(jobs)
	ahead := fixed
	for _, i := range p.order {
		left := float64(latest(&jobs[i])-now) * rate // the work that may be ahead of the job
		if fixed > left {
			p.prospects[i] = putOff // late even if it were the next one
			continue
		}
		if jobs[i].Protected {
			heap.Push(&p.protected, i)
		} else {
			heap.Push(&p.open, i)
		}
		own := jobs[i].Work
		ahead += own
		for ahead-own > left {
			victim := p.victim()
			p.prospects[victim] = putOff
			ahead -= jobs[victim].Work
			if victim == i {
				break
			}
		}
	}
	return ahead
}

// victim removes the next job to be put off.
func (p *Planner) victim() int {
	if p.open.Len() > 0 {
		return heap.Pop(&p.open).(int)
	}
	return heap.Pop(&p.protected).(int)
}

// workHeap has the job with the most work on top; of equal ones that with the least time
// left.
type workHeap struct {
	jobs    []Job
	indexes []int
}

func (h *workHeap) reset(jobs []Job) { h.jobs, h.indexes = jobs, h.indexes[:0] }

// Len implements heap.Interface.
func (h *workHeap) Len() int { return len(h.indexes) }

// Less implements heap.Interface.
func (h *workHeap) Less(a, b int) bool {
	x, y := &h.jobs[h.indexes[a]], &h.jobs[h.indexes[b]]
	return cmp.Or(cmp.Compare(y.Work, x.Work), cmp.Compare(x.LatestUseful, y.LatestUseful), cmp.Compare(x.Order, y.Order)) < 0
}

// Swap implements heap.Interface.
func (h *workHeap) Swap(a, b int) { h.indexes[a], h.indexes[b] = h.indexes[b], h.indexes[a] }

// Push implements heap.Interface.
func (h *workHeap) Push(x any) { h.indexes = append(h.indexes, x.(int)) }

// Pop implements heap.Interface.
func (h *workHeap) Pop() any {
	last := h.indexes[len(h.indexes)-1]
	h.indexes = h.indexes[:len(h.indexes)-1]
	return last
}
