package dispatch

import (
	"math/rand/v2"
	"time"

	"foxtaildock.example/dock/ident"
)

// Defaults of Config.
const (
	// DefaultCreditFor is shorter than DefaultOfferFor, so that a credit lapses
	// at the home before the executor gives the slot away.
	DefaultCreditFor = 15 * time.Millisecond
	// DefaultFresh is one heartbeat period.
	DefaultFresh = 500 * time.Millisecond
	// DefaultWantAgain limits how often an unanswered want is repeated.
	DefaultWantAgain = time.Second
	// DefaultWantFanout is the number of executors told that tasks wait.
	DefaultWantFanout = 11
)

// Config configures the credit pool. Zero durations and counts mean defaults.
type Config struct {
	// Own is the executor in the same process as the home.
	Own ident.Incarnation
	// Random breaks ties, so that homes with equal knowledge don't all choose
	// the same executor.
	Random *rand.Rand
	// CreditFor is how long a kept slot is relied on.
	CreditFor time.Duration
	// Fresh is how long an executor's own word outranks listed load.
	Fresh time.Duration
	// WantAgain is the least time between two equal wants.
	WantAgain time.Duration
	// WantFanout is the number of executors told that tasks wait.
	WantFanout int
}

func (c Config) withDefaults() Config {
	if c.CreditFor == 0 {
		c.CreditFor = DefaultCreditFor
	}
	if c.Fresh == 0 {
		c.Fresh = DefaultFresh
	}
	if c.WantAgain == 0 {
		c.WantAgain = DefaultWantAgain
	}
	if c.WantFanout == 0 {
		c.WantFanout = DefaultWantFanout
	}
	return c
}

// Credit is the pool that sends a task only where a slot is thought idle: first
// its own executor, then one that keeps a slot for this home, then the one with
// the most slots believed idle. Otherwise the task waits at the home, because a
// task that waits at an executor can't move when another falls idle first.
type Credit struct {
	config    Config
	executors executorSet
	wants     map[ident.Service]*wantState
}

var _ Pool = (*Credit)(nil)

// wantState is what the executors were last told about one service.
type wantState struct {
	told    []ident.Incarnation
	waiting int
	at      time.Duration
}

// NewCredit returns an empty pool.
func NewCredit(config Config) *Credit {
	return &Credit{
		config: config.withDefaults(),
		wants:  make(map[ident.Service]*wantState),
	}
}

// SetExecutors implements Pool.
func (p *Credit) SetExecutors(now time.Duration, executors []Executor) {
	p.executors.replace(now, p.config.Fresh, executors)
}

// Remove implements Pool.
func (p *Credit) Remove(executor ident.Incarnation) {
	p.executors.remove(executor)
}

// Observe implements Pool.
func (p *Credit) Observe(now time.Duration, executor ident.Incarnation, free int) {
	if e := p.executors.find(executor); e != nil {
		e.believed = free
		e.told = now
	}
}

// Pick implements Pool.
func (p *Credit) Pick(now time.Duration, service ident.Service) (ident.Incarnation, bool) {
	e := p.choose(now, service)
	if e == nil {
		return "", false
	}
	e.take(now)
	return e.Incarnation, true
}

func (p *Credit) choose(now time.Duration, service ident.Service) *executorState {
	own := p.executors.find(p.config.Own)
	if own != nil && own.serves(service) && own.believed > 0 {
		return own
	}
	if e := p.mostCredit(now, service); e != nil {
		return e
	}
	return p.mostFree(service)
}

// mostCredit returns the executor that keeps the most slots for this home.
func (p *Credit) mostCredit(now time.Duration, service ident.Service) *executorState {
	best := newChoice(p.config.Random)
	for _, e := range p.executors.list {
		if e.serves(service) {
			best.offer(e, e.credits.count(now))
		}
	}
	return best.executor
}

// mostFree returns the executor with the most slots believed idle.
func (p *Credit) mostFree(service ident.Service) *executorState {
	best := newChoice(p.config.Random)
	for _, e := range p.executors.list {
		if e.serves(service) {
			best.offer(e, e.believed)
		}
	}
	return best.executor
}

// Report implements Pool.
func (p *Credit) Report(now time.Duration, executor ident.Incarnation, r Report) {
	e := p.executors.find(executor)
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	e.believed = r.Free
	e.told = now
	e.credits.add(r.Credit-e.credits.count(now), now+p.config.CreditFor)
}

// Offer implements Pool.
func (p *Credit) Offer(now time.Duration, executor ident.Incarnation, slots int) {
	if e := p.executors.find(executor); e != nil {
		e.credits.add(slots, now+p.config.CreditFor)
	}
}

// choice keeps the executor with the highest positive score; equal scores are
// drawn with equal chance in one pass.
type choice struct {
	random   *rand.Rand
	executor *executorState
	score    int
	ties     int
}

func newChoice(random *rand.Rand) choice { return choice{random: random} }

func (c *choice) offer(e *executorState, score int) {
	switch {
	case score <= 0 || score < c.score:
		return
	case score > c.score:
		c.executor, c.score, c.ties = e, score, 1
		return
	}
	c.ties++
	if c.random != nil && c.random.IntN(c.ties) == 0 {
		c.executor = e
	}
}
