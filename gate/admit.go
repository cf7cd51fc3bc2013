package gate

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

func (g *Gate) execute(now time.Duration, e Execute) {
	for i := range e.Tasks {
		g.executeOne(now, &e, &e.Tasks[i])
	}
}

func (g *Gate) executeOne(now time.Duration, e *Execute, t *Task) {
	id := ident.TaskID{Job: e.Key, Index: t.Index}
	rec := g.records[id]
	switch {
	case rec == nil:
		g.admit(now, e, t, id)
	case rec.home != e.Home:
		g.answerOtherHome(e, t, id, rec)
	case rec.state == stateRefused && t.Attempt > rec.attempt:
		g.admit(now, e, t, id)
	default:
		g.attach(e, t, id, rec)
	}
}

// answerOtherHome answers a home that sent a task that is recorded for another home. The
// task may have started for the other home, so the verdict NotStarted would be
// wrong and could make it start twice.
func (g *Gate) answerOtherHome(e *Execute, t *Task, id ident.TaskID, rec *taskRecord) {
	a := Answer{Request: e.Request, Task: id, Attempt: t.Attempt, Verdict: Ran, Reason: job.ReasonSealed}
	a.Detail = "the task is noted for home " + string(rec.home)
	g.emit(a)
}

// attach directs the answer of a recorded task to the newest request. A task that
// is refused or finished is answered at once.
func (g *Gate) attach(e *Execute, t *Task, id ident.TaskID, rec *taskRecord) {
	g.stats.Attached++
	rec.request = e.Request
	switch rec.state {
	case stateRefused:
		g.answerRefused(id, rec, t.Attempt)
	case stateFinished:
		g.answerFinished(id, rec)
	}
}

// admit queues or refuses a task that has no record, or whose earlier attempts
// were refused. Step starts queued tasks.
func (g *Gate) admit(now time.Duration, e *Execute, t *Task, id ident.TaskID) {
	if len(g.records) >= g.cfg.MaxRecords && g.records[id] == nil {
		g.refuseUnrecorded(e, t, id, job.ReasonOverloaded)
		return
	}
	if e.Age > g.cfg.MaxAge {
		g.refuseUnrecorded(e, t, id, job.ReasonTooOld)
		return
	}
	rec := &taskRecord{
		home:     e.Home,
		request:  e.Request,
		service:  e.Service,
		attempt:  t.Attempt,
		payload:  t.Payload,
		deadline: e.Deadline,
		rank:     e.Rank,
	}
	g.records[id] = rec
	if r := g.refusalReason(now, e); r != "" {
		g.refuse(now, id, rec, r)
		return
	}
	rec.state = stateQueued
	g.touch(now, id, rec)
	g.queue.push(id, rec.rank)
}

// refuseUnrecorded refuses a task without recording it, because there is no room
// for a record or because an earlier copy of the request may have run and its
// record may have expired. Such an attempt is not sealed, so the verdict is Ran and the
// home fails the job.
func (g *Gate) refuseUnrecorded(e *Execute, t *Task, id ident.TaskID, r job.Reason) {
	g.stats.Refused++
	g.emit(Answer{Request: e.Request, Task: id, Attempt: t.Attempt, Verdict: Ran, Reason: r,
		Detail: "the gate can't promise that the task has not started"})
}

// refusalReason returns why a task can't be queued now, or "" if it can.
func (g *Gate) refusalReason(now time.Duration, e *Execute) job.Reason {
	if r := g.startBlocked(now); r != "" {
		return r
	}
	switch {
	case now >= e.Deadline:
		return job.ReasonDeadline
	case !slices.Contains(g.services, e.Service):
		return job.ReasonCannotRun
	case g.queue.Len() >= g.free()+g.cfg.QueueLimit:
		return job.ReasonOverloaded
	}
	return ""
}

func (g *Gate) refuse(now time.Duration, id ident.TaskID, rec *taskRecord, r job.Reason) {
	g.stats.Refused++
	rec.state = stateRefused
	rec.reason = r
	rec.payload = nil
	g.touch(now, id, rec)
	g.answerRefused(id, rec, rec.attempt)
}

func (g *Gate) answerRefused(id ident.TaskID, rec *taskRecord, attempt int) {
	g.emit(Answer{Request: rec.request, Task: id, Attempt: attempt, Verdict: NotStarted, Reason: rec.reason,
		Load: g.dispatchLoad()})
}

func (g *Gate) answerFinished(id ident.TaskID, rec *taskRecord) {
	a := Answer{Request: rec.request, Task: id, Attempt: rec.attempt, Verdict: rec.verdict, Body: rec.body,
		Reason: rec.reason, Detail: rec.detail, Load: g.dispatchLoad(), Ran: rec.ran}
	if rec.dropped {
		a.Verdict = Ran
		a.Reason = job.ReasonWorkerLost
		a.Detail = "the result was dropped to make room"
	}
	g.emit(a)
}
