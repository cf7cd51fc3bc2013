package agent

import (
	"sync"
	"sync/atomic"

	"foxtaildock.example/dock/ident"
)

// requestIDs gives out the IDs of requests to one core.
type requestIDs struct{ last atomic.Uint64 }

func (r *requestIDs) next() ident.RequestID { return ident.RequestID(r.last.Add(1)) }

// pending holds the requests that an event loop has not answered yet, with the
// channels of the handlers that wait for the answers.
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

// close removes a request. Later answers to it are dropped.
func (p *pending[T]) close(id ident.RequestID) {
	p.mu.Lock()
	delete(p.waiting, id)
	p.mu.Unlock()
}

// answer passes an answer to the waiting handler. It never blocks: an answer is
// dropped if no handler waits for it or if the request already has size unread
// answers.
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
