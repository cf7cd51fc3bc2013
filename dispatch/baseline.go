package dispatch

import (
	"math/rand/v2"
	"time"

	"foxtaildock.example/dock/ident"
)

// Random is the baseline that sends each task at once to any executor of the
// service, where it waits for a slot.
type Random struct {
	random    *rand.Rand
	executors executorSet
}

// LeastOfTwo is the baseline that draws two executors and sends the task at
// once to the one with less load.
type LeastOfTwo struct {
	Random
}

var (
	_ Pool = (*Random)(nil)
	_ Pool = (*LeastOfTwo)(nil)
)

// NewRandom returns an empty pool that draws from the given source.
func NewRandom(random *rand.Rand) *Random { return &Random{random: random} }

// NewLeastOfTwo returns an empty pool that draws from the given source.
func NewLeastOfTwo(random *rand.Rand) *LeastOfTwo {
	return &LeastOfTwo{Random: Random{random: random}}
}

// SetExecutors implements Pool.
func (p *Random) SetExecutors(now time.Duration, executors []Executor) {
	p.executors.replace(now, 0, executors)
}

// Remove implements Pool.
func (p *Random) Remove(executor ident.Incarnation) { p.executors.remove(executor) }

// Observe implements Pool.
func (p *Random) Observe(_ time.Duration, executor ident.Incarnation, free int) {
	if e := p.executors.find(executor); e != nil {
		e.believed = free
	}
}

// Pick implements Pool.
func (p *Random) Pick(now time.Duration, service ident.Service) (ident.Incarnation, bool) {
	e := p.draw(service)
	if e == nil {
		return "", false
	}
	e.take(now)
	return e.Incarnation, true
}

// draw returns any executor of the service, or nil.
func (p *Random) draw(service ident.Service) *executorState {
	best := newChoice(p.random)
	for _, e := range p.executors.list {
		if e.serves(service) {
			best.offer(e, 1)
		}
	}
	return best.executor
}

// Report implements Pool.
func (p *Random) Report(_ time.Duration, executor ident.Incarnation, r Report) {
	if e := p.executors.find(executor); e != nil {
		e.inFlight = max(0, e.inFlight-1)
		e.believed = r.Free
	}
}

// Offer implements Pool; nothing waits at the home, so offers mean nothing.
func (p *Random) Offer(time.Duration, ident.Incarnation, int) {}

// Wants implements Pool; nothing waits at the home.
func (p *Random) Wants(time.Duration, ident.Service, int, time.Duration) []ident.Incarnation {
	return nil
}

// Pick implements Pool.
func (p *LeastOfTwo) Pick(now time.Duration, service ident.Service) (ident.Incarnation, bool) {
	e, other := p.draw(service), p.draw(service)
	if e == nil {
		return "", false
	}
	if other.load() < e.load() {
		e = other
	}
	e.take(now)
	return e.Incarnation, true
}

// load is the number of tasks in flight, less the slots believed idle.
func (e *executorState) load() int { return e.inFlight - e.believed }
