package daemon

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/platform"
)

// connections tracks the connections of the callers' server, so that a stopping entry
// knows which ones have a request in progress and can close the others. It is safe for
// concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
	// lastArrival is when the last connection was accepted or the last request began to
	// arrive, by package clock.
	lastArrival time.Duration
}

func newConnections() *connections {
	return &connections{open: map[*callerConn]struct{}{}, lastArrival: clock.Now()}
}

// track makes the server's connections tracked. It returns the listener that the server
// must serve.
func (cs *connections) track(server *http.Server, l net.Listener) net.Listener {
	server.ConnState = cs.stateChanged
	server.ConnContext = platform.WithConnection
	server.Handler = cs.trackRequests(server.Handler)
	return trackedListener{l, cs}
}

// trackRequests returns a handler that marks the connection of each request as busy. Reads
// alone don't show all requests: the server may have read the next one together with the
// last.
func (cs *connections) trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := platform.ConnectionOf(r.Context()).(*callerConn); ok {
			cs.received(c)
		}
		next.ServeHTTP(w, r)
		if c, ok := platform.ConnectionOf(r.Context()).(*callerConn); ok {
			c.answeredAt.Store(int64(clock.Now()))
		}
	})
}

// trackedListener accepts connections that are tracked.
type trackedListener struct {
	net.Listener
	connections *connections
}

var errNotTCP = errors.New("connection isn't a TCP connection")

// Accept waits for the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(errNotTCP, c.Close())
	}
	return l.connections.add(tcp), nil
}

func (cs *connections) add(tcp *net.TCPConn) *callerConn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.lastArrival = clock.Now()
	c := &callerConn{TCPConn: tcp, connections: cs, acceptedAt: cs.lastArrival}
	cs.open[c] = struct{}{}
	return c
}

// callerConn is the connection of a caller. The mutex of connections guards its fields.
type callerConn struct {
	*net.TCPConn
	connections *connections
	// busy is true from the first byte of a request that is read to the end of its answer.
	busy bool
	// acceptedAt is when the connection was accepted, and answered is true once a request on
	// it was answered.
	acceptedAt time.Duration
	answered   bool
	// expired is true if closeIdle has let the read of the next request time out. The
	// server closes the connection then, unless a part of a request was read before.
	expired bool
	// answeredAt is when the last answer was ready to be sent, by package clock, 0 if none was.
	answeredAt atomic.Int64
}

// AnsweredAt implements platform.AnsweredConn.
func (c *callerConn) AnsweredAt() (at time.Duration, answered bool) {
	at = time.Duration(c.answeredAt.Load())
	return at, at != 0
}

// Read reads from the connection, and marks it as busy if anything was read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.connections.received(c)
	}
	return n, err
}

// received records that a part of a request was read. A connection that has been expired
// meanwhile stays open for the request.
func (cs *connections) received(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if c.busy {
		return
	}
	c.busy = true
	cs.lastArrival = clock.Now()
	if c.expired {
		c.expired = false
		_ = c.SetReadDeadline(time.Time{}) // it fails only on a closed connection
	}
}

// closeIdle closes the connections on which no request is in progress or waits to be read.
// A connection without any request yet stays open until it is newFor old. It never cuts
// a request of which a byte was read: it only lets reads time out, and a read that has
// got bytes keeps its connection.
func (cs *connections) closeIdle(newFor time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.open {
		isNew := !c.answered && clock.Now()-c.acceptedAt < newFor
		if c.busy || isNew || platform.HasUnread(c.TCPConn) {
			continue
		}
		c.expired = true
		_ = c.SetReadDeadline(past) // it fails only on a closed connection
	}
}

// past is a time at which reads time out at once.
var past = time.Unix(1, 0)

// stateChanged is the ConnState hook of the server.
func (cs *connections) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch state {
	case http.StateIdle:
		c.busy, c.answered = false, true
	case http.StateClosed, http.StateHijacked:
		delete(cs.open, c)
	}
}

// connectionCounts are the numbers of open connections, and of those with a request in
// progress.
type connectionCounts struct{ open, busy int }

func (cs *connections) counts() connectionCounts {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n := connectionCounts{open: len(cs.open)}
	for c := range cs.open {
		if c.busy {
			n.busy++
		}
	}
	return n
}

// sinceArrival returns the time since a connection was accepted or a request began to
// arrive.
func (cs *connections) sinceArrival() time.Duration {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return clock.Now() - cs.lastArrival
}
