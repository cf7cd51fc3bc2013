package backend

import (
	"sync"
	"time"
)

// Faults holds the faults of the stand-in. It is replaced as a whole over the
// admin interface.
type Faults struct {
	// Fail starts every task and answers at once with an error.
	Fail bool `json:"fail,omitempty"`
	// Refuse answers 503 and states that the task was not started.
	Refuse bool `json:"refuse,omitempty"`
	// Freeze starts every task and sends no answer until Freeze is cleared.
	Freeze bool `json:"freeze,omitempty"`
	// SlowFactor multiplies run times. Zero means one.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// LateMS delays each answer by this many milliseconds after its slot is free
	// again.
	LateMS int `json:"late_ms,omitempty"`
	// DuplicateAnswers sends each answer twice on the connection.
	DuplicateAnswers bool `json:"twice,omitempty"`
	// PreviousAnswer answers each task with the answer to the previous task.
	PreviousAnswer bool `json:"crossed,omitempty"`
}

func (f Faults) runTime(p Payload) time.Duration {
	factor := f.SlowFactor
	if factor <= 0 {
		factor = 1
	}
	return time.Duration(p.RunMS * factor * float64(time.Millisecond))
}

// faultState holds the current faults and wakes goroutines that wait for a change.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

func (b *faultState) get() (Faults, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults, b.changed
}

func (b *faultState) set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	close(b.changed)
	b.changed = make(chan struct{})
}
