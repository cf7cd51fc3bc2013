// Package rpc contains what the processes of the system share to call each
// other over Connect: HTTP clients and servers with health checks of each
// connection, conversions between messages and types, and the errors of calls.
// The transport is HTTP/2 without TLS, for loopback and private networks only.
package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// Timings of connections. A connection on which nothing is received for
// pingAfter is checked with a ping. If no answer arrives within pingTimeout,
// the connection is closed, its calls fail, and the next call opens a new one.
const (
	pingAfter   = 750 * time.Millisecond
	pingTimeout = 1 * time.Second
	// serverPingAfter is the server's pingAfter. It is long since only the
	// client needs to detect a dead connection quickly; the server's check only
	// frees the resources of clients that are gone.
	serverPingAfter = 15 * time.Second
	dialTimeout     = 500 * time.Millisecond
)

// maxStreams is the maximum number of concurrent calls on one connection.
const maxStreams = 1 << 16

// NewClient returns an HTTP client for calls between processes. It checks the
// health of its connections.
func NewClient() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &http.Client{Transport: &http.Transport{
		Protocols:   p,
		DialContext: dialer.DialContext,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
		IdleConnTimeout: time.Minute,
	}}
}

// idlePerPeer is the number of idle connections that a client for short calls keeps to each
// address: more than it usually makes calls there at a time.
const idlePerPeer = 16

// NewShortCallClient returns an HTTP client for calls between processes that are answered at once.
// It uses HTTP/1.1, which takes fewer system calls and wake-ups than HTTP/2 for such a call. A call
// that is given up closes its connection, so that none is used that has gone silent.
func NewShortCallClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerPeer,
		IdleConnTimeout:     time.Minute,
	}}
}

// Conns holds the connections that one client has opened.
type Conns struct {
	mu     sync.Mutex
	open   []net.Conn
	closed bool
}

// Close closes the connections. Connections that are still being opened are
// closed as soon as they are open.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		_ = conn.Close() // the connection is no longer used, so an error does not matter
	}
	c.open = nil
}

// add adds a new connection. If Close was called before, it closes the
// connection and returns net.ErrClosed.
func (c *Conns) add(conn net.Conn) (net.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	c.open = append(c.open, conn)
	return conn, nil
}

// NewSessionClient returns an HTTP client for the one long call of a session,
// and its connections, so that the caller can close them in any state of the
// HTTP transport.
func NewSessionClient() (*http.Client, *Conns) {
	client := NewClient()
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	// No pings, since the session has its own heartbeats.
	transport.HTTP2 = nil
	conns := &Conns{}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conns.add(conn)
	}
	return client, conns
}

const (
	// maxHeaderBytes is the largest header of a call between processes, which have a few hundred
	// bytes. A header takes many times its size while it arrives.
	maxHeaderBytes = 2 << 10
	// maxMessageBytes is the largest message between processes: far more than a manifest.
	maxMessageBytes = 16 << 20
)

// NewServer returns an HTTP server for calls between processes. It accepts
// HTTP/1.1 and HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:   h,
		Protocols: p,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      serverPingAfter,
			PingTimeout:          pingTimeout,
		},
		ReadHeaderTimeout: 5 * time.Second,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// errReplaced is the error of calls that reached another incarnation than the
// target.
var errReplaced = errors.New("another incarnation answers at this address")

// NewReplacedError returns the error with which a process answers a call whose
// target is another incarnation.
func NewReplacedError() error { return connect.NewError(connect.CodeFailedPrecondition, errReplaced) }

// headerServing carries how long the answering process has served its address,
// in milliseconds.
const headerServing = "Dock-Serving-Ms"

// NewReplacedErrorFor returns the error of NewReplacedError together with the
// time for which the answering process has served its address. The target has
// been gone for at least that time.
func NewReplacedErrorFor(d time.Duration) error {
	err := connect.NewError(connect.CodeFailedPrecondition, errReplaced)
	err.Meta().Set(headerServing, strconv.FormatInt(d.Milliseconds(), 10))
	return err
}

// TargetGoneFor returns the minimum time for which the target of a call has been
// gone, as given by NewReplacedErrorFor, or zero if the error does not carry it.
func TargetGoneFor(err error) time.Duration {
	var e *connect.Error
	if !IsReplaced(err) || !errors.As(err, &e) {
		return 0
	}
	ms, err := strconv.ParseUint(e.Meta().Get(headerServing), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// IsReplaced reports whether a call ended since another incarnation answered,
// which means that the target is gone for good.
func IsReplaced(err error) bool { return connect.CodeOf(err) == connect.CodeFailedPrecondition }

// MaybeSent reports whether a call that ended with the error may have been
// accepted by the target. It is false only if no connection could be made or if
// the call was answered by another incarnation or refused as busy.
func MaybeSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return !IsReplaced(err) && !IsBusy(err)
}

// errBusy is the error of calls that a process refused without processing them.
var errBusy = errors.New("too busy to look at the call")

// NewBusyError returns the error with which a process answers a call if its
// mailbox is full.
func NewBusyError() error { return connect.NewError(connect.CodeResourceExhausted, errBusy) }

// IsBusy reports whether the peer refused the call without processing it.
func IsBusy(err error) bool { return connect.CodeOf(err) == connect.CodeResourceExhausted }

// ClientOptions returns the options of every client between processes.
// Compression is off: messages are small and the network is local, so it would
// cost more than it saves.
func ClientOptions() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

// HandlerOptions returns the options of every handler between processes.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(connect.WithCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
}
