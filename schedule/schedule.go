// Package schedule is the decision core of an entry for jobs that are answered at
// their end: which jobs it admits, in which order their tasks start, at which agent,
// and when a task may start again elsewhere. It is a state machine without I/O and
// without a clock of its own; package dispatcher is the entry process around it, and
// package run the decision core of the agents. For jobs whose record an agent keeps,
// packages home and dispatch decide this.
//
// Terms: the room of an agent is the capacity of its backend server that is free. The
// pace and the speed factor of a backend server are ratios of run time to the expected
// time, so that 2 means twice as slow. A task is placed when it is offered to an agent.
// A job is late once it can no longer end within its latency objective, or if it was
// expected not to when it arrived.
//
// Invariants:
//   - A task has at most one run that may be executing: a new run is offered only
//     after the agent has reported the end of the last one, or after the lease
//     under which it ran has certainly expired.
//   - Rejected is answered only for a job of which no run was started.
//   - Completed is answered only once every task is done.
//   - No run of a task is offered after maxCrashes backend servers have gone down under
//     it, as far as the agents beside them have told.
package schedule

import (
	"container/heap"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/overload"
	"foxtaildock.example/dock/work"
)

// Config holds the settings of the core.
type Config struct {
	Terms lease.Terms
	// RemoteFactor is the factor by which a task takes longer away from its data.
	RemoteFactor float64
}

// Core is the scheduling state of an entry. It is not safe for concurrent use: one
// goroutine calls its methods.
type Core struct {
	cfg       Config
	now       time.Duration
	startedAt time.Duration // time of the first step
	resumedAt time.Duration // time of the first step after the last pause of the process
	started   bool
	// answerBy is when all jobs have to be answered because the entry stops, 0 if it
	// doesn't.
	answerBy time.Duration
	jobs     map[work.JobID]*jobState
	waiting  []*jobState // jobs with tasks to be offered, in the order of compareJobs
	agents   map[ident.Incarnation]*agentState
	order    []*agentState // agents by incarnation
	operator operator.Rows
	// mostUrgent and leastUrgent are the smallest and largest priority number of all routes.
	mostUrgent, leastUrgent work.Priority
	leastUrgentOf           map[ident.Service]work.Priority
	occupancy               map[ident.Service]*occupancy
	takenBack               uint64                 // number of runs that were taken back from full agents
	moved                   uint64                 // number of runs that were moved off leaving servers
	times                   map[string]*routeTimes // by route name
	placed                  placedRates
	fleet                   fleet
	backlog                 backlog
	speeds                  []*fleetSpeeds  // by service, in order of appearance
	speedsDue               time.Duration   // when the fleets' speeds are summarized again
	racks                   map[string]bool // labels that jobs have named as racks
	noFree                  []noFreeCapacity
	crashes                 crashHistory
	cancelled               cancelledJobs
	ending                  endingJobs
	reserve                 reservations
	plans                   queuePlans
	fit                     fitCheck
	deadlines               deadlineHeap
	// candidates are the agents with room; valid only during dispatch.
	candidates []*agentState
	arrivals   uint64
	out        []Action
}

// New returns a core that knows no agents and no jobs yet.
func New(cfg Config) *Core {
	return &Core{
		cfg:       cfg,
		jobs:      map[work.JobID]*jobState{},
		agents:    map[ident.Incarnation]*agentState{},
		times:     map[string]*routeTimes{},
		racks:     map[string]bool{},
		crashes:   crashHistory{counts: map[work.Task]int{}},
		cancelled: cancelledJobs{at: map[work.JobID]time.Duration{}},
		ending:    endingJobs{jobs: map[work.JobID]*endingJob{}},
		plans:     queuePlans{sizes: map[string]*overload.Sizes{}, rates: map[queueKey]*plannedRate{}},
		reserve:   reservations{services: map[ident.Service]*serviceNeeds{}},
	}
}

// Step processes one event and returns the actions to carry out. now is the monotonic
// time.
func (c *Core) Step(now time.Duration, e Event) []Action {
	c.out = nil
	c.advance(now)
	c.ending.forget(c.now)
	c.noteFitChange(e)
	switch e := e.(type) {
	case JobArrived:
		c.jobArrived(e.Job)
	case JobDropped:
		c.jobDropped(e)
	case JobMoved:
		c.jobMoved(e)
	case JobCancelled:
		c.jobCancelled(e)
	case AgentAttached:
		c.agentAttached(e)
	case AgentDetached:
		c.agentDetached(e)
	case AgentRoomReported:
		c.agentRoomReported(e)
	case AgentMessageReceived:
		c.agentMessageReceived(e)
	case AgentLoadReported:
		c.agentLoadReported(e)
	case RunEnded:
		c.runEnded(e)
	case RunCrashedElsewhere:
		c.recordCrash(e.Run)
	case RunStalled:
		c.runStalled(e)
	case OperatorChanged:
		c.operator = e.Rows
		c.mostUrgent, c.leastUrgent = priorities(e.Rows.Manifest)
		c.leastUrgentOf = leastUrgentByService(e.Rows.Manifest)
		c.countAgents()
	case EntryDraining:
		c.answerBy = e.AnswerBy
	case Tick:
		c.expireAgents()
		c.refreshLoads()
		c.expireJobs()
		c.answerMisfits()
		c.planQueues()
		c.endDrainedJobs()
		c.reassignSlowRuns()
		c.takeBackWaiting()
		c.moveLeavingRuns()
	}
	c.dispatch()
	c.restoreOrder()
	return c.out
}

// advance sets the time of a step. Steps come often, at least with each Tick. If the
// gap between two steps is long enough to make agents count as unresponsive, the entry
// process itself was paused, not the agents.
func (c *Core) advance(now time.Duration) {
	last := c.now
	c.now = max(c.now, now)
	switch {
	case !c.started:
		c.startedAt, c.resumedAt, c.started = c.now, c.now, true
	case c.now-last > maxUnansweredHeartbeats*c.cfg.Terms.HeartbeatInterval:
		c.resumedAt = c.now
		c.emit(LogMessage{Text: "entry process was paused", Age: c.now - last})
		c.emit(Resumed{Jobs: c.jobIDs()})
	}
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// Stats are figures for the metrics: jobs that the entry holds, those of them with
// tasks to be offered, and known agents.
type Stats struct {
	Jobs    int
	Waiting int
	Agents  int
	// TakenBack counts the runs that were taken back from full agents.
	TakenBack uint64
	// Moved counts the runs that were stopped since they couldn't end before their backend
	// servers.
	Moved uint64
	// PutOff is the number of waiting jobs that are put off.
	PutOff int
	// HeldBack counts the searches for room that ended because the free room is reserved
	// for more urgent work.
	HeldBack uint64
}

// Stats returns the figures as of the last step.
func (c *Core) Stats() Stats {
	return Stats{
		Jobs: len(c.jobs), Waiting: len(c.waiting), Agents: len(c.agents),
		TakenBack: c.takenBack, Moved: c.moved, PutOff: c.plans.putOff, HeldBack: c.reserve.held,
	}
}

// Pending returns the number of jobs of a route of which no task was offered yet.
func (c *Core) Pending(route string) int {
	n := 0
	for _, j := range c.waiting {
		if j.Route.Name == route && !j.offered {
			n++
		}
	}
	return n
}

// HasJob reports whether the entry coordinates the job.
func (c *Core) HasJob(id work.JobID) bool { return c.jobs[id] != nil }

func (c *Core) jobArrived(job Job) {
	if c.jobs[job.ID] != nil {
		return // repeated submission: the callers share the answer
	}
	if c.cancelled.has(c.now, job.ID) {
		c.emit(Answer{ID: job.ID, Verdict: Dropped, Reason: reasonCancelled, FirstStart: -1, Priority: job.Route.Priority})
		return
	}
	j := c.newJob(job)
	c.recordNeed(j)
	c.recordSize(j)
	if !c.recallCrashes(j) {
		c.finish(j, FailedJob, reasonCrashes)
		return
	}
	if rejection := c.admit(j); rejection != nil {
		c.recordService(j, rejection.Verdict, rejection.Reason)
		c.emit(*rejection)
		return
	}
	c.jobs[job.ID] = j
	heap.Push(&c.deadlines, j)
	c.enqueue(j)
}

func (c *Core) jobDropped(e JobDropped) {
	if j := c.jobs[e.ID]; j != nil {
		c.finish(j, Dropped, e.Reason)
	}
}

func (c *Core) jobMoved(e JobMoved) {
	if j := c.jobs[e.ID]; j != nil {
		c.finish(j, Interrupted, "another entry has taken the job over")
	}
}

// finish answers a job and stops its remaining runs.
func (c *Core) finish(j *jobState, v Verdict, reason string) {
	c.recordService(j, v, reason)
	c.stopRuns(j)
	c.dequeue(j)
	if c.jobs[j.ID] == j {
		heap.Remove(&c.deadlines, j.deadlineIndex)
		delete(c.jobs, j.ID)
	}
	a := Answer{ID: j.ID, Verdict: v, Reason: reason, Waited: c.now - j.arrived, FirstStart: -1, Runs: j.runs, Basis: j.basis, Priority: j.Route.Priority}
	if j.offered {
		a.FirstStart = j.firstOffer - j.arrived
	}
	if v == Rejected {
		a.RetryAfter = c.retryAfter(j, reason)
	}
	c.emit(a)
}

// stopRuns asks the agents to stop every run of the job.
func (c *Core) stopRuns(j *jobState) {
	stops := map[*agentState][]work.Run{}
	for s := range j.steps {
		for i := range j.steps[s].tasks {
			t := &j.steps[s].tasks[i]
			if t.phase == taskPlaced {
				run := work.Run{Task: work.Task{Job: j.ID, Step: s, Index: i}, ID: t.run}
				stops[t.agent] = append(stops[t.agent], run)
				delete(t.agent.runs, run.Task)
				c.ending.add(run, c.now+c.cfg.Terms.MaxRunAfterEntryLoss())
			}
		}
	}
	for _, a := range c.order {
		if runs := stops[a]; len(runs) > 0 && a.attached {
			c.emit(SendStops{Agent: a.id, Runs: runs})
		}
	}
}

// expireJobs ends jobs whose deadline has passed and sheds late jobs.
func (c *Core) expireJobs() {
	for len(c.deadlines) > 0 && c.now >= c.deadlines[0].Deadline {
		c.finish(c.deadlines[0], TimedOut, "deadline")
	}
	c.shed()
}

// endDrainedJobs answers jobs of a stopping entry. One of which no task was offered is
// rejected as soon as it can't end any more, since it has certainly not run and another
// entry can take it. All that are left at the end are answered then.
func (c *Core) endDrainedJobs() {
	if c.answerBy == 0 {
		return
	}
	for _, j := range slices.Clone(c.waiting) { // has all jobs of which no task was offered
		if !j.offered && c.now+j.expected >= c.answerBy {
			c.finish(j, Rejected, reasonStopping)
		}
	}
	if c.now < c.answerBy {
		return
	}
	for _, j := range c.sortedJobs() {
		c.finish(j, Interrupted, reasonStopping)
	}
}

// reasonStopping is why a stopping entry refuses or interrupts a job.
const reasonStopping = "entry stops"

// runSkip is added to the run number when a backend server refuses a run as old: it
// has seen a higher number, because the job was submitted before through an entry that
// is gone.
const runSkip = 1000

func (c *Core) runEnded(e RunEnded) {
	c.ending.ended(e.Run)
	a := c.agents[e.Agent]
	if a != nil {
		delete(a.runs, e.Run.Task)
	}
	if e.crashed() && c.recordCrash(e.Run) {
		return
	}
	j, t := c.findRun(e.Agent, e.Run)
	if t == nil {
		return
	}
	switch e.Outcome {
	case work.Done:
		c.recordRunTime(a, j, e)
		c.taskDone(j, e.Run.Task, t)
	case work.Failed:
		c.taskFailed(j, e, t)
	case work.Lost:
		c.requeue(j, e.Run.Task, t, e.Reason)
	case work.NotStarted:
		if e.Reason == "old" {
			t.run += runSkip
		}
		if a != nil {
			a.taskReturned(c.now, e.Reason)
		}
		c.requeue(j, e.Run.Task, t, e.Reason)
	}
}

// findRun returns the job and the task of a run that is placed at the agent. Both are
// nil if the run is not the task's current one at that agent, or the entry no longer
// has the job.
func (c *Core) findRun(agent ident.Incarnation, run work.Run) (*jobState, *taskState) {
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

func (c *Core) taskDone(j *jobState, id work.Task, t *taskState) {
	t.phase = taskDone
	t.agent = nil
	j.placed--
	s := &j.steps[id.Step]
	s.done++
	if s.done < len(s.tasks) {
		return
	}
	if j.complete() {
		c.finish(j, Completed, "")
		return
	}
	c.enqueue(j) // dependent steps may have become ready
}

// requeue makes a placed task wait for another run.
func (c *Core) requeue(j *jobState, id work.Task, t *taskState, reason string) {
	if t.agent != nil {
		c.emit(LogMessage{Text: "task requeued", Agent: t.agent.id, Run: work.Run{Task: id, ID: t.run}, Reason: reason, Crashes: t.crashes})
	}
	t.phase = taskWaiting
	t.agent = nil
	j.placed--
	t.stopping = false
	s := &j.steps[id.Step]
	s.next = min(s.next, id.Index)
	c.fit.due = true // its server may have been the last one that it fits
	c.enqueue(j)
}

// taskFailed counts a failure against the task's attempts, unless its backend server
// is suspected and no earlier failure of the task was counted.
func (c *Core) taskFailed(j *jobState, e RunEnded, t *taskState) {
	a := t.agent
	suspected := a.health.failed(c.now)
	if !suspected || t.failures > 0 {
		t.failures++
	}
	t.avoid = a.id
	if t.failures >= max(1, j.Route.Attempts) {
		c.emit(LogMessage{Text: "task failed; no attempts left", Agent: a.id, Run: e.Run})
		c.finish(j, FailedJob, "attempts used up")
		return
	}
	c.requeue(j, e.Run.Task, t, "failed")
}
