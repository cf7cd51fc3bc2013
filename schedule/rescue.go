package schedule

import (
	"time"

	"foxtaildock.example/dock/work"
)

// reassignMargin is the time it takes to stop a run and start another one.
const reassignMargin = 15 * time.Millisecond

// reassignSlowRuns stops runs on slow backend servers whose tasks would be late there
// and can still end in time elsewhere. The progress of such a run is lost, so this is
// done only where it keeps a whole job from being late.
func (c *Core) reassignSlowRuns() {
	c.refreshSpeeds()
	for _, a := range c.order {
		if !a.attached || len(a.runs) == 0 || a.speed.pace < slowPace {
			continue
		}
		for _, task := range sortedTasks(a.runs) {
			c.reassignIfLate(a, task)
		}
	}
}

func (c *Core) reassignIfLate(a *agentState, id work.Task) {
	j := c.jobs[id.Job]
	if j == nil {
		return
	}
	t := j.task(id)
	if t == nil || t.phase != taskPlaced || t.agent != a || t.stopping || j.runs > 2*j.Tasks() {
		return
	}
	s := &j.Steps[id.Step]
	expected := c.expectedTask(j.Route.Name, s)
	timeLeft := j.targetEnd - c.now
	remaining := time.Duration(float64(expected)*a.speed.factor()) - (c.now - t.placedAt)
	if remaining <= timeLeft || !c.roomInTime(a, j, s, expected, timeLeft-reassignMargin) {
		return
	}
	c.reassign(t, work.Run{Task: id, ID: t.run}, "run on a slow backend server; reassigning its task")
}

// reassign stops a run. Its task starts elsewhere once the agent reports the end.
func (c *Core) reassign(t *taskState, run work.Run, text string) {
	t.stopping = true
	t.avoid = t.agent.id
	s := &t.agent.speed
	c.emit(LogMessage{Text: text, Agent: t.agent.id, Run: run, Speed: s.factor(), Age: c.now - max(s.own.At(), s.reportedAt)})
	c.emit(SendStops{Agent: t.agent.id, Runs: []work.Run{run}})
}

// roomInTime reports whether another agent has room and would end the task in time.
func (c *Core) roomInTime(slow *agentState, j *jobState, s *Step, expected, timeLeft time.Duration) bool {
	for _, a := range c.order {
		if a == slow || !c.acceptsOffers(a) || !c.usable(a, j, s) {
			continue
		}
		if _, hasRoom := c.cost(a, j.Route.Priority, s, expected); hasRoom && time.Duration(float64(expected)*a.speed.factor()) <= timeLeft {
			return true
		}
	}
	return false
}
