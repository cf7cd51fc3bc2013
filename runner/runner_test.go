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
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// instantServer is a backend server on which every run is done at once.
type instantServer struct {
	mu    sync.Mutex
	ended []run.EndedRun
	began time.Time
}

const serverBorn = 1_000

func (s *instantServer) stamp() run.Stamp {
	return run.Stamp{Born: serverBorn, Clock: time.Since(s.began)}
}

func (s *instantServer) Start(_ context.Context, _ string, call run.CallStart) (run.StartAnswered, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = append(s.ended, run.EndedRun{Number: int64(len(s.ended) + 1), Run: call.Run, How: run.EndDone})
	return run.StartAnswered{Run: call.Run, Reply: run.Started, Stamp: s.stamp()}, nil
}

func (s *instantServer) Stop(_ context.Context, _ string, call run.CallStop) (run.StopAnswered, error) {
	return run.StopAnswered{Run: call.Run, Answered: true, Stamp: s.stamp()}, nil
}

func (s *instantServer) Hold(ctx context.Context, _ string, call run.CallHold) (run.Event, error) {
	for deadline := time.Now().Add(call.Wait); ; {
		s.mu.Lock()
		news := s.ended[call.LastSeen:]
		s.mu.Unlock()
		if len(news) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return run.HoldAnswered{Call: call.Call, Stamp: s.stamp(), Ended: news}, nil
		}
		time.Sleep(time.Millisecond)
	}
}

// serve starts an agent beside an instant server, and returns its address.
func serve(t testing.TB) (address string) {
	t.Helper()
	terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	server := &instantServer{began: time.Now()}
	r := New(Config{Self: "agent", Domain: "d", Terms: terms, Backend: server, Log: telemetry.Discard()})
	r.Start(t.Context())
	r.Report(run.ServerReported{
		Server: work.Server{Incarnation: "server", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 1000}},
		Born:   serverBorn, Sequence: 1,
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
	return listener.Addr().String()
}

// patience bounds what a test waits for; only a failing one takes as long.
const patience = 20 * time.Second

// attached opens a session and hands its messages to the function until that
// returns true, or the test has run out of patience.
func attached(t testing.TB, address string, hello *linkpb.Hello, received func(*link.Session, *linkpb.FromAgent) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	done := false
	err := link.Run(ctx, address, hello, link.Times{Beat: time.Hour, Silence: patience}, link.Handlers{
		Received: func(s *link.Session, m *linkpb.FromAgent) {
			if done = done || received(s, m); done {
				cancel()
			}
		},
		Beat: func() *linkpb.Heartbeat { return &linkpb.Heartbeat{} },
	})
	if !done {
		t.Fatalf("the session ended too early: %v", err)
	}
}

// offer sends one task under a lease that counts from the agent's clock.
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

// inUse reports whether the agent tells that its backend server is in use.
func inUse(m *linkpb.FromAgent) bool { return m.GetRoom().GetIncarnation() != "" }

// A result is sent again in the next session unless the entry has taken note of it.
func TestAResultOutlivesItsSession(t *testing.T) {
	address := serve(t)
	hello := &linkpb.Hello{Entry: "entry", Agent: "agent"}
	var newest *linkpb.Result
	offered := false
	attached(t, address, hello, func(s *link.Session, m *linkpb.FromAgent) bool {
		if inUse(m) && !offered {
			offered = true
			offer(s, 1, m.GetClockMs())
		}
		for _, newest = range m.GetResults() {
			if newest.GetOutcome() == linkpb.Outcome_OUTCOME_DONE {
				return true
			}
			offer(s, newest.GetTask().GetRun()+1, m.GetClockMs()) // the lease was over on the way
		}
		return false
	})
	attached(t, address, hello, func(_ *link.Session, m *linkpb.FromAgent) bool {
		results := m.GetResults()
		if len(results) == 0 || results[len(results)-1].GetSequence() != newest.GetSequence() {
			t.Errorf("the second session begins with %v, want the first one's results", results)
		}
		return true
	})
	hello.ResultsSeen = newest.GetSequence()
	attached(t, address, hello, func(_ *link.Session, m *linkpb.FromAgent) bool {
		if len(m.GetResults()) != 0 {
			t.Errorf("a result that was taken note of comes again: %v", m.GetResults())
		}
		return true
	})
}

// Nothing starts for an entry that has returned no clock of the agent: opening a
// session is no lease.
func TestNothingStartsWithoutALease(t *testing.T) {
	address := serve(t)
	offered := false
	attached(t, address, &linkpb.Hello{Entry: "entry"}, func(s *link.Session, m *linkpb.FromAgent) bool {
		if inUse(m) && !offered {
			offered = true
			offer(s, 1, 0)
		}
		for _, r := range m.GetResults() {
			if r.GetOutcome() != linkpb.Outcome_OUTCOME_NOT_STARTED {
				t.Errorf("the run ended as %v without a lease", r.GetOutcome())
			}
		}
		return len(m.GetResults()) > 0
	})
}

// BenchmarkHeartbeat measures the processor time of one heartbeat and its answer, at
// both ends together.
func BenchmarkHeartbeat(b *testing.B) {
	address := serve(b)
	before, left := processorTime(b), b.N
	attached(b, address, &linkpb.Hello{Entry: "entry"}, func(s *link.Session, m *linkpb.FromAgent) bool {
		left--
		s.Send(&linkpb.ToAgent{Heartbeat: &linkpb.Heartbeat{Number: m.GetHeartbeat() + 1, AgentClockMs: clock.Now().Milliseconds()}})
		return left <= 0
	})
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// processorTime is what the process has used so far, in its code and the kernel.
func processorTime(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
