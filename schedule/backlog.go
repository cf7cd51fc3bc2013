package schedule

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// backlog is the work that waits at the entry, by service and priority. It is kept as sums
// that each change of a waiting job updates.
type backlog struct {
	classes []*backlogClass // by service and priority
}

// backlogClass is the waiting work of one service and priority.
type backlogClass struct {
	service  ident.Service
	priority work.Priority
	// inTime and late are the work of the jobs that can end in time and of the others, in
	// thousandths of a core times milliseconds.
	inTime, late int64
	jobs         waitingHeap
}

// jobBacklog is what a job contributes to the sums.
type jobBacklog struct {
	class    *backlogClass // nil while the job doesn't wait
	late     bool
	cpuMs    int64
	position int // in the heap of the class
}

// add adds work of jobs that are late or not, negative to remove it.
func (c *backlogClass) add(late bool, cpuMs int64) {
	if late {
		c.late += cpuMs
	} else {
		c.inTime += cpuMs
	}
}

// waitingHeap is a heap of the waiting jobs of a class with the oldest at the top.
type waitingHeap []*jobState

func (h waitingHeap) Len() int           { return len(h) }
func (h waitingHeap) Less(i, j int) bool { return h[i].arrivalOrder < h[j].arrivalOrder }
func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].backlog.position, h[j].backlog.position = i, j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	j := x.(*jobState)
	j.backlog.position = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

func (b *backlog) class(service ident.Service, priority work.Priority) *backlogClass {
	at, found := slices.BinarySearchFunc(b.classes, priority, func(c *backlogClass, p work.Priority) int {
		return cmp.Or(cmp.Compare(c.service, service), cmp.Compare(c.priority, p))
	})
	if !found {
		b.classes = slices.Insert(b.classes, at, &backlogClass{service: service, priority: priority})
	}
	return b.classes[at]
}

// countBacklog updates the sums after a change of a job's waiting tasks or of its place.
func (c *Core) countBacklog(j *jobState) {
	b := &j.backlog
	if b.class != nil {
		b.class.add(b.late, -b.cpuMs)
	}
	if !j.queued {
		if b.class != nil {
			heap.Remove(&b.class.jobs, b.position)
			b.class = nil
		}
		return
	}
	if b.class == nil {
		b.class = c.backlog.class(j.Route.Service, j.Route.Priority)
		heap.Push(&b.class.jobs, j)
	}
	b.late, b.cpuMs = j.late, c.waitingCPUMs(j)
	b.class.add(b.late, b.cpuMs)
}

// maxWaitingCPUMs bounds the work that counts for one job, so that the estimates of callers
// can't make the sums overflow: 100 cores for a day.
const maxWaitingCPUMs = 100 * 1000 * 24 * 3600 * 1000

// waitingCPUMs returns the expected CPU work of the job's waiting tasks, in thousandths of a
// core times milliseconds.
func (c *Core) waitingCPUMs(j *jobState) int64 {
	cpuMs := c.waitingWork(j) / float64(time.Millisecond)
	return int64(math.Round(min(max(cpuMs, 0), maxWaitingCPUMs)))
}

// Waiting returns the work that waits at the entry by service and priority, each divided by
// the number of usable agents of the service. An agent that adds up the figures of all entries
// gets the part that falls to it, whichever agents each entry uses.
func (c *Core) Waiting() []run.WaitingWork {
	var list []run.WaitingWork
	for _, class := range c.backlog.classes {
		s := c.fleet.services[class.service]
		if len(class.jobs) == 0 || s == nil || s.usable == 0 {
			continue
		}
		list = append(list, run.WaitingWork{
			Service: class.service, Priority: class.priority,
			CPUMs: float64(class.inTime+class.late) / float64(s.usable), Oldest: c.now - class.jobs[0].arrived,
		})
	}
	return list
}

// ownWaiting returns the work of the service that waits at the entry and is at least as urgent
// as the priority, in thousandths of a core times milliseconds: all of it, and the part that
// goes before a job that arrives now.
func (c *Core) ownWaiting(service ident.Service, priority work.Priority, late bool) (all, ahead int64) {
	for _, class := range c.backlog.classes {
		if class.service != service || class.priority > priority {
			continue
		}
		all += class.inTime + class.late
		ahead += class.inTime
		if late || class.priority < priority {
			ahead += class.late
		}
	}
	return all, ahead
}
