package gate

import (
	"math"
	"time"
)

// Constants of the pace.
const (
	// paceWindow is the busy time of one slot over which the pace is taken.
	paceWindow = 1500 * time.Millisecond
	// paceLeast is the share of the window that has to be filled first.
	paceLeast = 0.25
)

// pace measures how long a slot is busy for each task that it finishes. Old
// observations fade with busy time, not with time: a gate that gets few tasks
// keeps its pace until new ones show another. Running tasks count as they run,
// so a backend server that has slowed down shows before it answers.
type pace struct {
	at       time.Duration
	busy     float64 // slot seconds
	finishes float64
}

// advance notes that running slots were busy until now.
func (p *pace) advance(now time.Duration, running, slots int) {
	added := (now - p.at).Seconds() * float64(running)
	p.at = now
	if added <= 0 || slots == 0 {
		return
	}
	keep := math.Exp(-added / (paceWindow.Seconds() * float64(slots)))
	p.busy = p.busy*keep + added
	p.finishes *= keep
}

// finished notes the end of one task.
func (p *pace) finished() { p.finishes++ }

// value returns the pace, or zero while too little has been seen.
func (p *pace) value(slots int) time.Duration {
	if p.busy < paceLeast*paceWindow.Seconds()*float64(slots) {
		return 0
	}
	return time.Duration(p.busy / max(1, p.finishes) * float64(time.Second))
}
