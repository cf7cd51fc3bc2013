package schedule

import "time"

// health tracks how often the tasks of a backend server fail.
type health struct {
	// failureRate is a moving average of the share of runs that failed.
	failureRate float64
	// nextTrial is when the next trial may be sent to a suspected server.
	nextTrial time.Duration
}

const (
	// failureWeight makes a server that fails every task suspected within three tasks.
	failureWeight = 0.3
	// suspectThreshold is the lowest failure rate at which a server is suspected. A healthy
	// server fails a few tasks in a thousand.
	suspectThreshold = 0.5
	// trialInterval is the time between trial tasks on a suspected server.
	trialInterval = 300 * time.Millisecond
)

// failed records a failed run. It returns true if the server is suspected; the
// failure is then attributed to the server, not to the task.
func (h *health) failed(now time.Duration) bool {
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.nextTrial = now + trialInterval
	return h.failureRate >= suspectThreshold
}

func (h *health) done() { h.failureRate -= failureWeight * h.failureRate }

// mayTake reports whether the server may get a task. held is the number of runs
// that it has. A suspected server gets one trial task at a time; each success lowers
// its failure rate.
func (h *health) mayTake(now time.Duration, held int) bool {
	if h.failureRate < suspectThreshold {
		return true
	}
	return held == 0 && now >= h.nextTrial
}

// runStalled reassigns a task whose run makes no progress, and counts the stall as a
// failure of the backend server.
func (c *Core) runStalled(e RunStalled) {
	_, t := c.findRun(e.Agent, e.Run)
	if t == nil || t.stopping {
		return
	}
	t.agent.health.failed(c.now)
	c.reassign(t, e.Run, "run stalled; reassigning its task")
}
