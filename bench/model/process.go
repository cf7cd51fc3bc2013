package model

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// process is one incarnation of an agent or entry.
type process struct {
	cluster     *Cluster
	address     int
	incarnation ident.Incarnation
	startedAt   time.Duration
	dead        bool
	paused      bool
	resumedAt   time.Duration // when it was last resumed, in simulated time
	deferred    []func()
}

// now returns the monotonic clock of the process, which also runs while the
// process is paused.
func (p *process) now() time.Duration { return p.cluster.queue.Now() - p.startedAt }

// after runs f in the process after d. A paused process runs it when it is
// resumed, a dead one never.
func (p *process) after(d time.Duration, f func()) {
	p.cluster.after(d, func() { p.run(f) })
}

func (p *process) run(f func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, f)
	default:
		f()
	}
}

// spawn runs f after a short random delay, like a new goroutine of the process.
func (p *process) spawn(f func()) {
	p.after(time.Duration(p.cluster.random.IntN(int(goroutineDelay))), f)
}

// every runs f at an interval until the process dies.
func (p *process) every(d time.Duration, f func()) {
	p.after(d, func() {
		f()
		p.every(d, f)
	})
}

// resume runs the deferred functions in random order, as goroutines may run in
// any order.
func (p *process) resume() {
	if !p.paused || p.dead {
		return
	}
	p.paused = false
	p.resumedAt = p.cluster.queue.Now()
	deferred := p.deferred
	p.deferred = nil
	p.cluster.random.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	for _, f := range deferred {
		p.after(0, f)
	}
}
