package agent

import (
	"sync"
	"sync/atomic"

	"foxtaildock.example/dock/ident"
)

// requestIDs numbers the requests of one process.
type requestIDs struct{ last atomic.Uint64 }

func (r *requestIDs) next() ident.RequestID { return ident.RequestID(r.last.Add(1)) }

// pending connects the requests that a duty has not answered with the handlers
// that wait for them.
type pending[T any] struct {
	mu      sync.Mutex
	waiting map[ident.RequestID]chan T
}

func newPending[T any]() *pending[T] {
	return &pending[T]{waiting: make(map[ident.RequestID]chan T)}
}

// open registers a request that gets up to size answers.
func (p *pending[T]) open(id ident.RequestID, size int) <-chan T {
	ch := make(chan T, size)
	p.mu.Lock()
	p.waiting[id] = ch
	p.mu.Unlock()
	return ch
}

// close forgets a request.
func (p *pending[T]) close(id ident.RequestID) {
	p.mu.Lock()
	delete(p.waiting, id)
	p.mu.Unlock()
}

// answer passes an answer on. An answer that nobody waits for is dropped, and
// so is one beyond the size of the request.
func (p *pending[T]) answer(id ident.RequestID, v T) {
	p.mu.Lock()
	ch := p.waiting[id]
	p.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- v:
	default:
	}
}
