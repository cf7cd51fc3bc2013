package run

import (
	"math"
	"slices"
	"time"
)

// pace is a moving average of the ratio of actual to expected run time of the tasks
// that run now. It shows a slow backend server long before its tasks end.
type pace struct {
	value float64
	at    time.Duration
}

const (
	// paceWindow is the time constant of the average: a few answers of the backend
	// server to CallHold.
	paceWindow = 300 * time.Millisecond
	// minPercent is the progress that a task needs to count towards the pace.
	minPercent = 10
	// paceStep is the smallest relative change of the pace that is reported.
	paceStep = 0.1
)

// sample adds one measurement: took is the time that the running tasks have taken so
// far, expected the time that their progress should have taken.
func (p *pace) sample(now, took, expected time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	ratio := float64(took) / float64(expected)
	if p.value == 0 || now-p.at > paceMaxAge {
		p.value, p.at = ratio, now
		return
	}
	weight := 1 - math.Exp(-float64(now-p.at)/float64(paceWindow))
	p.value += weight * (ratio - p.value)
	p.at = now
}

// paceMaxAge is how long the pace stays valid after its last sample.
const paceMaxAge = 500 * time.Millisecond

// quantized returns the pace rounded to powers of 1+paceStep, so that small changes
// cause no message to entries. It returns 0 if the pace is unknown.
func (p *pace) quantized(now time.Duration) float64 {
	if p.value <= 0 || now-p.at > paceMaxAge {
		return 0
	}
	steps := math.Round(math.Log(p.value) / math.Log(1+paceStep))
	return math.Pow(1+paceStep, steps)
}

// paceLimit is the multiple of the median of the running tasks' ratios to which each of
// them is limited, so that one straggler doesn't make a server with other tasks look slow.
const paceLimit = 2

// samplePace updates the pace from the progress of the running tasks.
func (c *Core) samplePace() {
	ratios := make([]float64, 0, len(c.held))
	for _, t := range c.held {
		if took, expected := t.progress(); expected > 0 {
			ratios = append(ratios, float64(took)/float64(expected))
		}
	}
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	limit := paceLimit * ratios[(len(ratios)-1)/2]
	var sum, expectedSum float64
	for _, t := range c.held {
		if took, expected := t.progress(); expected > 0 {
			sum += min(float64(took), limit*float64(expected))
			expectedSum += float64(expected)
		}
	}
	c.pace.sample(c.now, time.Duration(sum), time.Duration(expectedSum))
}

// progress returns how long the task has run until its last progress, and how long that
// progress was expected to take, 0 if it has made too little.
func (t *task) progress() (took, expected time.Duration) {
	if t.phase != phaseRunning || t.expected <= 0 || t.percent < minPercent {
		return 0, 0
	}
	return t.progressedAt - t.started, t.expected * time.Duration(t.percent) / 100
}
