package dispatch

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// Wants implements Pool. Executors are told when tasks begin to wait, when the
// number has doubled, when nothing waits any more, and again if no slot came.
func (p *Credit) Wants(now time.Duration, service ident.Service, waiting int, oldest time.Duration) []ident.Incarnation {
	w := p.wants[service]
	if w == nil {
		w = &wantState{}
		p.wants[service] = w
	}
	if !w.worthTelling(now, waiting, oldest, p.config.WantAgain) {
		return nil
	}
	if waiting > 0 {
		w.told = p.wantTargets(service)
	}
	w.waiting = waiting
	w.at = now
	return slices.Clone(w.told)
}

// worthTelling reports whether the executors' knowledge is out of date by more
// than the messages would cost.
func (w *wantState) worthTelling(now time.Duration, waiting int, oldest, again time.Duration) bool {
	switch {
	case waiting == 0:
		return w.waiting > 0
	case waiting >= 2*w.waiting:
		return true
	}
	return oldest >= again && now-w.at >= again
}

// wantTargets returns the executors to tell, in an order that differs from call
// to call if there are more than the fanout.
func (p *Credit) wantTargets(service ident.Service) []ident.Incarnation {
	var targets []ident.Incarnation
	for _, e := range p.executors.list {
		if e.serves(service) {
			targets = append(targets, e.Incarnation)
		}
	}
	if len(targets) <= p.config.WantFanout {
		return targets
	}
	if p.config.Random != nil {
		p.config.Random.Shuffle(len(targets), func(i, j int) {
			targets[i], targets[j] = targets[j], targets[i]
		})
	}
	return targets[:p.config.WantFanout]
}
