package home

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// begin accepts a resolved job and queues its tasks, or ends the job if it may not
// or can't run here.
func (h *Home) begin(now time.Duration, r *record) {
	if !h.mayAccept(r.key, r.fresh) {
		m, _ := h.placement.Home(r.key)
		h.redirectJob(now, r, m.Incarnation)
		return
	}
	if r.tooOld {
		h.discard(now, r, h.tooOld(r.isFirst()))
		return
	}
	if o, ok := h.cannotRun(r.spec); ok {
		h.discard(now, r, h.withHome(o))
		return
	}
	h.stats.Accepted++
	r.phase = phaseRunning
	r.sealRequests = nil
	r.tasks = make([]task, len(r.spec.Tasks))
	r.unfinished = len(r.tasks)
	h.waiting.PushJob(r.key, r.spec.Service, r.arrived, r.spec.Handicap, len(r.tasks))
}

// cannotRun returns a refusal if none of the known executors can run the job. A
// retry time is given only if no backend server offers the service, since only
// that may change without a change of the job.
func (h *Home) cannotRun(s *job.Spec) (job.Outcome, bool) {
	largest := 0
	for i := range h.executors {
		if slices.Contains(h.executors[i].Services, s.Service) {
			largest = max(largest, h.executors[i].Slots)
		}
	}
	if largest == 0 {
		return job.Refuse(job.ReasonCannotRun, h.cfg.RetryAfter, fmt.Sprintf("no backend server offers service %q now", s.Service)), true
	}
	for i := range s.Tasks {
		if s.Tasks[i].Size > largest {
			detail := fmt.Sprintf("task %d needs %d slots, the largest backend server has %d", i, s.Tasks[i].Size, largest)
			return job.Refuse(job.ReasonCannotRun, 0, detail), true
		}
	}
	return job.Outcome{}, false
}

// place assigns waiting tasks to executors until the pool has no room.
func (h *Home) place(now time.Duration) {
	for _, service := range h.waiting.Services() {
		h.placeService(now, service)
	}
}

func (h *Home) placeService(now time.Duration, service ident.Service) {
	for {
		key, ok := h.waiting.Peek(service)
		if !ok {
			return
		}
		r := h.records[key]
		agent, ok := h.pool.Pick(now, service, r.inFlight < dispatch.UrgentInFlight)
		if !ok {
			return
		}
		w, _ := h.waiting.Pop(service)
		h.send(now, r, w, agent)
	}
}

// send records the executor of a task and adds the task to the batch of this
// step.
func (h *Home) send(now time.Duration, r *record, w dispatch.WaitingTask, agent ident.Incarnation) {
	index := w.Task.Index
	t := &r.tasks[index]
	r.inFlight++
	t.state = taskSent
	t.agent = agent
	h.stats.TasksSent++
	g := gate.Task{Task: r.spec.Tasks[index], Attempt: t.attempt}
	for i := range h.batch {
		if h.batch[i].Agent == agent && h.batch[i].Key == r.key {
			h.batch[i].Tasks = append(h.batch[i].Tasks, g)
			return
		}
	}
	h.batch = append(h.batch, Execute{Agent: agent, Key: r.key, Service: r.spec.Service, Tasks: []gate.Task{g}, Deadline: r.deadline, Rank: w.Rank})
}

// answered processes a gate's answer to one task.
func (h *Home) answered(now time.Duration, e Answered) {
	r, t := h.sentTask(e.Task, e.Agent, e.Attempt)
	h.report(now, e, t)
	if t == nil {
		h.stats.LateAnswers++
		return
	}
	r.inFlight--
	switch e.Verdict {
	case gate.Done:
		h.taskDone(now, r, t, e.Body)
	case gate.NotStarted:
		h.moveTask(r, t, e.Task.Index)
	case gate.Ran, gate.WrongIncarnation:
		h.taskLost(now, r, e)
	}
}

// sentTask returns the task that an answer belongs to. It returns nil if the
// answer is late or comes from an agent or an attempt that the task is not
// assigned to.
func (h *Home) sentTask(id ident.TaskID, agent ident.Incarnation, attempt int) (*record, *task) {
	r := h.records[id.Job]
	if r == nil || r.phase != phaseRunning || id.Index < 0 || id.Index >= len(r.tasks) {
		return nil, nil
	}
	t := &r.tasks[id.Index]
	if t.state != taskSent || t.agent != agent || t.attempt != attempt {
		return nil, nil
	}
	return r, t
}

func (h *Home) report(now time.Duration, e Answered, t *task) {
	rep := dispatch.Report{
		Load:    e.Load,
		Started: e.Verdict != gate.NotStarted,
		Failed:  e.Verdict == gate.Ran || e.Verdict == gate.WrongIncarnation,
		Late:    t == nil,
		Ran:     e.Ran,
	}
	h.pool.Report(now, e.Agent, rep)
}

func (h *Home) taskDone(now time.Duration, r *record, t *task, body []byte) {
	t.state = taskDone
	t.body = body
	r.unfinished--
	if r.unfinished == 0 {
		h.conclude(now, r, job.Outcome{Kind: job.Complete, Results: r.results()})
	}
}

// moveTask returns a task to the queue after its attempt was sealed by the gate or
// never sent.
func (h *Home) moveTask(r *record, t *task, index int) {
	h.stats.TasksMoved++
	t.state = taskWaiting
	t.attempt++
	t.agent = ""
	h.waiting.Push(dispatch.WaitingTask{
		Task:     ident.TaskID{Job: r.key, Index: index},
		Service:  r.spec.Service,
		Since:    r.arrived,
		Handicap: r.spec.Handicap,
		Size:     len(r.tasks),
	})
}

func (h *Home) taskLost(now time.Duration, r *record, e Answered) {
	reason := e.Reason
	if reason == "" {
		reason = job.ReasonWorkerLost
	}
	h.fail(now, r, reason, fmt.Sprintf("task %d: %s", e.Task.Index, e.Detail))
}

// notSent returns a task that never left this process to the queue.
func (h *Home) notSent(now time.Duration, e NotSent) {
	h.pool.Report(now, e.Agent, dispatch.Report{})
	r, t := h.sentTask(e.Task, e.Agent, e.Attempt)
	if t != nil {
		r.inFlight--
		h.moveTask(r, t, e.Task.Index)
	}
}

// agentGone ends the jobs that have tasks at an incarnation that will never
// answer.
func (h *Home) agentGone(now time.Duration, e AgentGone) {
	h.pool.Remove(e.Agent)
	for _, r := range slices.Clone(h.active) {
		if r.phase == phaseRunning && slices.Contains(r.agents(), e.Agent) {
			h.fail(now, r, job.ReasonWorkerLost, "worker "+string(e.Agent)+" is gone")
		}
		if r.phase == phaseResolving {
			h.peerGone(now, r, e.Agent)
		}
	}
}

func (h *Home) peerGone(now time.Duration, r *record, peer ident.Incarnation) {
	for i := range r.sealRequests {
		if r.sealRequests[i].peer.Incarnation == peer {
			h.markImpossible(&r.sealRequests[i])
		}
	}
	h.advanceResolve(now, r)
}

// fail ends an active job as failed, without results.
func (h *Home) fail(now time.Duration, r *record, reason job.Reason, detail string) {
	h.withdrawTasks(r)
	h.conclude(now, r, job.Fail(reason, 0, detail))
}

// abandon ends an active job: as refused if none of its tasks can have started
// here or elsewhere, else as failed.
func (h *Home) abandon(now time.Duration, r *record, reason job.Reason, detail string) {
	if r.sent() > 0 || (r.phase == phaseResolving && !r.isFirst()) {
		h.fail(now, r, reason, detail)
		return
	}
	h.withdrawTasks(r)
	h.conclude(now, r, job.Refuse(reason, 0, detail))
}

// expireJob ends a job whose deadline has passed. If no task has started the
// record is removed, so that the caller may submit the job again with a later
// deadline.
func (h *Home) expireJob(now time.Duration, r *record) {
	const detail = "the deadline passed"
	if r.sent() > 0 {
		h.fail(now, r, job.ReasonDeadline, detail)
		return
	}
	if r.phase == phaseRunning {
		h.withdrawTasks(r)
		h.discard(now, r, h.withHome(job.Refuse(job.ReasonDeadline, h.cfg.RetryAfter, detail)))
		return
	}
	h.discard(now, r, h.rejection(r.isFirst(), job.ReasonDeadline, detail))
}

// withdrawTasks drops the waiting tasks of a job from the queue and revokes those
// that wait at gates.
func (h *Home) withdrawTasks(r *record) {
	h.waiting.RemoveJob(r.key)
	for _, agent := range r.agents() {
		h.emit(Revoke{Agent: agent, Key: r.key})
	}
}
