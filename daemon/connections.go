package daemon

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/intake"
	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/telemetry"
)

// connections tracks the connections of a server, so that a stopping entry knows which ones have
// a request in progress and can close the others, and carries out what package intake decides
// about them. It is safe for concurrent use.
type connections struct {
	report shedReport
	mu     sync.Mutex
	core   *intake.Core
	// rules returns the limits of a request.
	rules func() intake.Rules
	open  map[intake.ID]*callerConn
	// origin is the begin of the times of the core, which aren't by package clock: a look at
	// that takes a system call.
	origin time.Time
	// lastArrival is when the last connection was accepted or the last request began to
	// arrive, by package clock.
	lastArrival time.Duration
}

// newConnections returns the connections of a server, of which there are none yet. report is told
// about those that are refused or closed.
func newConnections(limits intake.Limits, rules func() intake.Rules, report shedReport) *connections {
	return &connections{
		report: report, core: intake.New(limits), rules: rules,
		open: map[intake.ID]*callerConn{}, origin: time.Now(), lastArrival: clock.Now(),
	}
}

// now returns the time of the core.
func (cs *connections) now() time.Duration { return time.Since(cs.origin) }

// track makes the connections of a server tracked, which must have no timeouts of its own: the
// deadlines of reads are those of package intake. It returns the listener that the server must
// serve.
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
		c, ok := platform.ConnectionOf(r.Context()).(*callerConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		cs.began(c, platform.TrimHeader(r), r.ContentLength == 0)
		next.ServeHTTP(w, r)
		c.answeredAt.Store(int64(clock.Now()))
		cs.ended(c)
	})
}

// began records that the handler of a request begins, and how much memory its header still takes.
func (cs *connections) began(c *callerConn, kept int64, noBody bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.received(c)
	cs.core.HeaderReleased(c.id, kept)
	if noBody {
		cs.core.BodyWhole(cs.now(), c.id)
	}
}

// ended records that the handler of a request has ended, so that its job takes no memory.
func (cs *connections) ended(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.core.Hold(cs.now(), c.id, 0) // less memory is never refused
}

// trackedListener accepts connections that are tracked.
type trackedListener struct {
	net.Listener
	connections *connections
}

var errNotTCP = errors.New("connection isn't a TCP connection")

// Accept waits for the next connection that isn't refused.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return nil, errors.Join(errNotTCP, c.Close())
		}
		if tracked := l.connections.add(tcp); tracked != nil {
			return tracked, nil
		}
		_ = tcp.Close() // the caller may have left
	}
}

// add tracks a new connection. It returns nil if the connection is refused.
func (cs *connections) add(tcp *net.TCPConn) *callerConn {
	cs.mu.Lock()
	id, actions := cs.core.Open(cs.now())
	victims := cs.victims(actions)
	var c *callerConn
	if id != 0 {
		cs.lastArrival = clock.Now()
		c = &callerConn{TCPConn: tcp, id: id, connections: cs, acceptedAt: cs.lastArrival}
		cs.open[id] = c
	}
	cs.mu.Unlock()
	cs.carryOut(victims)
	if c == nil {
		cs.report.shed(intake.TooManyConns)
	}
	return c
}

// victim is a connection that gives way.
type victim struct {
	conn   *callerConn
	action intake.Action
}

func (cs *connections) victims(actions []intake.Action) []victim {
	var list []victim
	for _, a := range actions {
		if c := cs.open[a.ID]; c != nil {
			list = append(list, victim{c, a})
		}
	}
	return list
}

// carryOut closes the connections that give way, or lets the reads of their requests time out so
// that their handlers answer. It must be called without the mutex, since closing waits for reads
// to end.
func (cs *connections) carryOut(victims []victim) {
	for _, v := range victims {
		cs.report.shed(v.action.Reason)
		if v.action.Close {
			_ = v.conn.TCPConn.Close() // the caller may have left
		} else {
			_ = v.conn.TCPConn.SetReadDeadline(past) // it fails only on a closed connection
		}
	}
}

// setLimits changes what all connections may occupy together.
func (cs *connections) setLimits(l intake.Limits) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.core.SetLimits(l)
}

// stats returns what the connections occupy.
func (cs *connections) stats() intake.Stats {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.core.Stats()
}

// callerConn is the connection of a caller. The mutex of connections guards its fields.
type callerConn struct {
	*net.TCPConn
	id          intake.ID
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
	// interrupted is true while the server interrupts a read by a deadline of its own.
	interrupted bool
	// lingers is true once the connection was refused and only reads what still comes.
	lingers atomic.Bool
	// linesRead is the number of ends of lines in what was read last.
	linesRead int
	// answeredAt is when the last answer was ready to be sent, by package clock, 0 if none was.
	answeredAt atomic.Int64
}

// AnsweredAt implements platform.AnsweredConn.
func (c *callerConn) AnsweredAt() (at time.Duration, answered bool) {
	at = time.Duration(c.answeredAt.Load())
	return at, at != 0
}

// received records that a part of a request was read. A connection that has been expired
// meanwhile stays open for the request. It must be called with the mutex.
func (cs *connections) received(c *callerConn) {
	if c.busy {
		return
	}
	c.busy = true
	cs.lastArrival = clock.Now()
	if c.expired {
		c.expired = false
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // it fails only on a closed connection
	}
}

// closeIdle closes the connections on which no request is in progress or waits to be read.
// A connection without any request yet stays open until it is newFor old. It never cuts
// a request of which a byte was read: it only lets reads time out, and a read that has
// got bytes keeps its connection.
func (cs *connections) closeIdle(newFor time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, c := range cs.open {
		isNew := !c.answered && clock.Now()-c.acceptedAt < newFor
		if c.busy || isNew || platform.HasUnread(c.TCPConn) {
			continue
		}
		c.expired = true
		_ = c.TCPConn.SetReadDeadline(past) // it fails only on a closed connection
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
	case http.StateActive:
		cs.core.HeaderWhole(cs.now(), c.id)
	case http.StateIdle:
		c.busy, c.answered = false, true
		cs.core.Answered(cs.now(), c.id, c.linesRead)
	case http.StateClosed, http.StateHijacked:
		if !c.lingers.Load() { // otherwise it is forgotten when it has lingered
			cs.drop(c)
		}
	}
}

// forget stops tracking a connection.
func (cs *connections) forget(c *callerConn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.drop(c)
}

func (cs *connections) drop(c *callerConn) {
	delete(cs.open, c.id)
	cs.core.Close(c.id)
}

// connectionCounts are the numbers of open connections, and of those with a request in
// progress.
type connectionCounts struct{ open, busy int }

func (cs *connections) counts() connectionCounts {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n := connectionCounts{open: len(cs.open)}
	for _, c := range cs.open {
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

// observed returns the metrics of the connections.
func (cs *connections) observed() []telemetry.Observed {
	return []telemetry.Observed{
		{Name: "foxtaildock.callers.connections", Help: "Open connections of callers.", Read: func() int64 { return int64(cs.stats().Connections) }},
		{Name: "foxtaildock.callers.bytes", Help: "Bytes of memory that the requests of callers are charged with.", Read: func() int64 { return cs.stats().Bytes }},
	}
}
