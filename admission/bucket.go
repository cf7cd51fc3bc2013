package admission

import (
	"math"
	"time"
)

// bucket is a token bucket that may go into debt, so that a job larger than the
// burst passes once the bucket is full, and the rate holds over a longer time.
type bucket struct {
	rate   float64 // tokens per second; zero means no limit
	burst  float64
	tokens float64
	at     time.Duration
}

// set changes the rate and keeps the tokens that there are.
func (b *bucket) set(now time.Duration, rate, burst float64) {
	b.fill(now)
	if b.rate == 0 {
		b.tokens = burst
	}
	b.rate = rate
	b.burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *bucket) fill(now time.Duration) {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
}

// wait returns how long until n tokens may be taken.
func (b *bucket) wait(now time.Duration, n int) time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.fill(now)
	missing := min(float64(n), b.burst) - b.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// take takes n tokens.
func (b *bucket) take(now time.Duration, n int) {
	if b.rate == 0 {
		return
	}
	b.fill(now)
	b.tokens -= float64(n)
}

// meter counts what happened lately; older observations fade with the memory.
type meter struct {
	memory time.Duration
	value  float64
	at     time.Duration
}

func (m *meter) add(now time.Duration, n float64) {
	m.value = m.count(now) + n
	m.at = now
}

// count is the faded number.
func (m *meter) count(now time.Duration) float64 {
	return m.value * math.Exp(-float64(now-m.at)/float64(m.memory))
}

// rate is the number per second.
func (m *meter) rate(now time.Duration) float64 { return m.count(now) / m.memory.Seconds() }
