package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// executorState is what a pool believes about one executor.
type executorState struct {
	Executor
	// idle is the number of slots thought idle, less the tasks thought to wait
	// at the gate, less the tasks sent since. A negative number is a queue.
	idle int
	// inFlight is the number of tasks placed here and not yet answered.
	inFlight int
	// told is when idle was last learnt from the executor itself.
	told   time.Duration
	health record
	// refusedUntil is the end of the pause after a refusal.
	refusedUntil time.Duration
}

// refusalPause is how long an executor that refused a task gets no other. It may
// have lost its permit, and the next heartbeat will tell.
const refusalPause = 100 * time.Millisecond

// serves reports whether the executor may be given tasks of the service.
func (e *executorState) serves(now time.Duration, service ident.Service) bool {
	return e.Accepting && now >= e.refusedUntil && slices.Contains(e.Services, service)
}

// answered notes the answer to one task.
func (e *executorState) answered(now time.Duration, r Report) {
	e.inFlight = max(0, e.inFlight-1)
	e.tell(now, r.Load)
	if !r.Started {
		e.refusedUntil = now + refusalPause
	}
}

// take books one task on the executor.
func (e *executorState) take() {
	e.idle--
	e.inFlight++
}

// tell notes the executor's own word about its load.
func (e *executorState) tell(now time.Duration, l Load) {
	e.idle = l.idle()
	e.told = now
	e.health.pace = l.Pace
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
// their tasks in flight. The listed load is believed only if nothing was heard
// from the executor itself for the time fresh.
func (s *executorSet) replace(now, fresh time.Duration, executors []Executor) {
	next := make([]*executorState, 0, len(executors))
	for _, x := range executors {
		e := s.find(x.Incarnation)
		switch {
		case e == nil:
			e = &executorState{}
			e.tell(now, x.Load)
		case now-e.told >= fresh:
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

// choice keeps the executor with the highest score; equal scores are drawn with
// equal chance in one pass.
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
