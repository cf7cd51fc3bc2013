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
	backendSlots = 2
	minRun       = 5 * time.Millisecond
	runSpread    = 300 * time.Millisecond
	longRun      = 6 * time.Second
	service      = ident.Service("stamp")
)

// behaviour is how a backend server answers.
type behaviour int

const (
	behaveWell behaviour = iota
	behaveLate
	behaveTwice
	behaveNever
	behaveBroken
	behaveUnreachable
	behaviours
)

// body is the result of a task: it names the task and its payload, so that a
// result of another one is recognized.
func body(t ident.TaskID, payload []byte) string {
	return fmt.Sprintf("result of %s for %s", t, payload)
}

// runTask does what the agent's shell does with a Send of its gate.
func (a *agentProcess) runTask(s gate.Send) {
	if !a.cluster.mutated(MutationOneCheck) && !a.inService() {
		a.gateStep(gate.NotSent{Task: s.Task, Reason: job.ReasonNoPermit})
		return
	}
	how := a.cluster.backends[a.address]
	if how == behaveUnreachable {
		a.gateStep(gate.NotSent{Task: s.Task, Reason: job.ReasonWorkerFailing})
		a.gateStep(gate.SetBackend{})
		return
	}
	a.cluster.noteStart(a, s.Task)
	a.answerTask(s, how)
}

// answerTask schedules the backend server's answer.
func (a *agentProcess) answerTask(s gate.Send, how behaviour) {
	run := minRun + time.Duration(a.cluster.random.IntN(int(runSpread)))
	done := gate.Finished{Task: s.Task, OK: true, Body: []byte(body(s.Task, s.Payload))}
	switch how {
	case behaveLate:
		run += time.Duration(a.cluster.random.IntN(int(longRun)))
	case behaveTwice:
		a.after(run+time.Millisecond, func() { a.gateStep(done) })
	case behaveNever:
		run = s.Deadline - a.now()
		done = gate.Finished{Task: s.Task, Detail: "no answer from the backend server"}
	case behaveBroken:
		done = gate.Finished{Task: s.Task, Detail: "the answer broke off"}
		if a.cluster.mutated(MutationSendTwice) {
			a.cluster.noteStart(a, s.Task)
		}
	}
	if left := s.Deadline - a.now(); run > left {
		run = max(left, 0)
		done = gate.Finished{Task: s.Task, Detail: "no answer in time"}
	}
	a.after(run, func() { a.gateStep(done) })
}

// noteStart counts a start at the backend server.
func (c *Cluster) noteStart(a *agentProcess, t ident.TaskID) {
	now := c.queue.Now()
	c.started++
	c.starts[t]++
	if _, ok := c.firstStart[t.Job]; !ok {
		c.firstStart[t.Job] = now
	}
	if n := c.starts[t]; n > 1 {
		c.fail(RuleStartOnce, fmt.Sprintf("task %s started %d times, now by %s", t, n, a.incarnation))
	}
	if since, out := c.platform.withdrawn[a.domain]; out && now > since+leaseBound {
		c.fail(RuleDomainOut, fmt.Sprintf("task %s started by %s, %v after %s was withdrawn", t, a.incarnation, now-since, a.domain))
	}
	c.checkRefused(t.Job)
}
