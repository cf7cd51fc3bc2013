package run

import (
	"slices"
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// restart makes the server another incarnation, which reports and answers a call.
func (h *harness) restart(e ServerReported) {
	h.t.Helper()
	h.startMs = e.StartUnixMs
	h.step(e)
	h.answerHold(nil, nil)
}

// An offer that an entry sent before it knew of the server's restart was taken, and its task
// started on a server of another kind (review/4).
func TestAnOfferForAnotherIncarnationIsRefused(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	former := h.core.Room().Server.Incarnation
	h.now += 20 * time.Millisecond
	h.restart(report(serverStartMs+20, 1, 0))
	h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
	h.answerHold(nil, nil)
	h.take()
	room := h.core.Room()
	if room.Server.Incarnation == "" || room.Server.Incarnation == former {
		t.Fatalf("incarnation %q after %q, want another one in use", room.Server.Incarnation, former)
	}
	late := offer(0)
	late.Server = former
	h.step(late)
	out := h.take()
	if reports := of[Report](out); len(of[CallStart](out)) > 0 || len(reports) != 1 || reports[0].Outcome != work.NotStarted {
		t.Errorf("an offer for the former incarnation leads to %+v, want a report only", out)
	}
	now := offer(1)
	now.Server = room.Server.Incarnation
	h.step(now)
	starts := of[CallStart](h.take())
	if len(starts) != 1 || starts[0].Server.StartUnixMs != serverStartMs+20 {
		t.Errorf("starts %+v, want one on the incarnation in use", starts)
	}
}

// realServer answers lease calls as the backend server of an agent.
type realServer struct {
	*harness
	startedAt time.Duration // on the harness's clock
	id        string
	sequence  int64
	pending   []pendingCall
}

// pendingCall is a lease call that isn't answered yet.
type pendingCall struct {
	call   CallHold
	sentAt time.Duration
}

// newRealServer returns a server that started long before its agent.
func newRealServer(t *testing.T) *realServer {
	h := newHarness(t)
	h.startMs = serverStartMs
	h.now = time.Minute
	return &realServer{harness: h, id: "server", sequence: 40}
}

// newBusyServer returns a server that is in use and runs one task.
func newBusyServer(t *testing.T) *realServer {
	s := newRealServer(t)
	s.stepAnswered(s.nextReport())
	s.step(EntryHeartbeat{Entry: entryA, AsOf: s.now})
	s.step(offer(0))
	s.started(0)
	return s
}

func (s *realServer) clock() time.Duration { return s.now - s.startedAt }

// nextReport returns the server's next report about itself.
func (s *realServer) nextReport() ServerReported {
	s.sequence++
	e := report(s.startMs, s.sequence, s.clock())
	e.Server.Incarnation = s.id
	return e
}

// do passes an event to the core and keeps the lease calls that it leads to.
func (s *realServer) do(e Event) {
	for _, call := range of[CallHold](s.step(e)) {
		s.pending = append(s.pending, pendingCall{call, s.now})
	}
}

// settle answers the pending lease calls whose wait is over, as long as that leads to more.
func (s *realServer) settle() {
	s.t.Helper()
	due := func(p pendingCall) bool { return s.now >= p.sentAt+p.call.Wait }
	for n := 0; slices.ContainsFunc(s.pending, due); n++ {
		if n > 100 {
			s.t.Fatal("lease calls without end")
		}
		i := slices.IndexFunc(s.pending, due)
		call := s.pending[i].call
		s.pending = slices.Delete(s.pending, i, i+1)
		s.now += time.Millisecond
		s.do(s.answer(call))
	}
}

func (s *realServer) stepAnswered(e Event) {
	s.t.Helper()
	s.settle()
	s.do(e)
	for range 2 {
		s.settle()
		s.now += clearingWait
	}
	s.settle()
}

// refuseFencesBelow answers lease calls with lower fencing tokens by refusals, and returns how
// many there were until one was accepted, at most limit.
func (s *realServer) refuseFencesBelow(fence int64, limit int) int {
	for n := range limit {
		s.now += holdRetryDelay
		s.do(Tick{})
		i := slices.IndexFunc(s.pending, func(p pendingCall) bool { return p.call.Fence >= fence })
		if i >= 0 {
			return n
		}
		pending := s.pending
		s.pending = nil
		for _, p := range pending {
			s.do(HoldFailed{Call: p.call.Call, Refused: true})
		}
	}
	return limit
}

// restartEarlier ends the server and all its connections, and starts it again under the ID,
// with an earlier start by the time of day.
func (s *realServer) restartEarlier(id string) {
	pending := s.pending
	s.pending = nil
	s.id, s.startMs, s.sequence, s.startedAt = id, serverStartMs-30_000, 0, s.now
	for _, p := range pending {
		s.do(HoldFailed{Call: p.call.Call})
	}
}

func (s *realServer) answer(call CallHold) Event {
	if call.Server.ID != s.id {
		return HoldFailed{Call: call.Call, OtherIncarnation: true}
	}
	return HoldAnswered{Call: call.Call, Stamp: Stamp{StartUnixMs: s.startMs, Clock: s.clock()}}
}

// inUse reports whether tasks start on the server, as the one that it is.
func (s *realServer) inUse() bool {
	want := report(s.startMs, 0, 0).Server
	want.Incarnation = Incarnation{ID: s.id, StartUnixMs: s.startMs}.String()
	got := s.core.Room()
	return !got.Closed && got.Server.Incarnation == want.Incarnation && got.Server.Service == want.Service &&
		slices.Equal(got.Server.Labels, want.Labels) && got.Server.Capacity == want.Capacity && !got.Server.Draining
}

// oddReports are reports that another writer may send, made from one of the real server.
var oddReports = map[string]func(*ServerReported){
	"of another server": func(e *ServerReported) {
		e.Server.Incarnation, e.Server.Service, e.StartUnixMs = "w-1", "backup", e.StartUnixMs+60_000
	},
	"of another server that began earlier":       func(e *ServerReported) { e.Server.Incarnation, e.StartUnixMs = "w-1", 1 },
	"with a later start":                         func(e *ServerReported) { e.StartUnixMs += 60_000 },
	"with a start far ahead":                     func(e *ServerReported) { e.StartUnixMs = 1 << 52 },
	"with an earlier start":                      func(e *ServerReported) { e.StartUnixMs = 1 },
	"with a sequence far ahead":                  func(e *ServerReported) { e.Sequence = 1 << 62 },
	"with a sequence ahead and another capacity": func(e *ServerReported) { e.Sequence, e.Server.Capacity.CPUMilli = 1<<62, 1 },
	"with a clock ahead and another capacity":    func(e *ServerReported) { e.Clock, e.Server.Capacity.CPUMilli = 1<<62, 1 },
	"with a clock far ahead":                     func(e *ServerReported) { e.Clock += 24 * time.Hour },
	"with a clock and a sequence ahead":          func(e *ServerReported) { e.Clock, e.Sequence = 1<<62, 1<<62 },
	"of another service":                         func(e *ServerReported) { e.Server.Service = "backup" },
	"of another failure domain":                  func(e *ServerReported) { e.Server.Domain = "elsewhere" },
	"of another kind":                            func(e *ServerReported) { e.Server.Labels = []string{"b"} },
	"of another capacity":                        func(e *ServerReported) { e.Server.Capacity.CPUMilli = 1 },
	"that says it drains":                        func(e *ServerReported) { e.Server.Draining = true },
}

// One report of another writer took an agent's server out of use until a process was
// restarted (review/3). The server has to be in use again with its second report at the
// latest; the agent asks it at once whether it is still the same.
func TestAnOddReportDoesNotReplaceTheServer(t *testing.T) {
	for name, change := range oddReports {
		for when, before := range map[string]func(*realServer){
			"in use":        func(s *realServer) { s.stepAnswered(s.nextReport()) },
			"not confirmed": func(s *realServer) { s.do(s.nextReport()) },
			"not known":     func(*realServer) {},
		} {
			s := newRealServer(t)
			before(s)
			s.now += 100 * time.Millisecond
			odd := s.nextReport()
			change(&odd)
			s.stepAnswered(odd)
			odd.Sequence++
			s.stepAnswered(odd) // sent twice
			for range 2 {
				s.now += 1500 * time.Millisecond
				s.stepAnswered(s.nextReport())
			}
			if !s.inUse() {
				t.Errorf("report %s, server %s: room %+v after two reports of the server, want it in use", name, when, s.core.Room())
			}
		}
	}
}

// A report that names another incarnation doesn't even interrupt the use of the server.
func TestAReportOfAnotherIncarnationInterruptsNothing(t *testing.T) {
	for name, change := range oddReports {
		s := newRealServer(t)
		s.stepAnswered(s.nextReport())
		odd := s.nextReport()
		change(&odd)
		if odd.incarnation() == (Incarnation{ID: s.id, StartUnixMs: s.startMs}) {
			continue
		}
		s.do(odd)
		if !s.inUse() {
			t.Errorf("report %s: the server is no longer in use", name)
		}
		s.stepAnswered(Tick{})
		if s.core.proposed.report != nil {
			t.Errorf("report %s: it is still a proposal after the server has answered", name)
		}
	}
}

// A message of another writer that the server has left took it out of use until its next report,
// and its runs were lost.
func TestAServerThatIsSaidToHaveLeftAndGoesOnIsUsedAgain(t *testing.T) {
	s := newBusyServer(t)
	s.step(ServerLeft{Incarnation: s.id})
	s.answerOutstanding()
	if reports := of[Report](s.take()); len(reports) > 0 {
		t.Errorf("reports %+v, want the run to go on", reports)
	}
	s.now += 100 * time.Millisecond
	s.step(s.nextReport())
	if !s.inUse() {
		t.Errorf("room %+v after the next report of the server, want it in use", s.core.Room())
	}
	if r := s.runUntilLost(true); !ServerWentDown(r.Reason) {
		t.Errorf("report %+v after the server has crashed, want one that says so", r)
	}
}

// A server that is back with an earlier start, since the time of day jumped, was ignored for
// good.
func TestARestartWithAnEarlierStartIsNoticed(t *testing.T) {
	for _, id := range []string{"server", "other"} {
		s := newRealServer(t)
		s.stepAnswered(s.nextReport())
		s.now += time.Second
		s.restartEarlier(id)
		s.now += 20 * time.Millisecond
		s.stepAnswered(s.nextReport())
		if !s.inUse() {
			t.Errorf("ID %s: room %+v, want the server in use as the incarnation that it is", id, s.core.Room())
		}
	}
}

// The agent took the clock of a suspended VM's server for as far ahead as the time that the
// suspension took, and asked for leases that were longer by that.
func TestTheServersClockIsCorrectedAfterASuspension(t *testing.T) {
	s := newRealServer(t)
	s.stepAnswered(s.nextReport())
	s.step(EntryHeartbeat{Entry: entryA, AsOf: s.now})
	s.now += 3 * time.Second
	s.startedAt += 3 * time.Second // the server's clock stood still
	s.step(HoldFailed{Call: s.core.holds.longPoll})
	s.now += holdRetryDelay
	s.step(EntryHeartbeat{Entry: entryA, AsOf: s.now})
	s.answerOutstanding()
	s.take()
	s.step(offer(0))
	starts := of[CallStart](s.take())
	if len(starts) != 1 {
		t.Fatalf("%d starts after the suspension, want 1", len(starts))
	}
	if lease := starts[0].Expiry - s.clock(); lease > s.core.cfg.Terms.Server {
		t.Errorf("a lease of %v is asked for after the suspension, want %v", lease, s.core.cfg.Terms.Server)
	}
}

// After a pause the first starts and lease calls used the clock from before it. They may extend
// the lease by the time of a suspension, up to the longest that servers grant.
func TestNothingIsStartedOrRenewedOnAClockFromBeforeAPause(t *testing.T) {
	s := newBusyServer(t)
	s.take()
	s.now += s.core.cfg.Terms.Margin() + time.Millisecond
	s.step(EntryHeartbeat{Entry: entryA, AsOf: s.now})
	s.step(offer(1))
	out := s.take()
	if n := len(of[CallStart](out)); n > 0 {
		t.Errorf("%d tasks start before the server was heard", n)
	}
	calls := of[CallHold](out)
	if len(calls) == 0 || calls[len(calls)-1].Wait > 0 {
		t.Errorf("lease calls %+v after the pause, want one that is answered at once", calls)
	}
	for _, call := range calls {
		if call.Expiry > 0 {
			t.Errorf("a lease is asked for until %v before the server was heard", call.Expiry)
		}
	}
	s.answerOutstanding()
	if n := len(of[CallStart](s.take())); n != 1 {
		t.Errorf("%d tasks start once the server was heard, want 1", n)
	}
}

// A server that has seen a high fencing token, such as from an agent that believed a report of
// another writer, refused the calls of the next agent for good: its token rose by 1 each time.
func TestTheFencingTokenRisesAboveAnyThatTheServerHasSeen(t *testing.T) {
	for _, seen := range []int64{serverStartMs + 70_000, 1 << 43, maxFence} {
		s := newRealServer(t)
		s.do(s.nextReport())
		if n := s.refuseFencesBelow(seen, 54); n == 54 {
			t.Errorf("token %d isn't reached with 54 calls", seen)
		}
	}
}

// answerOutstanding answers all outstanding lease calls with the runs that the core has started.
func (s *realServer) answerOutstanding() {
	var running []RunningRun
	for _, t := range s.core.held {
		if t.phase != phaseQueued {
			running = append(running, RunningRun{Run: t.run})
		}
	}
	for _, call := range []uint64{s.core.holds.longPoll, s.core.holds.shortPoll} {
		if call != 0 {
			s.step(HoldAnswered{Call: call, Stamp: Stamp{StartUnixMs: s.startMs, Clock: s.clock()}, Running: running})
		}
	}
}
