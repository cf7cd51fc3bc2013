package dispatch

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// Defaults of NewQueue.
const (
	// DefaultTaskWeight is the increase of a job's rank for each of its tasks:
	// a job goes after another that has one task less and arrived less than
	// this time later.
	DefaultTaskWeight = time.Second
	// MaxSizeHandicap is the maximum increase of a job's rank for its size, so
	// that the largest jobs start before their deadlines pass.
	MaxSizeHandicap = time.Minute
)

// WaitingTask is one task that waits at its home for an executor.
type WaitingTask struct {
	Task    ident.TaskID
	Service ident.Service
	// Since is when the task's job began to wait. It stays the same when an
	// executor refuses the task.
	Since time.Duration
	// Handicap is added to the rank of the job, besides the increase for its
	// size.
	Handicap time.Duration
	// Size is the number of tasks of the job.
	Size int
	// Rank orders tasks, lowest first, also those of different homes at a gate.
	// It is a time on the home's clock. Pop sets it.
	Rank time.Duration
}

// Queue orders the waiting tasks of many jobs. The next task is one of the job with
// the lowest rank. The rank is the arrival time plus the job's handicap plus an
// increase in proportion to its number of tasks, up to MaxSizeHandicap: shortest
// job first with linear aging. All jobs age alike, so their order never changes
// and a heap can hold it. A job that arrives later than the rank of another can't
// overtake that job.
type Queue struct {
	weight   time.Duration
	services map[ident.Service]*jobHeap
	jobs     map[ident.JobKey]*queuedJob
	sequence uint64
	tasks    int
}

// queuedJob is one job with at least one waiting task.
type queuedJob struct {
	key      ident.JobKey
	service  ident.Service
	since    time.Duration
	handicap time.Duration
	indexes  []int
	// size is the number of tasks when the job was added.
	size     int
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

// PushJob adds the tasks 0 to tasks-1 of a job that has none in the queue. The
// handicap is added to the one for the job's size.
func (q *Queue) PushJob(key ident.JobKey, service ident.Service, since, handicap time.Duration, tasks int) {
	indexes := make([]int, tasks)
	for i := range indexes {
		indexes[i] = i
	}
	q.addJob(&queuedJob{key: key, service: service, since: since, handicap: handicap, size: tasks, indexes: indexes})
}

// Push adds one task of a job of the given size. All tasks of a job name the
// same service, time and size.
func (q *Queue) Push(w WaitingTask) {
	j, ok := q.jobs[w.Task.Job]
	if !ok {
		q.addJob(&queuedJob{key: w.Task.Job, service: w.Service, since: w.Since, handicap: w.Handicap, size: w.Size, indexes: []int{w.Task.Index}})
		return
	}
	j.indexes = append(j.indexes, w.Task.Index)
	q.services[j.service].tasks++
	q.tasks++
}

func (q *Queue) addJob(j *queuedJob) {
	q.sequence++
	j.sequence = q.sequence
	j.rank = j.since + j.handicap + min(time.Duration(j.size)*q.weight, MaxSizeHandicap)
	q.jobs[j.key] = j
	h, ok := q.services[j.service]
	if !ok {
		h = &jobHeap{}
		q.services[j.service] = h
	}
	heap.Push(h, j)
	h.tasks += len(j.indexes)
	q.tasks += len(j.indexes)
}

// Peek returns the job of the next task of the service.
func (q *Queue) Peek(service ident.Service) (ident.JobKey, bool) {
	h, ok := q.services[service]
	if !ok {
		return ident.JobKey{}, false
	}
	return h.jobs[0].key, true
}

// Pop removes and returns the next task of the service.
func (q *Queue) Pop(service ident.Service) (WaitingTask, bool) {
	h, ok := q.services[service]
	if !ok {
		return WaitingTask{}, false
	}
	j := h.jobs[0]
	w := WaitingTask{
		Task:     ident.TaskID{Job: j.key, Index: j.indexes[0]},
		Service:  service,
		Since:    j.since,
		Handicap: j.handicap,
		Size:     j.size,
		Rank:     j.rank,
	}
	j.indexes = j.indexes[1:]
	h.tasks--
	q.tasks--
	if len(j.indexes) == 0 {
		q.dropJob(h, j)
	}
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
	q.tasks -= len(j.indexes)
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

// Services returns the services with waiting tasks, in order.
func (q *Queue) Services() []ident.Service {
	if len(q.services) == 0 {
		return nil
	}
	return slices.Sorted(maps.Keys(q.services))
}

// Len returns the number of waiting tasks of all services.
func (q *Queue) Len() int { return q.tasks }

// LenOf returns the number of waiting tasks of one service.
func (q *Queue) LenOf(service ident.Service) int {
	h, ok := q.services[service]
	if !ok {
		return 0
	}
	return h.tasks
}

// jobHeap implements heap.Interface over the jobs of one service.
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
