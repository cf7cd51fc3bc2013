package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// executorState is what a pool knows or estimates about one executor.
type executorState struct {
	Executor
	// idle is the last known number of idle slots, minus the tasks that waited
	// at the gate, minus the tasks sent since. A negative number is a queue.
	idle int
	// inFlight is the number of tasks placed here and not yet answered.
	inFlight int
	// loadAt is when the executor itself last reported its load.
	loadAt time.Duration
	health executorHealth
	// refusedUntil is the end of the pause after a refusal.
	refusedUntil time.Duration
}

// refusalPause is how long an executor that refused a task gets no other task. It
// may have lost its permit, which the next heartbeat shows.
const refusalPause = 100 * time.Millisecond

// serves reports whether the executor may be given tasks of the service.
func (e *executorState) serves(now time.Duration, service ident.Service) bool {
	return e.Accepting && now >= e.refusedUntil && slices.Contains(e.Services, service)
}

// answered processes the answer to one task.
func (e *executorState) answered(now time.Duration, r Report) {
	e.inFlight = max(0, e.inFlight-1)
	e.updateLoad(now, r.Load)
	if !r.Started {
		e.refusedUntil = now + refusalPause
	}
}

// addTask counts one task as sent to the executor.
func (e *executorState) addTask() {
	e.idle--
	e.inFlight++
}

// updateLoad updates the load that the executor itself reported.
func (e *executorState) updateLoad(now time.Duration, l Load) {
	e.idle = l.idle()
	e.loadAt = now
	e.health.pace = l.Pace
}

// executorSet holds executors sorted by incarnation, so that the order of
// iteration is deterministic.
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

// remove removes the executor from the set.
func (s *executorSet) remove(inc ident.Incarnation) {
	if i, ok := s.search(inc); ok {
		s.list = slices.Delete(s.list, i, i+1)
	}
}

// replace makes the set hold exactly the given executors. Those that stay keep
// their tasks in flight. The listed load is used only if the executor itself has
// not reported its load for the time ttl.
func (s *executorSet) replace(now, ttl time.Duration, executors []Executor) {
	next := make([]*executorState, 0, len(executors))
	for _, x := range executors {
		e := s.find(x.Incarnation)
		switch {
		case e == nil:
			e = &executorState{}
			e.updateLoad(now, x.Load)
		case now-e.loadAt >= ttl:
			e.idle = x.Load.idle()
			e.health.pace = x.Load.Pace
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

// choice selects the executor with the highest score in one pass. Among equal
// scores each executor is chosen with equal probability.
type choice struct {
	random   *rand.Rand
	executor *executorState
	score    float64
	ties     int
}

func (c *choice) consider(e *executorState, score float64) {
	switch {
	case c.executor == nil || score > c.score:
		c.executor, c.score, c.ties = e, score, 1
		return
	case score < c.score:
		return
	}
	c.ties++
	if c.random != nil && c.random.IntN(c.ties) == 0 {
		c.executor = e
	}
}
