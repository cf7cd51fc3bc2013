// Package mailbox provides event loops behind bounded channels. A component of a
// process runs its event loop in a goroutine of its own, which alone accesses the
// component's state; other goroutines send it events.
package mailbox

import (
	"context"
	"time"
)

// Box is the event queue of one event loop.
type Box[E any] struct {
	events chan E
	done   chan struct{}
}

// New returns a box that holds up to size events.
func New[E any](size int) *Box[E] {
	return &Box[E]{events: make(chan E, size), done: make(chan struct{})}
}

// Offer sends an event without waiting. It returns false if the box is full or its
// event loop has ended; the caller should then refuse the request.
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

// Put sends an event that must not be lost, such as the answer to a request of the
// event loop. It waits while the box is full and returns false only if the event loop
// has ended.
func (b *Box[E]) Put(e E) bool {
	select {
	case b.events <- e:
		return true
	case <-b.done:
		return false
	}
}

// Run is the event loop: it calls step for each event, one at a time, and tick every
// interval, until the context ends.
func (b *Box[E]) Run(ctx context.Context, interval time.Duration, step func(E), tick func()) {
	b.RunAdaptive(ctx, func() time.Duration { return interval }, step, tick)
}

// RunAdaptive is Run with a variable interval, so that an idle event loop costs next to
// nothing. It calls interval after each event and tick. An event can make the next tick
// earlier, not later.
func (b *Box[E]) RunAdaptive(ctx context.Context, interval func() time.Duration, step func(E), tick func()) {
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
