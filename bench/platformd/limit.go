package platformd

import (
	"sync"
	"time"
)

// bucket is a token bucket that holds at most one second of its rate.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(perSecond int, now time.Time) *bucket {
	return &bucket{rate: float64(perSecond), tokens: float64(perSecond), last: now}
}

// take removes n tokens. It removes none and returns false if there are too few.
// A call for more tokens than the bucket holds takes a full bucket.
func (b *bucket) take(n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	cost := min(float64(n), b.rate)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}
