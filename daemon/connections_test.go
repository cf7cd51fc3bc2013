package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// trackedServer is a server on loopback whose connections are tracked.
func trackedServer(t *testing.T, h http.Handler) (*listener, *connections) {
	t.Helper()
	l, err := listenWith("callers", netip.MustParseAddrPort("127.0.0.1:0"), &http.Server{Handler: h})
	if err != nil {
		t.Fatal(err)
	}
	tracked := newConnections()
	l.socket = tracked.track(l.server, l.socket)
	failed := make(chan error, 1)
	go l.serve(failed)
	t.Cleanup(func() { _ = l.server.Close() })
	return l, tracked
}

func dial(t *testing.T, l *listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func sendRequest(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
}

// await polls until the condition holds. Only a failing test waits as long as patience.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const patience = 20 * time.Second
	for began := time.Now(); !condition(); time.Sleep(time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// Connections with a request in progress outlive the closing of idle ones; the request is
// answered.
func TestClosingIdleConnectionsCutsNoRequest(t *testing.T) {
	release := make(chan struct{})
	l, tracked := trackedServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	busy, idle := dial(t, l), dial(t, l)
	sendRequest(t, busy)
	await(t, "a busy and an idle connection", func() bool { return tracked.counts() == connectionCounts{open: 2, busy: 1} })
	await(t, "the idle one is closed", func() bool {
		tracked.closeIdle(0)
		return tracked.counts() == connectionCounts{open: 1, busy: 1}
	})
	if n, err := idle.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the idle connection is open, want it closed")
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(busy), nil)
	if err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("answer %v, error %v; want 200", res, err)
	}
}

// The second request was in the server's buffer already when the first was answered, and
// counted as none.
func TestAPipelinedRequestCountsAsInProgress(t *testing.T) {
	begun, release := make(chan struct{}, 2), make(chan struct{}, 2)
	interrupted := make(chan struct{}, 2)
	l, tracked := trackedServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		select {
		case <-release:
		case <-r.Context().Done():
			interrupted <- struct{}{}
		}
	}))
	c := dial(t, l)
	const request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"
	if _, err := fmt.Fprint(c, request+request); err != nil {
		t.Fatal(err)
	}
	<-begun
	release <- struct{}{}
	<-begun
	for range 100 {
		tracked.closeIdle(0)
	}
	if n := tracked.counts(); n != (connectionCounts{open: 1, busy: 1}) {
		t.Errorf("connections %+v, want one that is busy", n)
	}
	release <- struct{}{}
	reader := bufio.NewReader(c)
	for i := range 2 {
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
	}
	select {
	case <-interrupted:
		t.Error("the request in progress was interrupted")
	default:
	}
}

func TestAConnectionThatWasJustAcceptedIsNotClosed(t *testing.T) {
	l, tracked := trackedServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	c := dial(t, l)
	await(t, "the connection is accepted", func() bool { return tracked.counts().open == 1 })
	tracked.closeIdle(time.Hour)
	sendRequest(t, c)
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatalf("the first request on a new connection isn't answered: %v", err)
	}
}

// Requests race with the closing of their idle connections. Each one whose handler has
// begun must be answered.
func TestARequestThatRacesWithTheClosingOfItsConnectionIsAnsweredIfRead(t *testing.T) {
	const callers, rounds = 8, 200
	var mu sync.Mutex
	begun := map[string]bool{}
	l, tracked := trackedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if key := r.URL.Query().Get("key"); key != "" {
			mu.Lock()
			begun[key] = true
			mu.Unlock()
		}
	}))
	done := make(chan struct{})
	var closer, wait sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				tracked.closeIdle(0)
			}
		}
	})
	for caller := range callers {
		wait.Go(func() {
			for round := range rounds {
				c, err := net.Dial("tcp", l.socket.Addr().String())
				if err != nil {
					t.Error(err)
					return
				}
				key := fmt.Sprintf("%d-%d", caller, round)
				_, _ = fmt.Fprintf(c, "GET /?key=%s HTTP/1.1\r\nHost: h.example\r\n\r\n", key)
				_, err = http.ReadResponse(bufio.NewReader(c), nil)
				mu.Lock()
				if err != nil && begun[key] {
					t.Errorf("request %s was read, but the connection ended: %v", key, err)
				}
				mu.Unlock()
				_ = c.Close()
			}
		})
	}
	wait.Wait()
	close(done)
	closer.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(begun) == 0 {
		t.Error("no request was read")
	}
}

// The read of a request returns at the same moment as its idle connection is expired.
func TestARequestReadWhileItsConnectionExpiresKeepsTheConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	tracked := newConnections()
	accepted, err := trackedListener{l, tracked}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	tracked.closeIdle(0)
	tracked.received(accepted.(*callerConn))
	if _, err := fmt.Fprint(peer, "body"); err != nil {
		t.Fatal(err)
	}
	if n, err := accepted.Read(make([]byte, 4)); n == 0 || err != nil {
		t.Errorf("read %d bytes, error %v; want the rest of the request", n, err)
	}
}
