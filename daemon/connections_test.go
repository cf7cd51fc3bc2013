package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"foxtaildock.example/dock/intake"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/work"
)

// trackedServer is a server on loopback whose connections are tracked.
func trackedServer(t *testing.T, h http.Handler) (*listener, *connections) {
	t.Helper()
	l, err := listenWith("callers", netip.MustParseAddrPort("127.0.0.1:0"), &http.Server{Handler: h})
	if err != nil {
		t.Fatal(err)
	}
	tracked := newConnections(intake.LimitsFor(0, 0), func() intake.Rules { return intake.DefaultRules }, noReport{})
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
	tracked := newConnections(intake.LimitsFor(0, 0), func() intake.Rules { return intake.DefaultRules }, noReport{})
	accepted, err := trackedListener{l, tracked}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	tracked.closeIdle(0)
	tracked.mu.Lock()
	tracked.received(accepted.(*callerConn))
	tracked.mu.Unlock()
	if _, err := fmt.Fprint(peer, "body"); err != nil {
		t.Fatal(err)
	}
	if n, err := accepted.Read(make([]byte, 4)); n == 0 || err != nil {
		t.Errorf("read %d bytes, error %v; want the rest of the request", n, err)
	}
}

// boundedServer is a tracked server that reads bodies as the callers' one does.
func boundedServer(t *testing.T, limits intake.Limits, report shedReport) (*listener, *connections) {
	t.Helper()
	l, err := listenBuffered("callers", netip.MustParseAddrPort("127.0.0.1:0"), &http.Server{Handler: platform.NewCallerHandler(refusing{})}, limits.ReceiveBuffer)
	if err != nil {
		t.Fatal(err)
	}
	tracked := newConnections(limits, func() intake.Rules { return intake.DefaultRules }, report)
	l.socket = tracked.track(l.server, l.socket)
	go l.serve(make(chan error, 1))
	t.Cleanup(func() { _ = l.server.Close() })
	return l, tracked
}

// shedCount counts what was shed.
type shedCount struct{ atomic.Int64 }

func (c *shedCount) shed(intake.Reason) { c.Add(1) }

// refusing is a dispatcher that takes no job.
type refusing struct{ platform.Dispatcher }

func (refusing) Manifest() *operator.Manifest {
	return &operator.Manifest{Routes: []operator.Route{{Name: "jobs", Host: "h.example", PathPrefix: "/", Timeout: time.Second}}}
}
func (refusing) ShuttingDown() bool { return false }
func (refusing) TurnAway(id work.JobID, _ work.Priority, reason string) schedule.Answer {
	return schedule.Answer{ID: id, Verdict: schedule.Rejected, Reason: reason, RetryAfter: time.Second}
}
func (refusing) Submit(_ context.Context, job schedule.Job, _ time.Duration) schedule.Answer {
	return schedule.Answer{ID: job.ID, Verdict: schedule.Rejected, RetryAfter: time.Second}
}
func (refusing) CallerLeft(work.JobID) {}

// beginBody sends the header of a request with a body of the given length, and a part of the body.
func beginBody(t *testing.T, c net.Conn, length, part int) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST /0000000000000001 HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%*s", length, part, ""); err != nil {
		t.Fatal(err)
	}
}

// readRefusal reads an answer, which must be that of a refused request.
func readRefusal(t *testing.T, c net.Conn) {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("the caller sees no answer: %v", err)
	}
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("answered %d with %v, want 503 with Retry-After on a connection that ends", res.StatusCode, res.Header)
	}
}

// A caller whose body gave way while it still sent got a reset in place of the answer.
func TestARefusedCallerThatStillSendsSeesTheAnswer(t *testing.T) {
	const half = 256 << 10
	var gaveWay shedCount
	l, tracked := boundedServer(t, intake.Limits{Connections: 8, Bytes: 400 << 10, ReceiveBuffer: 16 << 10}, &gaveWay)
	first, second := dial(t, l), dial(t, l)
	beginBody(t, first, 2*half, half)
	await(t, "the first body", func() bool { return tracked.stats().Bytes >= half })
	time.Sleep(300 * time.Millisecond) // without progress, so that it gives way
	beginBody(t, second, 2*half, half)
	await(t, "the first one to give way", func() bool { return gaveWay.Load() > 0 })
	go func() {
		for range half {
			if _, err := first.Write([]byte(" ")); err != nil {
				return // the server has waited long enough
			}
		}
	}()
	readRefusal(t, first)
}

// A crowd of idle connections locked other callers out, or took all descriptors.
func TestIdleConnectionsGiveWayToNewOnes(t *testing.T) {
	l, tracked := boundedServer(t, intake.Limits{Connections: 4, Bytes: 1 << 20, ReceiveBuffer: 16 << 10}, noReport{})
	oldest := dial(t, l)
	await(t, "the oldest connection", func() bool { return tracked.counts().open == 1 })
	for range 7 {
		dial(t, l)
	}
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("the oldest connection is open, want it closed")
	}
	caller := dial(t, l)
	beginBody(t, caller, 2, 2)
	res, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil || res.StatusCode != http.StatusBadRequest {
		t.Errorf("answer %v, error %v; want 400 for an empty job", res, err)
	}
	if n := tracked.stats().Connections; n > 4 {
		t.Errorf("%d connections are open, want at most 4", n)
	}
}

// A header that is too large got no answer, or the server read a megabyte of it.
func TestALargeHeaderIsAnswered(t *testing.T) {
	l, _ := boundedServer(t, intake.LimitsFor(0, 0), noReport{})
	c := dial(t, l)
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h.example\r\nX: %*s", 80<<10, ""); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("answer %v, error %v; want 431", res, err)
	}
}

// Requests on one connection are served one after the other, also those that were sent together.
func TestRequestsThatAreSentTogetherAreServed(t *testing.T) {
	l, _ := boundedServer(t, intake.LimitsFor(0, 0), noReport{})
	c := dial(t, l)
	beginBody(t, c, 2, 2)
	beginBody(t, c, 3, 3)
	reader := bufio.NewReader(c)
	for range 2 {
		res, err := http.ReadResponse(reader, nil)
		if err != nil || res.StatusCode != http.StatusBadRequest {
			t.Fatalf("answer %v, error %v; want 400 for an empty job", res, err)
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
	}
}
