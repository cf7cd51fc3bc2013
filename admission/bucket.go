package admission

import (
	"math"
	"time"
)

// bucket is a token bucket whose balance may become negative: a job larger than the
// burst is admitted once the bucket is full, and the rate still holds over a longer
// time.
type bucket struct {
	rate      float64 // tokens per second; zero means no limit
	burst     float64 // largest balance
	tokens    float64
	updatedAt time.Duration
}

// set changes the rate and the burst, and keeps the balance up to the new burst.
func (b *bucket) set(now time.Duration, rate, burst float64) {
	b.refill(now)
	if b.rate == 0 {
		b.tokens = burst
	}
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) refill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// wait returns the time until n tokens may be taken.
func (b *bucket) wait(now time.Duration, n int) time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.refill(now)
	missing := min(float64(n), b.burst) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// take deducts n tokens, which may make the balance negative.
func (b *bucket) take(now time.Duration, n int) {
	if b.rate == 0 {
		return
	}
	b.refill(now)
	b.tokens -= float64(n)
}

// meter is an exponentially decaying counter.
type meter struct {
	timeConstant time.Duration
	value        float64
	updatedAt    time.Duration
}

func (m *meter) add(now time.Duration, n float64) {
	m.value = m.decayed(now) + n
	m.updatedAt = now
}

// decayed returns the count at the time now, after decay.
func (m *meter) decayed(now time.Duration) float64 {
	return m.value * math.Exp(-float64(now-m.updatedAt)/float64(m.timeConstant))
}

// rate returns the decaying average rate per second.
func (m *meter) rate(now time.Duration) float64 { return m.decayed(now) / m.timeConstant.Seconds() }
