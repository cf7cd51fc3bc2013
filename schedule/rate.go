package schedule

import (
	"math"
	"time"

	"foxtaildock.example/dock/work"
)

// rateWindow is the time over which rates are averaged: long against the time of
// a short task, short against a burst.
const rateWindow = 300 * time.Millisecond

// placedRates is the work that an entry has lately placed, by priority, in
// thousandths of a core that it keeps busy.
type placedRates struct {
	levels map[work.Priority]*placedRate
}

type placedRate struct {
	value float64
	at    time.Duration
}

// add counts work that is placed now, in thousandths of a core times nanoseconds.
func (p *placedRates) add(level work.Priority, now time.Duration, effort float64) {
	if p.levels == nil {
		p.levels = map[work.Priority]*placedRate{}
	}
	r := p.levels[level]
	if r == nil {
		r = &placedRate{at: now}
		p.levels[level] = r
	}
	r.value = r.decayed(now) + effort/float64(rateWindow)
	r.at = now
}

func (r *placedRate) decayed(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateWindow))
}

// rate is the work of the priority that is placed per time.
func (p *placedRates) rate(level work.Priority, now time.Duration) float64 {
	if r := p.levels[level]; r != nil {
		return r.decayed(now)
	}
	return 0
}

// moreUrgent is the work of all more urgent priorities that is placed per time.
func (p *placedRates) moreUrgent(level work.Priority, now time.Duration) float64 {
	sum := 0.0
	for l, r := range p.levels {
		if l < level {
			sum += r.decayed(now)
		}
	}
	return sum
}
