package gate

import (
	"math"
	"time"
)

// Constants of the pace measurement.
const (
	// paceWindow is the time constant of the average, in busy time per slot.
	paceWindow = 1500 * time.Millisecond
	// paceMinShare is the fraction of paceWindow that must have been observed before
	// a pace is reported.
	paceMinShare = 0.25
)

// pace measures the busy time of slots per finished task, as an exponentially
// weighted average. Old observations decay with busy time, not with elapsed time:
// a gate that gets few tasks keeps its pace until new tasks change it. The busy
// time of running tasks counts as it passes, so the pace of a backend server that
// has slowed down rises before it answers.
type pace struct {
	at       time.Duration
	busy     float64 // decayed sum of busy time, in slot seconds
	finishes float64 // decayed number of finished tasks
}

// advance adds the time since the last call, in which the given number of slots
// was busy.
func (p *pace) advance(now time.Duration, running, slots int) {
	added := (now - p.at).Seconds() * float64(running)
	p.at = now
	if added <= 0 || slots == 0 {
		return
	}
	decay := math.Exp(-added / (paceWindow.Seconds() * float64(slots)))
	p.busy = p.busy*decay + added
	p.finishes *= decay
}

// finished counts one finished task.
func (p *pace) finished() { p.finishes++ }

// value returns the pace, or zero while too little busy time was observed.
func (p *pace) value(slots int) time.Duration {
	if p.busy < paceMinShare*paceWindow.Seconds()*float64(slots) {
		return 0
	}
	return time.Duration(p.busy / max(1, p.finishes) * float64(time.Second))
}
