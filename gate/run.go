package gate

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// startWaiting starts waiting tasks while slots are idle. If no task may start it
// refuses all waiting tasks.
func (g *Gate) startWaiting(now time.Duration) {
	if r := g.startBlocked(now); r != "" {
		g.refuseQueue(now, r)
		return
	}
	for g.queue.Len() > 0 && g.running < g.usable {
		id := g.queue.pop()
		g.start(now, id, g.records[id])
	}
}

func (g *Gate) refuseQueue(now time.Duration, r job.Reason) {
	for g.queue.Len() > 0 {
		id := g.queue.pop()
		g.refuse(now, id, g.records[id], r)
	}
}

func (g *Gate) start(now time.Duration, id ident.TaskID, rec *taskRecord) {
	if now >= rec.deadline {
		g.refuse(now, id, rec, job.ReasonDeadline)
		return
	}
	g.stats.Started++
	g.running++
	rec.state = stateRunning
	rec.started = now
	g.touch(now, id, rec)
	g.emit(Send{Task: id, Service: rec.service, Payload: rec.payload, Deadline: rec.deadline})
	rec.payload = nil
}

func (g *Gate) finished(now time.Duration, e Finished) {
	rec := g.records[e.Task]
	if rec == nil || rec.state != stateRunning {
		return
	}
	g.running--
	g.stats.Finished++
	g.pace.finished()
	rec.ran = now - rec.started
	rec.state = stateFinished
	rec.verdict = Done
	rec.body = e.Body
	if !e.OK {
		g.stats.Failed++
		rec.verdict = Ran
		rec.body = nil
		rec.reason = job.ReasonTaskError
		rec.detail = e.Detail
	}
	g.keepResult(e.Task, rec)
	g.touch(now, e.Task, rec)
	g.startWaiting(now)
	g.answerFinished(e.Task, rec)
}

// notSent refuses a task that could not be sent. Nothing of it reached the backend
// server, so the attempt is sealed like one that never had a slot.
func (g *Gate) notSent(now time.Duration, e NotSent) {
	rec := g.records[e.Task]
	if rec == nil || rec.state != stateRunning {
		return
	}
	g.running--
	g.stats.Started--
	g.refuse(now, e.Task, rec, e.Reason)
}

func (g *Gate) revoke(now time.Duration, e Revoke) {
	removed := g.queue.remove(func(id ident.TaskID) bool {
		return id.Job == e.Key && g.records[id].home == e.Home
	})
	for _, id := range removed {
		g.refuse(now, id, g.records[id], job.ReasonCancelled)
	}
}
