package proof

import "time"

// stallTick is the interval at which the clock is read.
const stallTick = 50 * time.Millisecond

// stallWatch measures the longest time for which this process got no processor: by how
// much a tick came late.
type stallWatch struct {
	ended   chan struct{}
	longest chan time.Duration
}

func watchStalls() *stallWatch {
	w := &stallWatch{ended: make(chan struct{}), longest: make(chan time.Duration, 1)}
	go w.run()
	return w
}

func (w *stallWatch) run() {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	var longest time.Duration
	last := time.Now()
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			longest = max(longest, now.Sub(last)-stallTick)
			last = now
		case <-w.ended:
			w.longest <- longest
			return
		}
	}
}

// stop ends the watch and returns the longest stall.
func (w *stallWatch) stop() time.Duration {
	close(w.ended)
	return <-w.longest
}
