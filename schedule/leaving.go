package schedule

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/work"
)

// serverEnd returns when a draining backend server ends at the earliest, as its agent has
// just reported, or 0 if that is unknown.
func (c *Core) serverEnd(s *work.Server) time.Duration {
	if !s.Draining || s.Remaining <= 0 {
		return 0
	}
	return c.now + s.Remaining
}

// expectedRemaining returns how long a placed task is still expected to run, 0 if it has run
// for longer than expected. The agent's progress is part of the speed factor.
func (c *Core) expectedRemaining(a *agentState, j *jobState, step int, t *taskState) time.Duration {
	expected := float64(c.expectedTask(j.Route.Name, &j.Steps[step])) * a.speed.factor()
	return max(0, time.Duration(expected)-(c.now-t.placedAt))
}

// leavingRun is a run that can't end before its backend server does.
type leavingRun struct {
	run      work.Run
	job      *jobState
	task     *taskState
	stopping bool
	useful   bool // its restart ends late, yet early enough to be of use
	slack    time.Duration
}

// moveLeavingRuns stops the runs that can't end before their backend servers do, if their
// tasks, started elsewhere, would still end in time or at least be of use. A run for which
// no other agent has room stays, since it may end sooner than expected.
//
// More urgent tasks are moved first, then those whose restart ends in time, then those with
// the least slack.
func (c *Core) moveLeavingRuns() {
	var runs []leavingRun
	for _, a := range c.order {
		if a.attached && a.endsAt > 0 {
			runs = c.appendLeaving(runs, a)
		}
	}
	slices.SortStableFunc(runs, compareLeaving)
	claimed := map[*agentState]work.Demand{}
	for _, r := range runs {
		s := &r.job.Steps[r.run.Task.Step]
		to, _ := c.restartAgent(r.job, s, claimed)
		if to == nil {
			continue
		}
		claimed[to] = claimed[to].Plus(s.Demand)
		if r.stopping {
			continue
		}
		c.moved++
		c.reassign(r.task, r.run, "run can't end before its backend server does; moving its task")
	}
}

func compareLeaving(a, b leavingRun) int {
	return cmp.Or(
		cmp.Compare(a.job.Route.Priority, b.job.Route.Priority),
		falseFirst(a.useful, b.useful),
		cmp.Compare(a.slack, b.slack),
	)
}

// falseFirst compares two values so that false sorts before true.
func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// appendLeaving appends the agent's runs that are to be moved. Runs that are being stopped
// are included as long as they need room elsewhere.
func (c *Core) appendLeaving(runs []leavingRun, a *agentState) []leavingRun {
	for _, id := range sortedTasks(a.runs) {
		run := work.Run{Task: id, ID: a.runs[id]}
		j, t := c.findRun(a.id, run)
		if t == nil {
			continue
		}
		left := c.expectedRemaining(a, j, id.Step, t)
		if !t.stopping && (left == 0 || c.now+left <= a.endsAt) {
			continue
		}
		to, takes := c.restartAgent(j, &j.Steps[id.Step], nil)
		if to == nil {
			continue
		}
		end := c.now + reassignMargin + takes + c.chainAfter(j, id.Step)
		if end > j.Deadline || end > j.usefulEnd() {
			continue
		}
		runs = append(runs, leavingRun{run: run, job: j, task: t, stopping: t.stopping, useful: end > j.targetEnd, slack: j.targetEnd - end})
	}
	return runs
}

// usefulEnd returns the latest end with which the job's answer is still of use.
func (j *jobState) usefulEnd() time.Duration {
	if !j.hasObjective() {
		return j.Deadline
	}
	return j.arrived + lateFactor*(j.targetEnd-j.arrived)
}

// chainAfter returns the expected run time of the longest chain of steps that depend on the
// step.
func (c *Core) chainAfter(j *jobState, step int) time.Duration {
	chains := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i > step; i-- {
		with := chains[i] + c.expectedTask(j.Route.Name, &j.Steps[i])
		for _, before := range j.Steps[i].After {
			chains[before] = max(chains[before], with)
		}
	}
	return chains[step]
}

// restartAgent returns the agent at which a task of the step would end first if it were
// offered now, and how long that takes. It returns nil if no agent has room beside what is
// claimed. Leaving servers accept no offers, so they are never chosen.
func (c *Core) restartAgent(j *jobState, s *Step, claimed map[*agentState]work.Demand) (best *agentState, takes time.Duration) {
	expected := c.expectedTask(j.Route.Name, s)
	for _, a := range c.order {
		if !c.acceptsOffers(a) || !c.usable(a, j, s) {
			continue
		}
		cost, ok := c.cost(a, j.Route.Priority, s, expected)
		free := a.free(j.Route.Priority)
		left := free.Minus(claimed[a])
		if !ok || !c.mayWaitAt(a, j, s, expected) || !s.Demand.Fits(left) && claimed[a] != (work.Demand{}) {
			continue
		}
		cost += c.expectedWaitAt(a, s.Demand, left, expected)
		if best == nil || cost < takes {
			best, takes = a, cost
		}
	}
	return best, takes
}
