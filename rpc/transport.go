// Package rpc holds what the processes of the system share to talk to each
// other over connect: HTTP/2 without TLS on loopback or private networks, with
// health checks of each connection, and the meaning of errors.
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

// Times of the health check of a connection. A connection that is silent for
// their sum is closed, its calls end, and the next call opens a new one.
const (
	pingAfter   = 750 * time.Millisecond
	pingTimeout = 1 * time.Second
	// serverPingAfter is long: it is the caller that has to notice a silent
	// connection soon, the server only frees what a vanished caller held.
	serverPingAfter = 15 * time.Second
	dialTimeout     = 500 * time.Millisecond
)

// maxStreams is the number of calls on one connection.
const maxStreams = 1 << 16

// NewClient returns an HTTP client for calls between processes.
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

// Conns are the connections that one client has opened.
type Conns struct {
	mu     sync.Mutex
	open   []net.Conn
	closed bool
}

// Close closes the connections, and those that are still being opened.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.open {
		_ = conn.Close() // whatever it says, the connection is no longer used
	}
	c.open = nil
}

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

// NewSessionClient returns a client for one long call, and its connections, so
// that the caller can close them whatever state HTTP is in.
func NewSessionClient() (*http.Client, *Conns) {
	client := NewClient()
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	// The session has heartbeats of its own.
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

// NewServer returns an HTTP server for calls between processes.
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
	}
}

// errReplaced is the cause of answers by another incarnation than was meant.
var errReplaced = errors.New("another incarnation answers at this address")

// Replaced is the error that a process answers to a call that was meant for
// another incarnation.
func Replaced() error { return connect.NewError(connect.CodeFailedPrecondition, errReplaced) }

// headerServing carries how long the answering process has served.
const headerServing = "Dock-Serving-Ms"

// ReplacedFor is Replaced by a process that has served its address for the given
// time, so that the one that was meant has been gone for at least as long.
func ReplacedFor(d time.Duration) error {
	err := connect.NewError(connect.CodeFailedPrecondition, errReplaced)
	err.Meta().Set(headerServing, strconv.FormatInt(d.Milliseconds(), 10))
	return err
}

// GoneFor returns how long the meant process has been gone at least, if the error
// says so, else zero.
func GoneFor(err error) time.Duration {
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

// IsReplaced reports whether a call ended since another incarnation answered, so
// that the one that was meant is gone for good.
func IsReplaced(err error) bool { return connect.CodeOf(err) == connect.CodeFailedPrecondition }

// MaybeSent reports whether a call that ended with the error can have reached
// the peer. It is false only if no connection could be made.
func MaybeSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	return !IsReplaced(err) && !IsBusy(err)
}

// errBusy is the cause of calls that a process turned away unread.
var errBusy = errors.New("too busy to look at the call")

// Busy is the error that a process answers when its channel is full.
func Busy() error { return connect.NewError(connect.CodeResourceExhausted, errBusy) }

// IsBusy reports whether the peer turned the call away unread.
func IsBusy(err error) bool { return connect.CodeOf(err) == connect.CodeResourceExhausted }

// ClientOptions are the options of every client between processes. Messages are
// small and the network is local, so compression costs more than it saves.
func ClientOptions() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

// HandlerOptions are the options of every handler between processes.
func HandlerOptions() connect.HandlerOption {
	return connect.WithCompression("gzip", nil, nil)
}
