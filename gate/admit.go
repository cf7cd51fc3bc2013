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
	n := g.notes[id]
	switch {
	case n == nil:
		g.admit(now, e, t, id)
	case n.home != e.Home:
		g.answerForeign(e, t, id, n)
	case n.state == stateRefused && t.Attempt > n.attempt:
		g.admit(now, e, t, id)
	default:
		g.attach(e, t, id, n)
	}
}

// answerForeign answers a home that asks for a task noted for another home. The
// task may have started on the other home's behalf, so "not started" would be
// a lie that lets it start twice.
func (g *Gate) answerForeign(e *Execute, t *Task, id ident.TaskID, n *note) {
	a := Answer{Request: e.Request, Task: id, Attempt: t.Attempt, Verdict: Ran, Reason: job.ReasonSealed}
	a.Detail = "the task is noted for home " + string(n.home)
	g.emit(a)
}

// attach directs the answer of a noted task to a newer request.
func (g *Gate) attach(e *Execute, t *Task, id ident.TaskID, n *note) {
	g.stats.Attached++
	n.request = e.Request
	switch n.state {
	case stateRefused:
		g.answerRefused(id, n, t.Attempt)
	case stateFinished:
		g.answerFinished(id, n)
	}
}

// admit starts, queues or refuses a task that has no note, or whose earlier
// attempts were refused.
func (g *Gate) admit(now time.Duration, e *Execute, t *Task, id ident.TaskID) {
	if len(g.notes) >= g.cfg.MaxNotes && g.notes[id] == nil {
		g.refuseUnnoted(e, t, id, job.ReasonOverloaded)
		return
	}
	if e.Age > g.cfg.MaxAge {
		g.refuseUnnoted(e, t, id, job.ReasonTooOld)
		return
	}
	n := &note{
		home:     e.Home,
		request:  e.Request,
		service:  e.Service,
		attempt:  t.Attempt,
		payload:  t.Payload,
		deadline: e.Deadline,
		rank:     e.Rank,
	}
	g.notes[id] = n
	if r := g.refusal(now, e); r != "" {
		g.refuse(now, id, n, r)
		return
	}
	n.state = stateQueued
	g.touch(now, id, n)
	g.queue.push(id, n.rank)
}

// refuseUnnoted refuses a task without a note, since there is no room for one or
// since an earlier copy may have run and been forgotten. Such an attempt is not
// sealed, so the verdict is the cautious one: the home gives the job up.
func (g *Gate) refuseUnnoted(e *Execute, t *Task, id ident.TaskID, r job.Reason) {
	g.stats.Refused++
	g.emit(Answer{Request: e.Request, Task: id, Attempt: t.Attempt, Verdict: Ran, Reason: r,
		Detail: "the gate can't promise that the task has not started"})
}

// refusal returns why a task can't be taken now, or "".
func (g *Gate) refusal(now time.Duration, e *Execute) job.Reason {
	if r := g.mayStart(now); r != "" {
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

func (g *Gate) refuse(now time.Duration, id ident.TaskID, n *note, r job.Reason) {
	g.stats.Refused++
	n.state = stateRefused
	n.reason = r
	n.payload = nil
	g.touch(now, id, n)
	g.answerRefused(id, n, n.attempt)
}

func (g *Gate) answerRefused(id ident.TaskID, n *note, attempt int) {
	g.emit(Answer{Request: n.request, Task: id, Attempt: attempt, Verdict: NotStarted, Reason: n.reason,
		Load: g.brief()})
}

func (g *Gate) answerFinished(id ident.TaskID, n *note) {
	a := Answer{Request: n.request, Task: id, Attempt: n.attempt, Verdict: n.verdict, Body: n.body,
		Reason: n.reason, Detail: n.detail, Load: g.brief(), Ran: n.ran}
	if n.dropped {
		a.Verdict = Ran
		a.Reason = job.ReasonWorkerLost
		a.Detail = "the result was dropped to make room"
	}
	g.emit(a)
}
