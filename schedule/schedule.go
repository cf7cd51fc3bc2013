// Package schedule is the decision core of an entry: which jobs it takes, in
// which order their tasks start, at which agent, and when a task may start again
// elsewhere.
//
// Invariants:
//   - A task has at most one run that can be under way: a new run is offered only
//     after the agent has reported the end of the last one, or after the lease
//     under which it ran is surely over.
//   - Rejected is answered only for a job of which no run was started.
//   - An answer Completed is given once every task is done.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/work"
)

// Config are the bounds of the core.
type Config struct {
	Terms lease.Terms
	// RemoteFactor is by how much a task is slower away from its data.
	RemoteFactor float64
}

// Core is the state of an entry. Its methods are called by one goroutine.
type Core struct {
	cfg      Config
	now      time.Duration
	began    time.Duration // the first step
	woke     time.Duration // the last step after a pause of the process
	started  bool
	jobs     map[work.JobID]*jobState
	waiting  []*jobState // jobs with tasks to be offered, in order
	agents   map[ident.Incarnation]*agentState
	order    []*agentState // agents by incarnation
	operator operator.Rows
	// first and last are the most and the least urgent priority of all routes.
	first, last work.Priority
	times       map[string]*routeTimes // by route name
	placed      placedRates
	// candidates are the agents with room, while tasks are offered.
	candidates []*agentState
	arrivals   uint64
	out        []Action
}

// New returns the core of an entry that knows no agent yet.
func New(cfg Config) *Core {
	return &Core{
		cfg:    cfg,
		jobs:   map[work.JobID]*jobState{},
		agents: map[ident.Incarnation]*agentState{},
		times:  map[string]*routeTimes{},
	}
}

// jobState is a job that was taken.
type jobState struct {
	Job
	arrived  time.Duration
	arrival  uint64
	first    time.Duration // first offer
	offered  bool
	runs     int
	steps    []stepState
	expected time.Duration // of the longest chain of tasks
	aim      time.Duration // when the job should have ended
	queued   bool
	basis    Basis // of its admission
	// late is true once a job that hasn't begun can no longer end in time.
	late bool
}

type stepState struct {
	tasks []taskState
	done  int
	// next is the first task that may be waiting.
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
	agent    *agentState
	placed   time.Duration
	stopping bool
	// avoid is the agent at which the task failed last.
	avoid ident.Incarnation
}

// Step takes one event and returns what is to be done. now is monotonic.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.out = nil
	c.advance(now)
	switch e := e.(type) {
	case JobArrived:
		c.jobArrived(e.Job)
	case JobDropped:
		c.jobDropped(e)
	case AgentAttached:
		c.agentAttached(e)
	case AgentDetached:
		c.agentDetached(e)
	case AgentRoom:
		c.agentRoom(e)
	case AgentHeard:
		c.agentHeard(e)
	case RunEnded:
		c.runEnded(e)
	case RunStalled:
		c.runStalled(e)
	case OperatorChanged:
		c.operator = e.Rows
		c.first, c.last = priorities(e.Rows.Manifest)
	case Tick:
		c.expireAgents()
		c.expireJobs()
		c.rescue()
	}
	c.dispatch()
	return c.out
}

// advance takes the time of a step. Steps come often, at least with each Tick; if none
// came for as long as makes agents silent, the process was held up, not they.
func (c *Core) advance(now time.Duration) {
	last := c.now
	c.now = max(c.now, now)
	switch {
	case !c.started:
		c.began, c.woke, c.started = c.now, c.now, true
	case c.now-last > silentBeats*c.cfg.Terms.Beat:
		c.woke = c.now
		c.do(Noted{Event: "entry was held up", Age: c.now - last})
	}
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

// Stats are numbers for the metrics.
type Stats struct {
	Jobs    int
	Waiting int
	Agents  int
}

// Stats returns the numbers as of the last step.
func (c *Core) Stats() Stats {
	return Stats{Jobs: len(c.jobs), Waiting: len(c.waiting), Agents: len(c.agents)}
}

// Pending returns how many jobs of a route have no run yet.
func (c *Core) Pending(route string) int {
	n := 0
	for _, j := range c.waiting {
		if j.Route.Name == route && !j.offered {
			n++
		}
	}
	return n
}

// Holds reports whether the entry coordinates the job.
func (c *Core) Holds(id work.JobID) bool { return c.jobs[id] != nil }

func (c *Core) jobArrived(job Job) {
	if c.jobs[job.ID] != nil {
		return // the callers share the answer
	}
	j := c.newJob(job)
	if refusal := c.admit(j); refusal != nil {
		c.do(*refusal)
		return
	}
	c.jobs[job.ID] = j
	c.enqueue(j)
}

func (c *Core) newJob(job Job) *jobState {
	c.arrivals++
	j := &jobState{Job: job, arrived: c.now, arrival: c.arrivals, steps: make([]stepState, len(job.Steps))}
	for i := range job.Steps {
		j.steps[i].tasks = make([]taskState, job.Steps[i].Count)
	}
	j.expected = c.expectedChain(&job)
	j.aim = c.now + time.Duration(job.Route.Stretch*float64(j.expected)) + job.Route.TargetLatency
	return j
}

func (c *Core) enqueue(j *jobState) {
	if j.queued {
		return
	}
	j.queued = true
	at, _ := slices.BinarySearchFunc(c.waiting, j, compareJobs)
	c.waiting = slices.Insert(c.waiting, at, j)
}

// compareJobs orders by priority. Within one priority, jobs that can still end in
// time go first, in the order of their arrival, so that one that is late already
// makes no other late. A job that has begun keeps its place, so that whole jobs
// end rather than many halves.
func compareJobs(a, b *jobState) int {
	return cmp.Or(
		cmp.Compare(a.Route.Priority, b.Route.Priority),
		compareLate(a.late, b.late),
		cmp.Compare(a.arrival, b.arrival),
	)
}

func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (c *Core) dequeue(j *jobState) {
	if !j.queued {
		return
	}
	j.queued = false
	c.waiting = slices.DeleteFunc(c.waiting, func(w *jobState) bool { return w == j })
}

// ready reports whether the steps that the step depends on are done.
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

func (c *Core) jobDropped(e JobDropped) {
	if j := c.jobs[e.ID]; j != nil {
		c.finish(j, Dropped, e.Reason)
	}
}

// finish answers a job and stops what still runs of it.
func (c *Core) finish(j *jobState, v Verdict, reason string) {
	c.stopRuns(j)
	c.dequeue(j)
	delete(c.jobs, j.ID)
	a := Answer{ID: j.ID, Verdict: v, Reason: reason, Waited: c.now - j.arrived, FirstStart: -1, Runs: j.runs, Basis: j.basis}
	if j.offered {
		a.FirstStart = j.first - j.arrived
	}
	if v == Rejected {
		a.RetryAfter = c.retryAfter(j)
	}
	c.do(a)
}

// stopRuns asks the agents to end every run of the job.
func (c *Core) stopRuns(j *jobState) {
	stops := map[*agentState][]work.Run{}
	for s := range j.steps {
		for i := range j.steps[s].tasks {
			t := &j.steps[s].tasks[i]
			if t.phase == taskPlaced {
				run := work.Run{Task: work.Task{Job: j.ID, Step: s, Index: i}, ID: t.run}
				stops[t.agent] = append(stops[t.agent], run)
				delete(t.agent.runs, run.Task)
			}
		}
	}
	for _, a := range c.order {
		if runs := stops[a]; len(runs) > 0 && a.attached {
			c.do(SendStops{Agent: a.id, Runs: runs})
		}
	}
}

// expireJobs ends jobs whose callers stop waiting, and turns away those that can
// no longer be of use and haven't begun.
func (c *Core) expireJobs() {
	for _, j := range c.sortedJobs() {
		if c.now >= j.Deadline {
			c.finish(j, TimedOut, "deadline")
		}
	}
	c.shed()
}

func (c *Core) sortedJobs() []*jobState {
	list := make([]*jobState, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *jobState) int { return cmp.Compare(a.arrival, b.arrival) })
	return list
}

// runSkip is by how much the run number rises when a backend server has seen a
// higher one: the job was sent before, by way of an entry that is gone.
const runSkip = 1000

func (c *Core) runEnded(e RunEnded) {
	a := c.agents[e.Agent]
	if a != nil {
		delete(a.runs, e.Run.Task)
	}
	j, t := c.underWay(e.Agent, e.Run)
	if t == nil {
		return
	}
	switch e.Outcome {
	case work.Done:
		c.learn(a, j, e)
		c.taskDone(j, e.Run.Task, t)
	case work.Failed:
		c.taskFailed(j, e, t)
	case work.Lost:
		c.again(j, e.Run.Task, t, e.Reason)
	case work.NotStarted:
		if e.Reason == "old" {
			t.run += runSkip
		}
		if a != nil {
			a.returned(c.now, e.Reason)
		}
		c.again(j, e.Run.Task, t, e.Reason)
	}
}

// underWay returns a run that is placed at the agent, with its job. Both are nil if
// it is another run's turn, or nobody waits for the job any more.
func (c *Core) underWay(agent ident.Incarnation, run work.Run) (*jobState, *taskState) {
	j := c.jobs[run.Task.Job]
	if j == nil {
		return nil, nil
	}
	t := j.task(run.Task)
	if t == nil || t.phase != taskPlaced || t.run != run.ID || t.agent.id != agent {
		return nil, nil
	}
	return j, t
}

func (j *jobState) task(t work.Task) *taskState {
	if t.Step < 0 || t.Step >= len(j.steps) || t.Index < 0 || t.Index >= len(j.steps[t.Step].tasks) {
		return nil
	}
	return &j.steps[t.Step].tasks[t.Index]
}

func (c *Core) taskDone(j *jobState, id work.Task, t *taskState) {
	t.phase = taskDone
	t.agent = nil
	s := &j.steps[id.Step]
	s.done++
	if s.done < len(s.tasks) {
		return
	}
	if j.complete() {
		c.finish(j, Completed, "")
		return
	}
	c.enqueue(j) // later steps may have become ready
}

// again puts a task back among those that wait.
func (c *Core) again(j *jobState, id work.Task, t *taskState, reason string) {
	if t.agent != nil {
		c.do(Noted{Event: "task waits again", Agent: t.agent.id, Run: work.Run{Task: id, ID: t.run}, Reason: reason})
	}
	t.phase = taskWaiting
	t.agent = nil
	t.stopping = false
	s := &j.steps[id.Step]
	s.next = min(s.next, id.Index)
	c.enqueue(j)
}

// taskFailed counts a failure against the task, unless its backend server fails
// what others carry out.
func (c *Core) taskFailed(j *jobState, e RunEnded, t *taskState) {
	a := t.agent
	blamed := a.health.failed(c.now)
	if !blamed || t.failures > 0 {
		t.failures++
	}
	t.avoid = a.id
	if t.failures >= max(1, j.Route.Attempts) {
		c.do(Noted{Event: "task failed for good", Agent: a.id, Run: e.Run})
		c.finish(j, FailedJob, "attempts used up")
		return
	}
	c.again(j, e.Run.Task, t, "failed")
}
