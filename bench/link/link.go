// Package link is a TCP proxy that simulates a faulty network link between two
// processes: it can delay data, cut all connections, silence the open ones, and
// recover.
package link

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of the largest chunk that is forwarded at once.
	chunkBytes = 32 << 10
	// pipeChunks is the number of delayed chunks that one direction can buffer.
	pipeChunks = 64
	// dialTimeout bounds the dialing of the target.
	dialTimeout = 2 * time.Second
)

// State is the state of a link. The zero value forwards without delay.
type State struct {
	// DelayMS is the one-way latency in milliseconds.
	DelayMS float64 `json:"delay_ms"`
	// Cut closes all open connections and every new one.
	Cut bool `json:"cut"`
}

// Link forwards connections from a listener to a target address.
type Link struct {
	target string

	mu    sync.Mutex
	state State
	pairs map[*pair]struct{}
}

// New returns a link to the target address.
func New(target string) *Link {
	return &Link{target: target, pairs: make(map[*pair]struct{})}
}

// Run accepts connections until the context ends. It returns an error if accepting
// fails before.
func (l *Link) Run(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		l.closeAll()
	})
	defer stop()
	for {
		near, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go l.serve(near)
	}
}

// Set replaces the state. Cutting closes the open connections.
func (l *Link) Set(state State) {
	l.mu.Lock()
	l.state = state
	l.mu.Unlock()
	if state.Cut {
		l.closeAll()
	}
}

// State returns the current state.
func (l *Link) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// Silence makes every open connection silent for good: no data passes, and neither
// side sees it closed. New connections work. It returns the number of open
// connections.
func (l *Link) Silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silence()
	}
	return len(l.pairs)
}

func (l *Link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close()
	}
}

func (l *Link) serve(near net.Conn) {
	if l.State().Cut {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	p := newPair(near, far)
	if !l.add(p) {
		p.close()
		return
	}
	p.run(func() time.Duration {
		return time.Duration(l.State().DelayMS * float64(time.Millisecond))
	})
	l.remove(p)
}

// add registers the pair, unless the link was cut in the meantime.
func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Cut {
		return false
	}
	l.pairs[p] = struct{}{}
	return true
}

func (l *Link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}
