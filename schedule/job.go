package schedule

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/overload"
	"foxtaildock.example/dock/work"
)

// jobState is the state of an admitted job.
type jobState struct {
	Job
	arrived      time.Duration
	arrivalOrder uint64
	firstOffer   time.Duration // time of the first offer
	offered      bool
	runs         int
	placed       int // number of tasks that are placed
	steps        []stepState
	expected     time.Duration // run time of the longest chain of dependent steps
	targetEnd    time.Duration // when the job has to end to meet its latency objective
	queued       bool
	backlog      jobBacklog
	basis        Basis // figures of its admission
	// late is true if nothing of the job was offered while it could still end in time,
	// or if it was expected to be late when it arrived.
	late bool
	// underReview is true for a job admitted as late whose prospect is to be considered
	// once more.
	underReview bool
	class       overload.Class // size within the route
	// deadlineIndex is the index in Core.deadlines.
	deadlineIndex int
}

type stepState struct {
	tasks []taskState
	done  int
	// next is the index of the first task that may be waiting.
	next int
}

type taskPhase int

const (
	taskWaiting taskPhase = iota
	taskPlaced
	taskDone
)

type taskState struct {
	phase    taskPhase
	run      work.RunID
	failures int
	// crashes is the number of backend servers that went down under the task.
	crashes  int
	agent    *agentState
	placedAt time.Duration
	stopping bool
	// avoid is the agent at which the task last failed or from which it was reassigned.
	avoid ident.Incarnation
}

func (c *Core) newJob(job Job) *jobState {
	c.arrivals++
	j := &jobState{Job: job, arrived: c.now, arrivalOrder: c.arrivals, steps: make([]stepState, len(job.Steps))}
	for i := range job.Steps {
		j.steps[i].tasks = make([]taskState, job.Steps[i].Count)
	}
	j.expected = c.expectedChain(&job)
	j.targetEnd = c.now + time.Duration(job.Route.Stretch*float64(j.expected)) + job.Route.TargetLatency
	return j
}

func (c *Core) enqueue(j *jobState) {
	defer c.countBacklog(j)
	if j.queued {
		return
	}
	j.queued = true
	at, _ := slices.BinarySearchFunc(c.waiting, j, compareJobs)
	c.waiting = slices.Insert(c.waiting, at, j)
}

// compareJobs orders jobs by priority. Within one priority, jobs with a latency objective of
// which a task was offered go first, so that started jobs get completed rather than many
// jobs being left half done. Then come jobs that can still end in time, so that a late job
// does not make others late; then the order is that of the latest start in time, or of
// arrival for jobs without an objective.
func compareJobs(a, b *jobState) int {
	return cmp.Or(
		cmp.Compare(a.Route.Priority, b.Route.Priority),
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.orderTime(), b.orderTime()),
		cmp.Compare(a.arrivalOrder, b.arrivalOrder),
	)
}

// rank orders the jobs of a priority: started, in time, late.
func (j *jobState) rank() int {
	switch {
	case j.offered && j.hasObjective():
		return 0
	case !j.late:
		return 1
	}
	return 2
}

func (j *jobState) orderTime() time.Duration {
	if j.hasObjective() {
		return j.latestStart()
	}
	return j.arrived
}

func (c *Core) dequeue(j *jobState) {
	defer c.countBacklog(j)
	if !j.queued {
		return
	}
	j.queued = false
	c.waiting = slices.DeleteFunc(c.waiting, func(w *jobState) bool { return w == j })
}

// ready reports whether all steps that the step depends on are done.
func (j *jobState) ready(step int) bool {
	for _, before := range j.Steps[step].After {
		if j.steps[before].done < j.Steps[before].Count {
			return false
		}
	}
	return true
}

func (j *jobState) complete() bool {
	for i := range j.steps {
		if j.steps[i].done < len(j.steps[i].tasks) {
			return false
		}
	}
	return true
}

func (c *Core) sortedJobs() []*jobState {
	list := make([]*jobState, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *jobState) int { return cmp.Compare(a.arrivalOrder, b.arrivalOrder) })
	return list
}

// jobIDs returns the IDs of all jobs, in the order of their arrival.
func (c *Core) jobIDs() []work.JobID {
	var list []work.JobID
	for _, j := range c.sortedJobs() {
		list = append(list, j.ID)
	}
	return list
}

func (j *jobState) task(t work.Task) *taskState {
	if t.Step < 0 || t.Step >= len(j.steps) || t.Index < 0 || t.Index >= len(j.steps[t.Step].tasks) {
		return nil
	}
	return &j.steps[t.Step].tasks[t.Index]
}

// deadlineHeap has the job with the earliest deadline first.
type deadlineHeap []*jobState

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(h[a].Deadline, h[b].Deadline), cmp.Compare(h[a].arrivalOrder, h[b].arrivalOrder)) < 0
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].deadlineIndex, h[b].deadlineIndex = a, b
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	j := x.(*jobState)
	j.deadlineIndex = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
