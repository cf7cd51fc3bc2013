package schedule

import (
	"math"
	"time"

	"foxtaildock.example/dock/work"
)

// rateWindow is the time constant of the averaged rates: long compared with a short
// task, short compared with a burst.
const rateWindow = 300 * time.Millisecond

// placedRates is the rate at which the entry has recently placed CPU work, by
// priority, in thousandths of a core.
type placedRates struct {
	byPriority map[work.Priority]*placedRate
}

type placedRate struct {
	value float64
	at    time.Duration
}

// add counts CPU work that is placed now, in millicore-nanoseconds.
func (p *placedRates) add(priority work.Priority, now time.Duration, cpuWork float64) {
	if p.byPriority == nil {
		p.byPriority = map[work.Priority]*placedRate{}
	}
	r := p.byPriority[priority]
	if r == nil {
		r = &placedRate{at: now}
		p.byPriority[priority] = r
	}
	r.value = r.decayed(now) + cpuWork/float64(rateWindow)
	r.at = now
}

func (r *placedRate) decayed(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateWindow))
}

// rate returns the rate of placed work of the priority, in thousandths of a core.
func (p *placedRates) rate(priority work.Priority, now time.Duration) float64 {
	if r := p.byPriority[priority]; r != nil {
		return r.decayed(now)
	}
	return 0
}

// moreUrgent returns the rate of placed work of all more urgent priorities, in
// thousandths of a core.
func (p *placedRates) moreUrgent(priority work.Priority, now time.Duration) float64 {
	sum := 0.0
	for other, r := range p.byPriority {
		if other < priority {
			sum += r.decayed(now)
		}
	}
	return sum
}

// averagedShare is the share of the capacity that runs of one priority use, averaged over
// rateWindow. Short tasks that start together would otherwise seem to leave no capacity to less
// urgent work.
type averagedShare struct {
	known   bool
	average float64
	at      time.Duration
}

// value returns the average if the share was current since the last change.
func (s *averagedShare) value(now time.Duration, current float64) float64 {
	if !s.known {
		return current
	}
	return current + (s.average-current)*math.Exp(-float64(now-s.at)/float64(rateWindow))
}

// add takes into account that the share was current since the last change.
func (s *averagedShare) add(now time.Duration, current float64) {
	s.average = s.value(now, current)
	s.at, s.known = now, true
}

// age returns the time since work of the priority was last placed, 0 if none was.
func (p *placedRates) age(priority work.Priority, now time.Duration) time.Duration {
	if r := p.byPriority[priority]; r != nil {
		return now - r.at
	}
	return 0
}
