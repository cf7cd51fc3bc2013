package gate

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// advance starts waiting tasks while slots are idle and starting is allowed, and
// refuses them if it is not.
func (g *Gate) advance(now time.Duration) {
	if r := g.mayStart(now); r != "" {
		g.refuseQueue(now, r)
		return
	}
	for g.queue.Len() > 0 && g.running < g.usable {
		id := g.queue.pop()
		g.start(now, id, g.notes[id])
	}
}

func (g *Gate) refuseQueue(now time.Duration, r job.Reason) {
	for g.queue.Len() > 0 {
		id := g.queue.pop()
		g.refuse(now, id, g.notes[id], r)
	}
}

func (g *Gate) start(now time.Duration, id ident.TaskID, n *note) {
	if now >= n.deadline {
		g.refuse(now, id, n, job.ReasonDeadline)
		return
	}
	g.stats.Started++
	g.running++
	n.state = stateRunning
	n.started = now
	g.touch(now, id, n)
	g.emit(Send{Task: id, Service: n.service, Payload: n.payload, Deadline: n.deadline})
	n.payload = nil
}

func (g *Gate) finished(now time.Duration, e Finished) {
	n := g.notes[e.Task]
	if n == nil || n.state != stateRunning {
		return
	}
	g.running--
	g.stats.Finished++
	g.pace.finished()
	n.ran = now - n.started
	n.state = stateFinished
	n.verdict = Done
	n.body = e.Body
	if !e.OK {
		g.stats.Failed++
		n.verdict = Ran
		n.body = nil
		n.reason = job.ReasonTaskError
		n.detail = e.Detail
	}
	g.keepResult(e.Task, n)
	g.touch(now, e.Task, n)
	g.advance(now)
	g.answerFinished(e.Task, n)
}

// notSent returns a task that the shell could not start. Nothing of it reached
// the backend server, so its attempt is refused like one that never had a slot.
func (g *Gate) notSent(now time.Duration, e NotSent) {
	n := g.notes[e.Task]
	if n == nil || n.state != stateRunning {
		return
	}
	g.running--
	g.stats.Started--
	g.refuse(now, e.Task, n, e.Reason)
}

func (g *Gate) revoke(now time.Duration, e Revoke) {
	removed := g.queue.remove(func(id ident.TaskID) bool {
		return id.Job == e.Key && g.notes[id].home == e.Home
	})
	for _, id := range removed {
		g.refuse(now, id, g.notes[id], job.ReasonCancelled)
	}
}
