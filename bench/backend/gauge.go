package backend

import "sync"

// gauge is a level that records its maximum.
type gauge struct {
	mu  sync.Mutex
	now int
	max int
}

func (g *gauge) add(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now += n
	g.max = max(g.max, g.now)
}

func (g *gauge) read() (now, highest int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.now, g.max
}
