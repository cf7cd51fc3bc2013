package schedule

import "time"

// health is what the results of real tasks say about a backend server.
type health struct {
	// fails is a moving share of failed runs.
	fails float64
	// trialAt is when the next trial may be sent to a suspected server.
	trialAt time.Duration
}

const (
	// failWeight follows a server that fails everything within three tasks.
	failWeight = 0.3
	// suspectAt is the share of failures from which a server is suspected. A
	// sound one fails a few in a thousand.
	suspectAt = 0.5
	// trialPause is the time between the trials of a suspected server.
	trialPause = 300 * time.Millisecond
)

// failed takes a failed run. It returns true if the server is suspected, so that
// the failure says nothing about the task.
func (h *health) failed(now time.Duration) bool {
	h.fails += failWeight * (1 - h.fails)
	h.trialAt = now + trialPause
	return h.fails >= suspectAt
}

func (h *health) done() { h.fails -= failWeight * h.fails }

// mayTake reports whether the server may get a task. A suspected one gets single
// tasks, and each of them that succeeds counts for it.
func (h *health) mayTake(now time.Duration, held int) bool {
	if h.fails < suspectAt {
		return true
	}
	return held == 0 && now >= h.trialAt
}

// runStalled moves a task away from a backend server on which it stands still.
func (c *Core) runStalled(e RunStalled) {
	_, t := c.underWay(e.Agent, e.Run)
	if t == nil || t.stopping {
		return
	}
	t.agent.health.failed(c.now)
	c.moveOff(t, e.Run, "run stands still; moved")
}
