package model

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// process is one life of an agent or entry.
type process struct {
	cluster     *Cluster
	address     int
	incarnation ident.Incarnation
	origin      time.Duration
	dead        bool
	paused      bool
	wasPaused   time.Duration // when it was last resumed
	deferred    []func()
}

// now is the monotonic clock of the process. It runs on while it is paused.
func (p *process) now() time.Duration { return p.cluster.queue.Now() - p.origin }

// after runs f in the process once d has passed. A paused process runs it when
// it is resumed, a dead one never.
func (p *process) after(d time.Duration, f func()) {
	p.cluster.at(d, func() { p.run(f) })
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

// soon runs f as a new goroutine of the process would.
func (p *process) soon(f func()) {
	p.after(time.Duration(p.cluster.random.IntN(int(goroutineDelay))), f)
}

// every runs f at an interval until the process dies.
func (p *process) every(d time.Duration, f func()) {
	p.after(d, func() {
		f()
		p.every(d, f)
	})
}

// resume runs what has waited, in any order, as goroutines may.
func (p *process) resume() {
	if !p.paused || p.dead {
		return
	}
	p.paused = false
	p.wasPaused = p.cluster.queue.Now()
	waiting := p.deferred
	p.deferred = nil
	p.cluster.random.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
	for _, f := range waiting {
		p.after(0, f)
	}
}
