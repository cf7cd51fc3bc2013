package dispatch

import (
	"container/heap"
	"time"

	"foxtaildock.example/dock/ident"
)

// DefaultTaskWeight is the wait that one task left in a job outweighs. It is
// about the time in which the eleven executors of a deployment finish a task.
const DefaultTaskWeight = 5 * time.Millisecond

// Waiting is one task that waits at its home for an executor.
type Waiting struct {
	Task    ident.TaskID
	Service ident.Service
	// Since is when the task's job began to wait; a task that was refused by
	// an executor keeps it.
	Since time.Duration
}

// Queue orders the waiting tasks of many jobs. The next task is one of the job
// with the least sum of arrival time and weight x tasks left, which is shortest
// remaining job first with linear aging: a job that arrives later by more than
// the weight of all tasks of an earlier one can't overtake it. Two jobs age
// alike, so their order changes only when a task leaves, and a heap holds it.
type Queue struct {
	weight   time.Duration
	services map[ident.Service]*jobHeap
	jobs     map[ident.JobKey]*queuedJob
	sequence uint64
}

// queuedJob is one job with at least one waiting task.
type queuedJob struct {
	key      ident.JobKey
	service  ident.Service
	since    time.Duration
	indexes  []int
	rank     time.Duration
	sequence uint64
	position int
}

// NewQueue returns an empty queue. A zero weight means DefaultTaskWeight; a
// negative one means first come, first served.
func NewQueue(weight time.Duration) *Queue {
	switch {
	case weight == 0:
		weight = DefaultTaskWeight
	case weight < 0:
		weight = 0
	}
	return &Queue{
		weight:   weight,
		services: make(map[ident.Service]*jobHeap),
		jobs:     make(map[ident.JobKey]*queuedJob),
	}
}

// Push adds a task. All tasks of a job name the same service.
func (q *Queue) Push(w Waiting) {
	j, ok := q.jobs[w.Task.Job]
	if !ok {
		q.addJob(w)
		return
	}
	j.indexes = append(j.indexes, w.Task.Index)
	j.since = min(j.since, w.Since)
	q.rankJob(j)
	h := q.services[j.service]
	heap.Fix(h, j.position)
	h.tasks++
}

func (q *Queue) addJob(w Waiting) {
	q.sequence++
	j := &queuedJob{
		key:      w.Task.Job,
		service:  w.Service,
		since:    w.Since,
		indexes:  []int{w.Task.Index},
		sequence: q.sequence,
	}
	q.rankJob(j)
	q.jobs[j.key] = j
	h, ok := q.services[w.Service]
	if !ok {
		h = &jobHeap{}
		q.services[w.Service] = h
	}
	heap.Push(h, j)
	h.tasks++
}

func (q *Queue) rankJob(j *queuedJob) {
	j.rank = j.since + time.Duration(len(j.indexes))*q.weight
}

// Pop removes and returns the next task of the service.
func (q *Queue) Pop(service ident.Service) (Waiting, bool) {
	h, ok := q.services[service]
	if !ok || h.Len() == 0 {
		return Waiting{}, false
	}
	j := h.jobs[0]
	w := Waiting{
		Task:    ident.TaskID{Job: j.key, Index: j.indexes[0]},
		Service: service,
		Since:   j.since,
	}
	j.indexes = j.indexes[1:]
	h.tasks--
	if len(j.indexes) == 0 {
		q.dropJob(h, j)
		return w, true
	}
	q.rankJob(j)
	heap.Fix(h, 0)
	return w, true
}

// RemoveJob removes all waiting tasks of a job and returns their indexes.
func (q *Queue) RemoveJob(key ident.JobKey) []int {
	j, ok := q.jobs[key]
	if !ok {
		return nil
	}
	h := q.services[j.service]
	h.tasks -= len(j.indexes)
	q.dropJob(h, j)
	return j.indexes
}

func (q *Queue) dropJob(h *jobHeap, j *queuedJob) {
	heap.Remove(h, j.position)
	delete(q.jobs, j.key)
	if h.Len() == 0 {
		delete(q.services, j.service)
	}
}

// Len returns the number of waiting tasks of the service.
func (q *Queue) Len(service ident.Service) int {
	h, ok := q.services[service]
	if !ok {
		return 0
	}
	return h.tasks
}

// Head returns since when the next task of the service has waited.
func (q *Queue) Head(service ident.Service) (time.Duration, bool) {
	h, ok := q.services[service]
	if !ok {
		return 0, false
	}
	return h.jobs[0].since, true
}

// jobHeap implements heap.Interface over jobs of one service.
type jobHeap struct {
	jobs  []*queuedJob
	tasks int
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface; equal ranks go in order of arrival.
func (h *jobHeap) Less(i, j int) bool {
	a, b := h.jobs[i], h.jobs[j]
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].position = i
	h.jobs[j].position = j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*queuedJob)
	j.position = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	return j
}
