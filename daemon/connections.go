package daemon

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"foxtaildock.example/dock/clock"
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
	return trackedListener{l, cs}
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
	c := &callerConn{TCPConn: tcp, connections: cs, since: cs.lastArrival}
	cs.open[c] = struct{}{}
	return c
}

// callerConn is the connection of a caller. The mutex of connections guards its fields.
type callerConn struct {
	*net.TCPConn
	connections *connections
	// busy is true from the first byte of a request that is read to the end of its answer.
	busy bool
	// since is when the connection was accepted, or when its last answer ended.
	since time.Duration
}

// Read reads from the connection, and marks it as busy if anything was read.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.connections.received(c)
	}
	return n, err
}

func (cs *connections) received(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !c.busy {
		c.busy = true
		cs.lastArrival = clock.Now()
	}
}

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
		c.busy = false
		c.since = clock.Now()
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
