package model

import (
	"fmt"
	"time"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Slots and run times of backend servers.
const (
	backendSlots  = 2
	minRun        = 5 * time.Millisecond
	runSpread     = 300 * time.Millisecond
	lateRunSpread = 6 * time.Second
	service       = ident.Service("stamp")
)

// behaviour is the way in which a backend server answers.
type behaviour int

const (
	backendHealthy behaviour = iota
	backendLate              // answers later by up to lateRunSpread
	backendAnswersTwice
	backendNeverAnswers
	backendBreaksConnection // starts the task but breaks the connection before the answer is complete
	backendUnreachable      // accepts no connection and does not announce itself
	behaviourCount
)

// resultBody returns the result of a task. It names the task and its payload,
// so that the result of another task is detected.
func resultBody(t ident.TaskID, payload []byte) string {
	return fmt.Sprintf("result of %s for %s", t, payload)
}

// runTask performs a Send of the gate as the agent process does: it checks the
// permit again, then sends the task to the backend server.
func (a *agentProcess) runTask(s gate.Send) {
	if !a.cluster.mutated(MutationSkipPermitCheck) && !a.inService() {
		a.gateStep(gate.NotSent{Task: s.Task, Reason: job.ReasonNoPermit})
		return
	}
	b := a.cluster.backends[a.address]
	if b == backendUnreachable {
		a.gateStep(gate.NotSent{Task: s.Task, Reason: job.ReasonWorkerFailing})
		a.gateStep(gate.SetBackend{})
		return
	}
	a.cluster.recordStart(a, s.Task)
	a.answerTask(s, b)
}

// answerTask schedules the backend server's answer.
func (a *agentProcess) answerTask(s gate.Send, b behaviour) {
	run := minRun + time.Duration(a.cluster.random.IntN(int(runSpread)))
	done := gate.Finished{Task: s.Task, OK: true, Body: []byte(resultBody(s.Task, s.Payload))}
	switch b {
	case backendLate:
		run += time.Duration(a.cluster.random.IntN(int(lateRunSpread)))
	case backendAnswersTwice:
		a.after(run+time.Millisecond, func() { a.gateStep(done) })
	case backendNeverAnswers:
		run = s.Deadline - a.now()
		done = gate.Finished{Task: s.Task, Detail: "no answer from the backend server"}
	case backendBreaksConnection:
		done = gate.Finished{Task: s.Task, Detail: "the connection broke during the answer"}
		if a.cluster.mutated(MutationSendTwice) {
			a.cluster.recordStart(a, s.Task)
		}
	}
	if left := s.Deadline - a.now(); run > left {
		run = max(left, 0)
		done = gate.Finished{Task: s.Task, Detail: "no answer in time"}
	}
	a.after(run, func() { a.gateStep(done) })
}

// recordStart counts a start at the backend server of an agent and checks the
// guarantees on starts.
func (c *Cluster) recordStart(a *agentProcess, t ident.TaskID) {
	now := c.queue.Now()
	c.startCount++
	c.starts[t]++
	if _, ok := c.firstStart[t.Job]; !ok {
		c.firstStart[t.Job] = now
	}
	if n := c.starts[t]; n > 1 {
		c.fail(GuaranteeStartOnce, fmt.Sprintf("task %s started %d times, now by %s", t, n, a.incarnation))
	}
	if since, out := c.platform.withdrawn[a.domain]; out && now > since+leaseBound {
		c.fail(GuaranteeWithdrawnDomain, fmt.Sprintf("task %s started by %s, %v after %s was withdrawn", t, a.incarnation, now-since, a.domain))
	}
	c.checkRefusedNotStarted(t.Job)
}
