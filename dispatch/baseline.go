package dispatch

import (
	"math/rand/v2"
	"time"

	"foxtaildock.example/dock/ident"
)

// Random is a baseline policy for comparison. It sends each task at once to a
// random executor of the service, where the task waits for a slot.
type Random struct {
	random    *rand.Rand
	executors executorSet
}

// PowerOfTwoChoices is a baseline policy for comparison. It draws two executors at
// random and sends the task at once to the one with less load.
type PowerOfTwoChoices struct {
	Random
}

var (
	_ Pool = (*Random)(nil)
	_ Pool = (*PowerOfTwoChoices)(nil)
)

// NewRandom returns an empty pool that draws from the given source.
func NewRandom(random *rand.Rand) *Random { return &Random{random: random} }

// NewPowerOfTwoChoices returns an empty pool that draws from the given source.
func NewPowerOfTwoChoices(random *rand.Rand) *PowerOfTwoChoices {
	return &PowerOfTwoChoices{Random: Random{random: random}}
}

// SetExecutors implements Pool.
func (p *Random) SetExecutors(now time.Duration, executors []Executor) {
	p.executors.replace(now, 0, executors)
}

// Remove implements Pool.
func (p *Random) Remove(executor ident.Incarnation) { p.executors.remove(executor) }

// Observe implements Pool.
func (p *Random) Observe(now time.Duration, executor ident.Incarnation, l Load) {
	if e := p.executors.find(executor); e != nil {
		e.updateLoad(now, l)
	}
}

// Pick implements Pool.
func (p *Random) Pick(now time.Duration, service ident.Service, _ bool) (ident.Incarnation, bool) {
	e := p.draw(now, service)
	if e == nil {
		return "", false
	}
	e.addTask()
	return e.Incarnation, true
}

// draw returns a random executor of the service, or nil.
func (p *Random) draw(now time.Duration, service ident.Service) *executorState {
	best := choice{random: p.random}
	for _, e := range p.executors.list {
		if e.serves(now, service) {
			best.consider(e, 0)
		}
	}
	return best.executor
}

// Report implements Pool.
func (p *Random) Report(now time.Duration, executor ident.Incarnation, r Report) {
	if e := p.executors.find(executor); e != nil {
		e.answered(now, r)
	}
}

// Pick implements Pool.
func (p *PowerOfTwoChoices) Pick(now time.Duration, service ident.Service, _ bool) (ident.Incarnation, bool) {
	e, other := p.draw(now, service), p.draw(now, service)
	if e == nil {
		return "", false
	}
	if other.load() < e.load() {
		e = other
	}
	e.addTask()
	return e.Incarnation, true
}

// load returns the number of tasks in flight minus the estimated idle slots.
func (e *executorState) load() int { return e.inFlight - e.idle }
