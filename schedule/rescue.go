package schedule

import (
	"time"

	"foxtaildock.example/dock/work"
)

// rescueMargin is the time that it takes to stop a run and start another one.
const rescueMargin = 15 * time.Millisecond

// rescue moves tasks away from slow backend servers if they would be late there
// and can still end in time elsewhere. What they have done so far is thrown away,
// so it is only done where it saves a whole job from being late.
func (c *Core) rescue() {
	for _, a := range c.order {
		if !a.attached || len(a.runs) == 0 || a.speed.pace < slowPace {
			continue
		}
		for _, task := range sortedTasks(a.runs) {
			c.rescueTask(a, task)
		}
	}
}

func (c *Core) rescueTask(a *agentState, id work.Task) {
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
	left := j.aim - c.now
	there := time.Duration(float64(expected)*a.speed.factor()) - (c.now - t.placed)
	if there <= left || !c.roomInTime(a, j, s, expected, left-rescueMargin) {
		return
	}
	c.moveOff(t, work.Run{Task: id, ID: t.run}, "run moved off a slow backend server")
}

// moveOff stops a run, so that its task starts elsewhere once its end is told.
func (c *Core) moveOff(t *taskState, run work.Run, event string) {
	t.stopping = true
	t.avoid = t.agent.id
	c.do(Noted{Event: event, Agent: t.agent.id, Run: run})
	c.do(SendStops{Agent: t.agent.id, Runs: []work.Run{run}})
}

// roomInTime reports whether another agent has room and would end the task in time.
func (c *Core) roomInTime(slow *agentState, j *jobState, s *Step, expected, left time.Duration) bool {
	for _, a := range c.order {
		if a == slow || !c.mayStart(a) || !c.usable(a, j, s) {
			continue
		}
		if _, room := c.cost(a, j.Route.Priority, s, expected); room && time.Duration(float64(expected)*a.speed.factor()) <= left {
			return true
		}
	}
	return false
}
