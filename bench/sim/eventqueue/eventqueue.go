// Package eventqueue provides the event queue and the clock of discrete-event
// simulations. Events with equal times are popped in the order in which they
// were pushed, so that a run depends only on its seed.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds events of type E. The zero value is an empty queue at time zero.
type Queue[E any] struct {
	heap     entries[E]
	now      time.Duration
	sequence uint64
}

type entry[E any] struct {
	at       time.Duration
	sequence uint64
	event    E
}

// Push adds an event. A time before Now is replaced by Now, since simulated
// time never goes back.
func (q *Queue[E]) Push(at time.Duration, event E) {
	q.sequence++
	heap.Push(&q.heap, entry[E]{at: max(at, q.now), sequence: q.sequence, event: event})
}

// Pop removes and returns the next event and advances the time to it. It
// returns false if the queue is empty.
func (q *Queue[E]) Pop() (event E, ok bool) {
	if len(q.heap) == 0 {
		return event, false
	}
	e := heap.Pop(&q.heap).(entry[E])
	q.now = e.at
	return e.event, true
}

// Now returns the simulated time, which is that of the last event popped.
func (q *Queue[E]) Now() time.Duration { return q.now }

// Next returns the time of the next event, or false if the queue is empty.
func (q *Queue[E]) Next() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].at, true
}

// Len returns the number of pending events.
func (q *Queue[E]) Len() int { return len(q.heap) }

// Events returns the pending events in an unspecified but repeatable order, for
// tests that drop or copy messages in transit.
func (q *Queue[E]) Events() []E {
	events := make([]E, len(q.heap))
	for i := range q.heap {
		events[i] = q.heap[i].event
	}
	return events
}

// entries implements heap.Interface.
type entries[E any] []entry[E]

// Len implements heap.Interface.
func (h entries[E]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entries[E]) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h entries[E]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entries[E]) Push(x any) { *h = append(*h, x.(entry[E])) }

// Pop implements heap.Interface.
func (h *entries[E]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = entry[E]{}
	*h = (*h)[:last]
	return e
}
