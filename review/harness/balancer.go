package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// checkInterval is the interval of the platform's readiness checks, and also how long a
// check waits for its response.
const checkInterval = time.Second

// balancer makes the platform's readiness checks of one entry.
type balancer struct {
	mu      sync.Mutex
	misses  int
	checked time.Time
}

// watch checks the entry until the context ends.
func (b *balancer) watch(ctx context.Context, s *site, entry int) {
	client := http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		began := time.Now()
		res, err := client.Get("http://" + s.entries[entry].readiness + "/ready")
		ok := err == nil && res.StatusCode == http.StatusOK
		if err == nil {
			_ = res.Body.Close()
		}
		b.mu.Lock()
		b.checked = time.Now()
		if ok {
			b.misses = 0
		} else {
			b.misses++
			s.rec.logf("balancer: entry %d missed a check (%d)", entry, b.misses)
		}
		b.mu.Unlock()
		if d := checkInterval - time.Since(began); d > 0 {
			time.Sleep(d)
		}
	}
}

// inRotation reports whether the platform forwards new channels to the entry.
func (b *balancer) inRotation() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses < 2
}

// lastCheck returns when the last check ended.
func (b *balancer) lastCheck() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checked
}
