// Package mailbox gives each duty of a process its own goroutine behind a
// bounded channel. The duty owns its state; everybody else sends it events.
package mailbox

import (
	"context"
	"time"
)

// Box is the inbox of one duty.
type Box[E any] struct {
	events chan E
	done   chan struct{}
}

// New returns a box that holds up to size events.
func New[E any](size int) *Box[E] {
	return &Box[E]{events: make(chan E, size), done: make(chan struct{})}
}

// Offer sends an event without waiting. It returns false if the box is full or
// its duty has stopped, which the caller turns into a refusal.
func (b *Box[E]) Offer(e E) bool {
	select {
	case <-b.done:
		return false
	default:
	}
	select {
	case b.events <- e:
		return true
	default:
		return false
	}
}

// Put sends an event that must not be lost, such as an answer to what the duty
// asked for. It waits for room and returns false only if the duty has stopped.
func (b *Box[E]) Put(e E) bool {
	select {
	case b.events <- e:
		return true
	case <-b.done:
		return false
	}
}

// Run hands events to step one at a time, and calls tick every interval, until
// the context ends.
func (b *Box[E]) Run(ctx context.Context, interval time.Duration, step func(E), tick func()) {
	b.RunPaced(ctx, func() time.Duration { return interval }, step, tick)
}

// RunPaced is Run with an interval that the duty chooses anew after each event
// and tick, so that a duty without work costs next to nothing.
func (b *Box[E]) RunPaced(ctx context.Context, interval func() time.Duration, step func(E), tick func()) {
	defer close(b.done)
	next := time.Now().Add(interval())
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	for {
		select {
		case e := <-b.events:
			step(e)
			if sooner := time.Now().Add(interval()); sooner.Before(next) {
				next = sooner
				timer.Reset(time.Until(next))
			}
		case <-timer.C:
			tick()
			next = time.Now().Add(interval())
			timer.Reset(time.Until(next))
		case <-ctx.Done():
			return
		}
	}
}
