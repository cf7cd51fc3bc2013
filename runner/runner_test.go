package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// instantServer is a backend server on which every run ends successfully at once.
type instantServer struct {
	mu    sync.Mutex
	ended []run.EndedRun
	began time.Time
}

const serverStartMs = 1_000

func (s *instantServer) stamp() run.Stamp {
	return run.Stamp{StartUnixMs: serverStartMs, Clock: time.Since(s.began)}
}

func (s *instantServer) Start(_ context.Context, call run.CallStart) (run.StartAnswered, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, run.EndedRun{Number: int64(len(s.ended) + 1), Run: call.Run, How: run.EndDone})
	return run.StartAnswered{Run: call.Run, Reply: run.Started, Stamp: s.stamp()}, nil
}

func (s *instantServer) Stop(_ context.Context, call run.CallStop) (run.StopAnswered, error) {
	return run.StopAnswered{Run: call.Run, Answered: true, Stamp: s.stamp()}, nil
}

func (s *instantServer) Hold(ctx context.Context, call run.CallHold) (run.Event, error) {
	for deadline := time.Now().Add(call.Wait); ; {
		s.mu.Lock()
		unseen := s.ended[call.LastSeen:]
		s.mu.Unlock()
		if len(unseen) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return run.HoldAnswered{Call: call.Call, Stamp: s.stamp(), Ended: unseen}, nil
		}
		time.Sleep(time.Millisecond)
	}
}

// serveAgent starts an agent with an instantServer, and returns the agent's address.
func serveAgent(t testing.TB) (address string) {
	t.Helper()
	_, address = startAgent(t)
	return address
}

func startAgent(t testing.TB) (r *Runner, address string) {
	t.Helper()
	terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	server := &instantServer{began: time.Now()}
	r = New(Config{Self: "agent", Domain: "d", Terms: terms, Backend: server, Log: telemetry.Discard()})
	r.Start(t.Context())
	r.Report(run.ServerReported{
		Server:      work.Server{Incarnation: "server", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 1000}},
		StartUnixMs: serverStartMs, Sequence: 1,
	})
	mux := http.NewServeMux()
	mux.Handle(linkpbconnect.NewAgentLinkHandler(r, rpc.HandlerOptions()))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	http := rpc.NewServer(mux)
	go func() { _ = http.Serve(listener) }()
	t.Cleanup(func() { _ = http.Close() })
	return r, listener.Addr().String()
}

// testTimeout limits each wait of a test. Only a failing test waits as long.
const testTimeout = 20 * time.Second

// runSession opens a session and passes its messages to received until that returns
// true. The test fails if the session ends first or testTimeout passes.
func runSession(t testing.TB, address string, hello *linkpb.Hello, received func(*link.Session, *linkpb.FromAgent) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	done := false
	err := link.Run(ctx, address, hello, link.Times{HeartbeatInterval: time.Hour, SilenceTimeout: testTimeout}, link.Handlers{
		Received: func(s *link.Session, m *linkpb.FromAgent) {
			if done = done || received(s, m); done {
				cancel()
			}
		},
		NextHeartbeat: func() *linkpb.Heartbeat { return &linkpb.Heartbeat{} },
	})
	if !done {
		t.Fatalf("the session ended before the awaited message: %v", err)
	}
}

// offer sends one task under a lease that counts from agentClock, the agent's clock in
// milliseconds.
func offer(s *link.Session, runID uint32, agentClock int64) {
	s.Send(&linkpb.ToAgent{
		Sequence:  uint64(runID),
		Heartbeat: &linkpb.Heartbeat{Number: uint64(runID), AgentClockMs: agentClock},
		Offers: []*linkpb.Offer{{
			Job: "job", Service: "s",
			Tasks: []*linkpb.OfferedTask{{Run: runID, Demand: link.DemandMessage(work.Demand{CPUMilli: 1000, MemoryMB: 1})}},
		}},
	})
}

// inUse reports whether the message says that the agent's backend server is in use.
func inUse(m *linkpb.FromAgent) bool { return m.GetRoom().GetIncarnation() != "" }

// offerWhenInUse returns a function that offers one task, at the first message which says that
// the agent's backend server is in use.
func offerWhenInUse() func(*link.Session, *linkpb.FromAgent) {
	offered := false
	return func(s *link.Session, m *linkpb.FromAgent) {
		if inUse(m) && !offered {
			offered = true
			offer(s, 1, m.GetClockMs())
		}
	}
}

// A result is sent again in the next session until the entry has acknowledged it.
func TestAResultOutlivesItsSession(t *testing.T) {
	address := serveAgent(t)
	hello := &linkpb.Hello{Entry: "entry", Agent: "agent"}
	var newest *linkpb.Result
	offerOnce := offerWhenInUse()
	runSession(t, address, hello, func(s *link.Session, m *linkpb.FromAgent) bool {
		offerOnce(s, m)
		for _, newest = range m.GetResults() {
			if newest.GetOutcome() == linkpb.Outcome_OUTCOME_DONE {
				return true
			}
			offer(s, newest.GetTask().GetRun()+1, m.GetClockMs()) // the lease expired before the offer arrived
		}
		return false
	})
	runSession(t, address, hello, func(_ *link.Session, m *linkpb.FromAgent) bool {
		results := m.GetResults()
		if len(results) == 0 || results[len(results)-1].GetSequence() != newest.GetSequence() {
			t.Errorf("the second session begins with %v, want the results of the first one", results)
		}
		return true
	})
	hello.ResultsSeen = newest.GetSequence()
	runSession(t, address, hello, func(_ *link.Session, m *linkpb.FromAgent) bool {
		if len(m.GetResults()) != 0 {
			t.Errorf("an acknowledged result is sent again: %v", m.GetResults())
		}
		return true
	})
}

// An agent that stops as planned ended as soon as it held no task, whether or not its last
// results had reached their entry. Their tasks would have run again.
func TestAnAgentIsNotIdleUntilItsResultsAreAcknowledged(t *testing.T) {
	r, address := startAgent(t)
	offerOnce := offerWhenInUse()
	runSession(t, address, &linkpb.Hello{Entry: "entry", Agent: "agent"}, func(s *link.Session, m *linkpb.FromAgent) bool {
		offerOnce(s, m)
		if len(m.GetResults()) == 0 {
			return false
		}
		for began := time.Now(); time.Since(began) < 2*idleTick; time.Sleep(time.Millisecond) {
			if r.Idle() {
				t.Fatal("the agent is idle before the entry has acknowledged the result")
			}
		}
		newest := m.GetResults()[len(m.GetResults())-1].GetSequence()
		s.Send(&linkpb.ToAgent{Heartbeat: &linkpb.Heartbeat{Number: 2, ResultsSeen: newest}})
		for began := time.Now(); !r.Idle(); time.Sleep(time.Millisecond) {
			if time.Since(began) > testTimeout {
				t.Fatal("the agent isn't idle although all results are acknowledged")
			}
		}
		return true
	})
}

// A session was reset while the last result was on its way, and the agent ended before the
// entry had opened another.
func TestAnAgentIsNotIdleWhileASessionIsOpenedAgain(t *testing.T) {
	r, address := startAgent(t)
	offerOnce := offerWhenInUse()
	runSession(t, address, &linkpb.Hello{Entry: "entry", Agent: "agent"}, func(s *link.Session, m *linkpb.FromAgent) bool {
		offerOnce(s, m)
		return len(m.GetResults()) > 0
	})
	for began := time.Now(); r.Attached() > 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatal("the session doesn't end")
		}
	}
	if r.Idle() {
		t.Error("the agent is idle before the entry can have opened another session")
	}
	for began := time.Now(); !r.Idle(); time.Sleep(time.Millisecond) {
		if time.Since(began) > testTimeout {
			t.Fatal("the agent waits for an entry that is gone")
		}
	}
}

// Nothing starts for an entry that has returned no clock value of the agent: opening a
// session alone gives no lease.
func TestNothingStartsWithoutALease(t *testing.T) {
	address := serveAgent(t)
	offered := false
	runSession(t, address, &linkpb.Hello{Entry: "entry"}, func(s *link.Session, m *linkpb.FromAgent) bool {
		if inUse(m) && !offered {
			offered = true
			offer(s, 1, 0)
		}
		for _, r := range m.GetResults() {
			if r.GetOutcome() != linkpb.Outcome_OUTCOME_NOT_STARTED {
				t.Errorf("the run of an entry without a lease ended as %v, want not started", r.GetOutcome())
			}
		}
		return len(m.GetResults()) > 0
	})
}

// BenchmarkHeartbeat measures the CPU time of one heartbeat and its answer, at both ends
// together.
func BenchmarkHeartbeat(b *testing.B) {
	address := serveAgent(b)
	before, left := processorTime(b), b.N
	runSession(b, address, &linkpb.Hello{Entry: "entry"}, func(s *link.Session, m *linkpb.FromAgent) bool {
		left--
		s.Send(&linkpb.ToAgent{Heartbeat: &linkpb.Heartbeat{Number: m.GetHeartbeat() + 1, AgentClockMs: clock.Now().Milliseconds()}})
		return left <= 0
	})
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the CPU time of the process so far, user and system, in
// nanoseconds.
func processorTime(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// An agent asks for as much coverage as its entries can give, so that the loss of one
// domain leaves it in use.
func TestAnAgentAsksForTwoDomainsIfThereAreTwo(t *testing.T) {
	entry := func(address string, domain ident.FailureDomain) directory.Member {
		return directory.Member{Role: directory.RoleEntry, Address: address, Domain: domain}
	}
	for _, c := range []struct {
		name    string
		members []directory.Member
		want    coverage
	}{
		{"one entry", []directory.Member{entry("a", "d1"), entry("a", "d1")}, coverage{1, 1}},
		{"one domain", []directory.Member{entry("a", "d1"), entry("b", "d1")}, coverage{2, 1}},
		{"three domains", []directory.Member{entry("a", "d1"), entry("b", "d2"), entry("c", "d3")}, coverage{2, 2}},
	} {
		if got := coverageOf(c.members); got != c.want {
			t.Errorf("%s: the agent aims at %+v, want %+v", c.name, got, c.want)
		}
	}
	if (coverage{3, 1}).atLeast(coverage{2, 2}) {
		t.Error("three entries of one domain count as two domains")
	}
}
