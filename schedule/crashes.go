package schedule

import (
	"time"

	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// maxCrashes is the number of backend servers that may go down under one task before its
// job is given up. Runs that merely were on a server that another task took down are few
// enough to stay below it, since the last run before the limit is made alone.
const maxCrashes = 3

const (
	// crashMemory is how long a crash counts against its task: longer than any caller
	// submits a job again after a lost answer.
	crashMemory = time.Minute
	// maxCrashRecords is the largest number of crashes that are remembered; the oldest is
	// forgotten first.
	maxCrashRecords = 8192
)

// reasonCrashes is the reason of the answer to a job that was given up.
const reasonCrashes = "backend servers went down under a task"

// crashHistory holds which tasks were running when their backend server went down,
// whichever entry had started them.
type crashHistory struct {
	counts  map[work.Task]int
	records []crashRecord // by time
}

type crashRecord struct {
	task work.Task
	at   time.Duration
}

// add records a crash and returns how many the task has.
func (h *crashHistory) add(now time.Duration, task work.Task) int {
	h.forget(now)
	h.records = append(h.records, crashRecord{task: task, at: now})
	h.counts[task]++
	return h.counts[task]
}

// forget drops the records that are too old, and the oldest if there are too many.
func (h *crashHistory) forget(now time.Duration) {
	for len(h.records) > 0 && (len(h.records) >= maxCrashRecords || now-h.records[0].at > crashMemory) {
		task := h.records[0].task
		h.records = h.records[1:]
		if h.counts[task]--; h.counts[task] <= 0 {
			delete(h.counts, task)
		}
	}
}

// recallCrashes sets the crashes of the tasks of a job that was submitted again. It
// returns false if the job is to be given up.
func (c *Core) recallCrashes(j *jobState) bool {
	c.crashes.forget(c.now)
	if len(c.crashes.counts) == 0 {
		return true
	}
	for s := range j.steps {
		for i := range j.steps[s].tasks {
			t := &j.steps[s].tasks[i]
			t.crashes = c.crashes.counts[work.Task{Job: j.ID, Step: s, Index: i}]
			if t.crashes >= maxCrashes {
				return false
			}
		}
	}
	return true
}

// recordCrash counts a crash against its task. It gives the job up, and returns true, if
// the task has reached maxCrashes.
func (c *Core) recordCrash(r work.Run) (givenUp bool) {
	n := c.crashes.add(c.now, r.Task)
	j := c.jobs[r.Task.Job]
	if j == nil {
		return false
	}
	t := j.task(r.Task)
	if t == nil || t.phase == taskDone {
		return false
	}
	t.crashes = n
	if n < maxCrashes {
		return false
	}
	c.emit(LogMessage{Text: "job given up; " + reasonCrashes, Run: r, Crashes: n})
	c.finish(j, FailedJob, reasonCrashes)
	return true
}

// crashed reports whether the run ended because its backend server itself went down.
func (e *RunEnded) crashed() bool {
	return e.Outcome == work.Lost && run.ServerWentDown(e.Reason)
}

// suspect reports whether a backend server has gone down under the task.
func (t *taskState) suspect() bool { return t.crashes > 0 }

// runsAlone reports whether the next run of the task has to be the only one on its
// backend server, so that another crash can't be the fault of another task.
func (t *taskState) runsAlone() bool { return t.crashes >= maxCrashes-1 }

// holdsSuspect reports whether a suspect task of this entry runs at the agent.
func (c *Core) holdsSuspect(a *agentState) bool {
	for id := range a.runs {
		if t := c.ownTask(id); t != nil && t.suspect() {
			return true
		}
	}
	return false
}

// aloneRunPlaced reports whether a task of this entry that runs alone is placed. There is
// at most one at a time, since the server does no other work meanwhile.
func (c *Core) aloneRunPlaced() bool {
	for _, a := range c.order {
		for id := range a.runs {
			if t := c.ownTask(id); t != nil && t.runsAlone() {
				return true
			}
		}
	}
	return false
}

func (c *Core) ownTask(id work.Task) *taskState {
	if j := c.jobs[id.Job]; j != nil {
		return j.task(id)
	}
	return nil
}

// maxUsedToEmpty is the largest share of a backend server's capacity in use at which it may
// be emptied for a run that has to be alone. Emptying a fuller one costs the other jobs more
// room than the end of a suspect task is worth.
const maxUsedToEmpty = 0.5

// chooseAlone returns the agent with the least work at which the task may run alone. The
// task is offered with the whole capacity of the backend server as its demand: the agent
// starts it once nothing else runs there, and starts nothing beside it.
func (c *Core) chooseAlone(j *jobState, s *Step) (*agentState, searchResult) {
	if c.aloneRunPlaced() {
		return nil, notAlone
	}
	var best *agentState
	var bestUsed float64
	for _, a := range c.candidates {
		capacity := a.server.Capacity
		if !c.usable(a, j, s) || !s.Demand.Fits(capacity) || capacity.CPUMilli <= 0 || c.holdsSuspect(a) {
			continue
		}
		used := 1 - float64(a.free(j.Route.Priority).CPUMilli)/float64(capacity.CPUMilli)
		if used <= maxUsedToEmpty && (best == nil || used < bestUsed) {
			best, bestUsed = a, used
		}
	}
	if best == nil {
		return nil, notAlone
	}
	return best, agentFound
}
