package backend

import (
	"sync"
	"time"
)

// Faults is what the stand-in does wrong. It is replaced as a whole over the
// admin path.
type Faults struct {
	// Fail starts every task and answers at once with an error.
	Fail bool `json:"fail,omitempty"`
	// Refuse answers 503 and promises that the task was not started.
	Refuse bool `json:"refuse,omitempty"`
	// Freeze starts every task and gives no answer until it is cleared.
	Freeze bool `json:"freeze,omitempty"`
	// SlowFactor multiplies run times. Zero means one.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LateMS delays each answer after its slot is free again.
	LateMS int `json:"late_ms,omitempty"`
	// Twice sends each answer twice on the connection.
	Twice bool `json:"twice,omitempty"`
	// Crossed answers each task with the answer to the task before it.
	Crossed bool `json:"crossed,omitempty"`
}

func (f Faults) runTime(p Payload) time.Duration {
	factor := f.SlowFactor
	if factor <= 0 {
		factor = 1
	}
	return time.Duration(p.RunMS * factor * float64(time.Millisecond))
}

// faultBox holds the current faults and wakes those that wait for a change.
type faultBox struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultBox() *faultBox { return &faultBox{changed: make(chan struct{})} }

func (b *faultBox) get() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.changed
}

func (b *faultBox) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}
