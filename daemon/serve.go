package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of the requests at listeners whose connections aren't tracked.
const (
	// readHeaderTimeout is how long a client may take to send the header of a request, and
	// readTimeout the whole request, unless its handler allows another time. Without it a body
	// that nobody reads and that never comes keeps its connection for ever.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// idleTimeout is how long a connection may be open without a request.
	idleTimeout = 75 * time.Second
	// maxHeaderBytes is the size of the largest header, many times that of any client of this
	// project.
	maxHeaderBytes = 16 << 10
)

// listener is one HTTP listener of a daemon.
type listener struct {
	name   string
	socket net.Listener
	server *http.Server
	// refusing is true once the listener accepts no more connections.
	refusing atomic.Bool
}

// listen opens a listener for a plain HTTP server with the handler.
func listen(name string, address netip.AddrPort, h http.Handler) (*listener, error) {
	return listenWith(name, address, &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
}

// listenWith opens a listener for a server.
func listenWith(name string, address netip.AddrPort, server *http.Server) (*listener, error) {
	return listenBuffered(name, address, server, 0)
}

// listenBuffered opens a listener for a server whose connections have receive buffers of the given
// size, in bytes; 0 for those of the operating system.
func listenBuffered(name string, address netip.AddrPort, server *http.Server, receiveBuffer int) (*listener, error) {
	config := net.ListenConfig{}
	if receiveBuffer > 0 {
		config.Control = func(_, _ string, c syscall.RawConn) error { return setReceiveBuffer(c, receiveBuffer) }
	}
	socket, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listener %s: %w", name, err)
	}
	if receiveBuffer > 0 {
		shortenBacklog(socket)
	}
	return &listener{name: name, socket: socket, server: server}, nil
}

// backlog is how many connections may wait to be accepted at a bounded listener: those of a few
// seconds without processor time. The operating system's own bound, some thousands, would let
// as many receive buffers fill that nobody counts.
const backlog = 512

// shortenBacklog sets the backlog of a listening socket. An operating system that can't keeps its
// own.
func shortenBacklog(l net.Listener) {
	tcp, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) })
}

// setReceiveBuffer sets the size of the receive buffer of a listening socket, which its connections
// get as well. An operating system that can't set it keeps its own.
func setReceiveBuffer(c syscall.RawConn, size int) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
}

// serve serves until the listener is shut down or stops accepting. Any other end is sent to
// failed.
func (l *listener) serve(failed chan<- error) {
	err := l.server.Serve(l.socket)
	if !l.refusing.Load() && !errors.Is(err, http.ErrServerClosed) {
		failed <- fmt.Errorf("listener %s: %w", l.name, err)
	}
}

// stopAccepting refuses new connections. Those that are open go on being served.
func (l *listener) stopAccepting() error {
	l.refusing.Store(true)
	return l.socket.Close()
}

// shutdown stops accepting and waits for the requests in flight until the context
// ends; then it closes their connections.
func (l *listener) shutdown(ctx context.Context) {
	if l.server.Shutdown(ctx) != nil {
		_ = l.server.Close()
	}
}

// shutdownAll shuts the listeners down at the same time, so that none of them uses up the
// time of another.
func shutdownAll(ctx context.Context, listeners []*listener) {
	var wait sync.WaitGroup
	for _, l := range listeners {
		wait.Go(func() { l.shutdown(ctx) })
	}
	wait.Wait()
}

// swappableHandler is a handler that can be replaced while it serves, for a process
// that continues under a new incarnation.
type swappableHandler struct{ current atomic.Pointer[http.Handler] }

func (s *swappableHandler) set(h http.Handler) { s.current.Store(&h) }

// ServeHTTP calls the current handler, or answers 503 if there is none yet.
func (s *swappableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := s.current.Load()
	if h == nil {
		http.Error(w, "starting", http.StatusServiceUnavailable)
		return
	}
	(*h).ServeHTTP(w, r)
}
