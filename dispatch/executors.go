package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// executorState is what a pool believes about one executor.
type executorState struct {
	Executor
	// believed is the number of slots thought idle, less the tasks sent since.
	believed int
	// inFlight is the number of tasks placed here and not yet answered.
	inFlight int
	// told is when believed was last learnt from the executor itself.
	told time.Duration
	// credits are the idle slots that the executor keeps for this home.
	credits creditSet
}

// serves reports whether the executor may be given tasks of the service.
func (e *executorState) serves(service ident.Service) bool {
	return e.Accepting && slices.Contains(e.Services, service)
}

// take books one task on the executor, on a kept slot if there is one.
func (e *executorState) take(now time.Duration) {
	e.credits.use(now)
	e.believed = max(0, e.believed-1)
	e.inFlight++
}

// executorSet holds executors sorted by incarnation, so that walking it does
// not depend on the run.
type executorSet struct {
	list []*executorState
}

func (s *executorSet) search(inc ident.Incarnation) (int, bool) {
	return slices.BinarySearchFunc(s.list, inc, func(e *executorState, i ident.Incarnation) int {
		return cmp.Compare(e.Incarnation, i)
	})
}

// find returns the executor, or nil.
func (s *executorSet) find(inc ident.Incarnation) *executorState {
	i, ok := s.search(inc)
	if !ok {
		return nil
	}
	return s.list[i]
}

// remove forgets the executor.
func (s *executorSet) remove(inc ident.Incarnation) {
	if i, ok := s.search(inc); ok {
		s.list = slices.Delete(s.list, i, i+1)
	}
}

// replace makes the set hold exactly the given executors. Those that stay keep
// their tasks in flight, credits and health. The listed load is believed only
// if nothing was heard from the executor itself for the time fresh.
func (s *executorSet) replace(now, fresh time.Duration, executors []Executor) {
	next := make([]*executorState, 0, len(executors))
	for _, x := range executors {
		e := s.find(x.Incarnation)
		if e == nil {
			e = &executorState{believed: x.Free, told: now}
		} else if now-e.told >= fresh {
			e.believed = x.Free
		}
		e.Executor = x
		next = append(next, e)
	}
	slices.SortFunc(next, func(a, b *executorState) int {
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	s.list = slices.CompactFunc(next, func(a, b *executorState) bool {
		return a.Incarnation == b.Incarnation
	})
}

// creditSet holds the expiry times of kept slots, soonest first.
type creditSet struct {
	until []time.Duration
}

// add notes n slots kept until the given time.
func (c *creditSet) add(n int, until time.Duration) {
	for range n {
		c.until = append(c.until, until)
	}
	slices.Sort(c.until)
}

// count drops what has expired and returns the number of slots kept.
func (c *creditSet) count(now time.Duration) int {
	i := 0
	for i < len(c.until) && c.until[i] <= now {
		i++
	}
	c.until = slices.Delete(c.until, 0, i)
	return len(c.until)
}

// use spends the slot that expires first, if there is one.
func (c *creditSet) use(now time.Duration) {
	if c.count(now) > 0 {
		c.until = slices.Delete(c.until, 0, 1)
	}
}
