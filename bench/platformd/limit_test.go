package platformd

import (
	"testing"
	"time"
)

func TestBucketRefillsAtItsRate(t *testing.T) {
	start := time.Unix(0, 0)
	b := newBucket(500, start)
	if !b.take(500, start) || b.take(1, start) {
		t.Fatal("the bucket must hold exactly one second of its rate")
	}
	later := start.Add(100 * time.Millisecond)
	if !b.take(50, later) || b.take(1, later) {
		t.Fatal("100 ms must refill 50 tokens")
	}
	if !b.take(10_000, start.Add(time.Minute)) {
		t.Fatal("a call larger than the bucket must pass when the bucket is full")
	}
}
