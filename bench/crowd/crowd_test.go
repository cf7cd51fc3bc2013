package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/runserver"
	"foxtaildock.example/bench/usersite"
	"foxtaildock.example/dock/work"
)

var daemonPath string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonPath = filepath.Join(dir, "foxtaildockd")
	build := exec.Command("go", "build", "-o", daemonPath, "foxtaildock.example/dock/cmd/foxtaildockd")
	if text, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building foxtaildockd: %v\n%s", err, text)
		return 1
	}
	return m.Run()
}

// The crowds and the limits in the settings, which are lower than those of any site, so that a
// small crowd is enough. What a process may use follows from them: memoryMB, and the descriptors
// less the 200 that the platform reserves for files.
const (
	memoryMB    = 96
	descriptors = 700
	socketLimit = descriptors - 200

	bodies      = 400 // callers that send bodies, of up to 105 MB together
	headers     = 400 // callers that send headers
	connections = 700 // callers that only connect
	jobs        = 200 // callers that submit small jobs of many tasks
)

// crowdSite is a site whose only entry gets the crowd.
type crowdSite struct {
	*usersite.Site
	t         *testing.T
	processes []*cluster.Process
	watched   []<-chan Usage // of the processes
	unwatch   context.CancelFunc
	next      int // number of the next ordinary job
}

func startCrowdSite(t *testing.T) *crowdSite {
	t.Helper()
	s, err := usersite.Start(usersite.Config{
		Daemon: daemonPath, Dir: t.TempDir(), Entries: 1, Agents: 2, MemoryMB: memoryMB, Descriptors: descriptors,
		Plan: func(_ work.Run, spec string) runserver.Plan {
			return runserver.Plan{Demand: demandOf(spec), Length: 20 * time.Millisecond}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		for _, v := range s.Checks.Violations() {
			t.Errorf("violated guarantee: %s", v)
		}
	})
	c := &crowdSite{Site: s, t: t, processes: append(append([]*cluster.Process{}, s.Entries...), s.Agents...)}
	c.serveOrdinary("before the crowd")
	ctx, cancel := context.WithCancel(context.Background())
	c.unwatch = cancel
	for _, p := range c.processes {
		c.watched = append(c.watched, Watch(ctx, p.PID(), s.Address(p)))
	}
	return c
}

// demandOf returns the demand of a task with the spec, which is what its job says.
func demandOf(spec string) work.Demand {
	switch spec {
	case lightSpec:
		return work.Demand{CPUMilli: 100}
	case freeSpec:
		return work.Demand{}
	default:
		return usersite.Demand
	}
}

func (s *crowdSite) address() string { return s.CallerAddress(0) }

// ordinaryTries is how often a caller submits an ordinary job that is rejected or not answered, a
// second apart.
const ordinaryTries = 30

// serveOrdinary submits one ordinary job, as callers do: again if it is rejected or not answered.
func (s *crowdSite) serveOrdinary(when string) {
	s.t.Helper()
	s.next++
	id := fmt.Sprintf("%016x", s.next)
	var last usersite.Reply
	for range ordinaryTries {
		var caller usersite.Caller
		last = caller.Submit(s.t.Context(), s.address(), id, 2, 20*time.Millisecond, 5*time.Second)
		if last.Status == http.StatusOK && last.State == "completed" {
			return
		}
		time.Sleep(time.Second)
	}
	s.t.Errorf("%s an ordinary job is answered %+v, want it completed", when, last)
}

// holdTime is how long a crowd stays after it has sent all, so that the entry has taken all of it.
const holdTime = time.Second

// endure opens a crowd and checks what must hold under it and afterwards.
func (s *crowdSite) endure(n int, send func(caller int, conn net.Conn) error) {
	s.t.Helper()
	crowd := Open(s.address(), n, send)
	defer crowd.Close()
	time.Sleep(holdTime)
	s.serveOrdinary("beside the crowd")
	crowd.Close()
	s.serveOrdinary("after the crowd")
	s.check()
}

// check checks that all processes live, and stayed within their limits.
func (s *crowdSite) check() {
	s.t.Helper()
	s.unwatch()
	for i, p := range s.processes {
		if !p.Running() {
			s.t.Errorf("%s has ended", p.Name)
		}
		u := <-s.watched[i]
		s.t.Logf("most used by %s: %d MB of %d (resident %d, unread %d), %d sockets of %d", p.Name, u.Memory()>>20, memoryMB, u.Resident>>20, u.Unread>>20, u.Sockets, socketLimit)
		if u.Memory() > memoryMB<<20 {
			s.t.Errorf("%s used %d MB, want at most %d", p.Name, u.Memory()>>20, memoryMB)
		}
		if u.Sockets > socketLimit {
			s.t.Errorf("%s had %d open sockets, want at most %d", p.Name, u.Sockets, socketLimit)
		}
	}
}

// Many large bodies that stopped just short of their end filled the memory of an entry.
func TestBodiesThatStopShortOfTheirEnd(t *testing.T) {
	startCrowdSite(t).endure(bodies, unfinished)
}

// So did bodies that all callers sent piece by piece, at the same pace.
func TestBodiesThatComePieceByPiece(t *testing.T) {
	s := startCrowdSite(t)
	const piece = 16 << 10
	s.endure(bodies, func(caller int, conn net.Conn) error {
		if _, err := conn.Write([]byte(sized(crowdID(caller), MaxBody))); err != nil {
			return err
		}
		for rest := largest[:MaxBody-1]; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			if _, err := conn.Write(rest[:min(piece, len(rest))]); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	})
}

// So did chunked bodies whose last chunk never came.
func TestChunkedBodiesThatStopShortOfTheirEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
	}{{"large chunks", 64 << 10}, {"small chunks", 8}} {
		t.Run(c.name, func(t *testing.T) {
			s := startCrowdSite(t)
			s.endure(bodies, func(caller int, conn net.Conn) error {
				if _, err := conn.Write([]byte(chunked(crowdID(caller)))); err != nil {
					return err
				}
				return writeChunks(conn, largest, c.size)
			})
		})
	}
}

// Whole bodies of legal size grew when they were decoded, and while their jobs waited. A job that
// was rejected has not run.
func TestWholeBodiesOfManySteps(t *testing.T) {
	s := startCrowdSite(t)
	s.submitAll(bodies, manySteps(11_000))
}

// Small bodies grew to jobs of many tasks, which were all admitted if they asked for no processor.
func TestSmallBodiesOfManyTasks(t *testing.T) {
	s := startCrowdSite(t)
	s.submitAll(jobs, manyTasks(100_000))
}

// A spec is sent to agents with each task.
func TestLongSpecs(t *testing.T) {
	s := startCrowdSite(t)
	s.submitAll(bodies, longSpec(100, 250_000))
}

// submitAll submits the job many times at once, each under an ID of its own, and checks that none
// that was rejected has run.
func (s *crowdSite) submitAll(n int, body []byte) {
	s.t.Helper()
	if len(body) > MaxBody {
		s.t.Fatalf("the body has %d bytes, want at most %d", len(body), MaxBody)
	}
	statuses := make([]string, n)
	s.endure(n, func(caller int, conn net.Conn) error {
		if _, err := fmt.Fprintf(conn, "%s%s", sized(crowdID(caller), len(body)), body); err != nil {
			return err
		}
		status, err := readStatus(conn)
		statuses[caller] = status
		return err
	})
	count := map[string]int{}
	for caller, status := range statuses {
		count[status]++
		rejected := status == "429" || status == "503" || status == "400"
		if rejected && s.Checks.Began(work.JobID(crowdID(caller))) {
			s.t.Errorf("job %s was rejected with %s and has run", crowdID(caller), status)
		}
	}
	s.t.Logf("answers: %v", count)
}

// The fields of a header took many times its bytes, and nothing bounded a header but its time.
func TestHeadersThatStopShortOfTheirEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
	}{{"legal size", MaxHeader - 200}, {"a megabyte", 1_000_000}} {
		t.Run(c.name, func(t *testing.T) {
			s := startCrowdSite(t)
			fields := shortFields(c.size)
			s.endure(headers, func(caller int, conn net.Conn) error {
				_, err := fmt.Fprintf(conn, "%s%s", head(crowdID(caller)), fields)
				return err
			})
		})
	}
}

// Whole headers of legal size before bodies that never come were kept as long as their callers
// liked.
func TestLargeHeadersBeforeBodiesThatNeverCome(t *testing.T) {
	s := startCrowdSite(t)
	fields := wholeFields(MaxHeader - 200)
	s.endure(headers, func(caller int, conn net.Conn) error {
		_, err := fmt.Fprintf(conn, "%s%s\r\n{", head(crowdID(caller), "Content-Length: 100"), fields)
		return err
	})
}

// A header that begins in the same packet as the request before it is counted as well.
func TestPipelinedHeadersThatStopShortOfTheirEnd(t *testing.T) {
	s := startCrowdSite(t)
	fields := shortFields(MaxHeader - 200)
	s.endure(headers, func(caller int, conn net.Conn) error {
		state := "GET " + usersite.Prefix + crowdID(caller) + " HTTP/1.1\r\nHost: " + usersite.Host + "\r\n\r\n"
		_, err := fmt.Fprintf(conn, "%s%s%s", state, head(crowdID(caller)), fields)
		return err
	})
}

// Connections took all descriptors, so that none were left for other callers, agents and the
// store.
func TestConnectionsAlone(t *testing.T) {
	s := startCrowdSite(t)
	s.endure(connections, func(int, net.Conn) error { return nil })
}

// A request without a body to its end kept its connection for ever, also one whose body nobody
// reads.
func TestUnreadBodiesThatNeverCome(t *testing.T) {
	s := startCrowdSite(t)
	s.endure(connections, func(caller int, conn net.Conn) error {
		_, err := fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 100\r\n\r\n", usersite.Prefix, crowdID(caller), usersite.Host)
		return err
	})
}

// Callers that send requests without end and read no answers.
func TestCallersThatReadNoAnswers(t *testing.T) {
	s := startCrowdSite(t)
	requests := strings.Repeat("GET "+usersite.Prefix+" HTTP/1.1\r\nHost: "+usersite.Host+"\r\n\r\n", 20_000)
	s.endure(bodies, func(_ int, conn net.Conn) error {
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		_, err := conn.Write([]byte(requests))
		return err
	})
}

// The other listeners of an entry and an agent aren't for callers, and have to bear as much.
func TestCrowdsAtOtherListeners(t *testing.T) {
	s := startCrowdSite(t)
	fields := shortFields(1_000_000)
	for _, address := range s.SideAddresses()[:6] { // those of the entry and of one agent
		for _, c := range []struct {
			n    int
			send func(caller int, conn net.Conn) error
		}{
			{connections, func(int, net.Conn) error { return nil }},
			{headers / 4, func(_ int, conn net.Conn) error {
				_, err := fmt.Fprintf(conn, "PUT /instances/x HTTP/1.1\r\nHost: x\r\n%s", fields)
				return err
			}},
		} {
			crowd := Open(address, c.n, c.send)
			time.Sleep(holdTime)
			s.serveOrdinary("beside a crowd at " + address)
			crowd.Close()
		}
	}
	s.check()
}

// stormTime is how long callers go on coming back before an ordinary job is submitted, and
// returning is their number.
const (
	stormTime = 3 * time.Second
	returning = 100
)

// Callers that come back as soon as they are refused.
func TestCallersThatComeBackAtOnce(t *testing.T) {
	s := startCrowdSite(t)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Storm(ctx, s.address(), returning, unfinished)
	}()
	time.Sleep(stormTime)
	s.serveOrdinary("beside callers that come back")
	stop()
	<-ended
	s.serveOrdinary("after them")
	s.check()
}

// stopPatience is how long a stopping entry may take: several times its grace period. Only a
// failing test waits as long.
const stopPatience = 30 * time.Second

// An entry that stops doesn't wait for requests that never come whole.
func TestAnEntryStopsBesideACrowd(t *testing.T) {
	s := startCrowdSite(t)
	crowd := Open(s.address(), bodies, unfinished)
	defer crowd.Close()
	if err := s.Entries[0].Stop(stopPatience); err != nil {
		t.Error(err)
	}
}

// What our pages allow is served while nothing else goes on: a body, whole and in small chunks, and
// a header of the largest size, and a body that comes slowly and steadily.
func TestASingleRequestInsideTheLimitsIsServed(t *testing.T) {
	s := startCrowdSite(t)
	fields := wholeFields(MaxHeader - 200)
	small := padded(400)
	for i, c := range []struct {
		name string
		send func(conn net.Conn, id string) error
	}{
		{"largest body", func(conn net.Conn, id string) error {
			_, err := fmt.Fprintf(conn, "%s%s", sized(id, MaxBody), largest)
			return err
		}},
		{"largest header", func(conn net.Conn, id string) error {
			_, err := fmt.Fprintf(conn, "%s%s\r\n%s", head(id, fmt.Sprintf("Content-Length: %d", len(small))), fields, small)
			return err
		}},
		{"largest body in chunks", func(conn net.Conn, id string) error {
			if _, err := conn.Write([]byte(chunked(id))); err != nil {
				return err
			}
			if err := writeChunks(conn, largest, 8); err != nil {
				return err
			}
			_, err := conn.Write([]byte("0\r\n\r\n"))
			return err
		}},
		{"slow and steady", func(conn net.Conn, id string) error {
			if _, err := conn.Write([]byte(sized(id, len(small)))); err != nil {
				return err
			}
			for _, piece := range small {
				if _, err := conn.Write([]byte{piece}); err != nil {
					return err
				}
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		}},
	} {
		conn, err := net.Dial("tcp", s.address())
		if err != nil {
			t.Fatal(err)
		}
		if err := c.send(conn, crowdID(i)); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if status, err := readStatus(conn); err != nil || status != "200" {
			t.Errorf("%s: answered %q (%v), want 200", c.name, status, err)
		}
		_ = conn.Close()
	}
	s.check()
}
