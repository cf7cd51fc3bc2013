package run

import (
	"math"
	"time"
)

// pace is by how much the tasks that run now take longer than expected. It shows a
// slow backend server long before its tasks end.
type pace struct {
	value float64
	at    time.Duration
}

const (
	// paceWindow is the time over which the pace is averaged: a few answers of the
	// server.
	paceWindow = 300 * time.Millisecond
	// minPercent is the progress from which a task says something about the pace.
	minPercent = 10
	// paceStep is the relative change of the pace that is worth telling.
	paceStep = 0.1
)

// sample takes the times and the expected times of the work that is done so far.
func (p *pace) sample(now, took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	if p.value == 0 || now-p.at > paceMemory {
		p.value, p.at = ratio, now
		return
	}
	weight := 1 - math.Exp(-float64(now-p.at)/float64(paceWindow))
	p.value += weight * (ratio - p.value)
	p.at = now
}

// paceMemory is how long a pace is told after the last task that showed it.
const paceMemory = 500 * time.Millisecond

// told is the pace in steps, so that small changes aren't told.
func (p *pace) told(now time.Duration) float64 {
	if p.value <= 0 || now-p.at > paceMemory {
		return 0
	}
	steps := math.Round(math.Log(p.value) / math.Log(1+paceStep))
	return math.Pow(1+paceStep, steps)
}

// samplePace takes the progress of everything that runs.
func (c *Core) samplePace() {
	var took, expected time.Duration
	for _, t := range c.tasks {
		if t.phase != phaseRunning || t.expected <= 0 || t.percent < minPercent {
			continue
		}
		took += t.moved - t.started
		expected += t.expected * time.Duration(t.percent) / 100
	}
	c.pace.sample(c.now, took, expected)
}
