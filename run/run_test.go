package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/work"
)

const (
	entryA = "entry-a"
	entryB = "entry-b"
)

// harness feeds events to a core and collects its actions.
type harness struct {
	t    *testing.T
	core *Core
	now  time.Duration
	out  []Action
	// startMs is when the server's incarnation started that answers now.
	startMs int64
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t: t, core: New(Config{Terms: terms, QueueLimit: 16, StallAfter: 400 * time.Millisecond, ReportInterval: 1500 * time.Millisecond, BackfillAfter: 100 * time.Millisecond})}
}

func (h *harness) step(e Event) []Action {
	actions := h.core.Step(h.now, e)
	h.out = append(h.out, actions...)
	return actions
}

// take returns the actions since the last call.
func (h *harness) take() []Action {
	out := h.out
	h.out = nil
	return out
}

func of[A Action](actions []Action) []A {
	var list []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			list = append(list, x)
		}
	}
	return list
}

const serverStartMs = 1_000_000

func report(startUnixMs int64, sequence int64, clock time.Duration) ServerReported {
	return ServerReported{
		Server:      work.Server{Incarnation: "server", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 1000}},
		StartUnixMs: startUnixMs, Sequence: sequence, Clock: clock,
	}
}

// useServer makes the core use a server with capacity for four tasks.
func (h *harness) useServer() {
	h.t.Helper()
	h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
	h.startMs = serverStartMs
	h.step(report(serverStartMs, 1, 0))
	h.answerHold(nil, nil)
	if h.core.Room().Server.Incarnation == "" {
		h.t.Fatal("the server is not in use")
	}
	h.take()
}

// answerHold answers the outstanding short poll, or else the long poll. The server's
// clock equals the time of the harness. The lists are those of the incarnation that runs.
func (h *harness) answerHold(running []RunningRun, ended []EndedRun) []Action {
	h.t.Helper()
	call := h.core.holds.shortPoll
	if call == 0 {
		call = h.core.holds.longPoll
	}
	return h.step(HoldAnswered{Call: call, Stamp: Stamp{StartUnixMs: h.startMs, Clock: h.now}, Running: running, Ended: ended})
}

func runOf(index int, id work.RunID) work.Run {
	return work.Run{Task: work.Task{Job: "job", Index: index}, ID: id}
}

func offer(index int) Offered {
	return Offered{Entry: entryA, Run: runOf(index, 1), Service: "s", Demand: work.Demand{CPUMilli: 1000, MemoryMB: 64}}
}

func (h *harness) started(index int) {
	h.step(StartAnswered{Run: runOf(index, 1), Reply: Started})
}

func TestCapacityIsNeverExceeded(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i := range 6 {
		h.step(offer(i))
	}
	if n := len(of[CallStart](h.take())); n != 4 {
		t.Fatalf("%d tasks start, want 4, the capacity", n)
	}
	for i := range 4 {
		h.started(i)
	}
	// A run that is being stopped counts as used until its end is listed.
	h.step(StopRequested{Entry: entryA, Run: runOf(0, 1)})
	h.step(StopAnswered{Run: runOf(0, 1), Answered: true})
	if n := len(of[CallStart](h.take())); n != 0 {
		t.Fatalf("%d tasks start while a run that is being stopped takes their capacity", n)
	}
	h.answerHold(nil, []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndStopped}})
	if n := len(of[CallStart](h.take())); n == 0 {
		t.Fatal("no task starts though capacity is free")
	}
}

// A negative demand would make room for tasks that don't fit.
func TestANegativeDemandIsNotStarted(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.take()
	h.step(Offered{Entry: entryA, Run: work.Run{Task: work.Task{Job: "j"}, ID: 1}, Service: "s", Demand: work.Demand{CPUMilli: -4000}})
	actions := h.take()
	if n := len(of[CallStart](actions)); n != 0 {
		t.Errorf("%d runs started, want none", n)
	}
	if reports := of[Report](actions); len(reports) != 1 || reports[0].Outcome != work.NotStarted {
		t.Errorf("reports %+v, want one run that wasn't started", reports)
	}
}

func TestNothingStartsOnADrainingServer(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i := range 5 {
		h.step(offer(i)) // the fifth waits
	}
	h.take()
	e := report(serverStartMs, 2, 0)
	e.Server.Draining = true
	h.step(e)
	h.step(offer(7))
	out := h.take()
	if n := len(of[CallStart](out)); n != 0 {
		t.Fatalf("%d tasks start on a draining server", n)
	}
	if n := len(of[Report](out)); n != 2 {
		t.Fatalf("%d tasks are returned, want 2: the waiting one and the new one", n)
	}
	// A delayed duplicate of an earlier report doesn't end the draining.
	h.step(report(serverStartMs, 1, 0))
	h.step(offer(8))
	if n := len(of[CallStart](h.take())); n != 0 {
		t.Fatal("an old report ends the draining of a server")
	}
}

func TestNothingStartsInAWithdrawnDomain(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(DomainWithdrawn{Withdrawn: true})
	h.step(offer(0))
	out := h.take()
	if len(of[CallStart](out)) != 0 || len(of[Report](out)) != 1 {
		t.Fatalf("a task offered in a withdrawn domain leads to %+v, want only a report", out)
	}
	h.step(DomainWithdrawn{Withdrawn: false})
	h.step(offer(0))
	if len(of[CallStart](h.take())) != 1 {
		t.Fatal("no task starts after the domain was restored")
	}
}

// A start without an answer may be carried out later. It is reported as not started
// only once the run was stopped on the server and isn't listed.
func TestUnansweredStartIsStoppedBeforeItIsReported(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.step(StartAnswered{Run: runOf(0, 1), Reply: NoAnswer})
	if len(of[Report](h.take())) != 0 {
		t.Fatal("an unanswered start is reported at once")
	}
	h.answerHold(nil, nil) // not listed, but the server may still carry it out
	out := h.take()
	if len(of[Report](out)) != 0 {
		t.Fatal("an unanswered start is reported before it was stopped")
	}
	if len(of[CallStop](out)) != 1 {
		t.Fatal("an unanswered start that isn't listed is not stopped")
	}
	h.step(StopAnswered{Run: runOf(0, 1), Answered: true})
	h.answerHold(nil, nil)
	reports := of[Report](h.take())
	if len(reports) != 1 || reports[0].Outcome != work.NotStarted {
		t.Fatalf("reports %+v, want one with outcome not started", reports)
	}
}

// If only the answer to a start was lost, the listed run is kept.
func TestALostAnswerKeepsTheRun(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.step(StartAnswered{Run: runOf(0, 1), Reply: NoAnswer})
	h.answerHold([]RunningRun{{Run: runOf(0, 1), Percent: 5}}, nil)
	if len(of[CallStop](h.take())) != 0 {
		t.Fatal("a run whose answer was lost is stopped")
	}
	h.answerHold(nil, []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndDone}})
	reports := of[Report](h.take())
	if len(reports) != 1 || reports[0].Outcome != work.Done {
		t.Fatalf("reports %+v, want one with outcome done", reports)
	}
}

func TestRunsOfASilentEntryAreStopped(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	h.take()
	h.now += h.core.cfg.Terms.Entry
	h.step(Tick{})
	if len(of[CallStop](h.take())) != 0 {
		t.Fatal("a run is stopped within its entry's lease")
	}
	h.now += time.Millisecond
	h.step(Tick{})
	if len(of[CallStop](h.take())) != 1 {
		t.Fatal("a run goes on though its entry's lease has expired")
	}
}

// A stop without an answer is sent again after stopRetryInterval.
func TestAStopIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	h.step(StopRequested{Entry: entryA, Run: runOf(0, 1)})
	h.step(StopAnswered{Run: runOf(0, 1)})
	h.take()
	h.now += stopRetryInterval
	h.step(Tick{})
	if len(of[CallStop](h.take())) != 1 {
		t.Fatal("an unanswered stop is not repeated")
	}
}

// A new agent stops the runs that an earlier one has left before it starts tasks.
func TestANewAgentClearsItsServer(t *testing.T) {
	h := newHarness(t)
	h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
	h.startMs = serverStartMs
	h.step(report(serverStartMs, 9, 5*time.Second))
	stray := runOf(3, 1)
	h.answerHold([]RunningRun{{Run: stray}}, nil)
	h.step(offer(0))
	out := h.take()
	if len(of[CallStart](out)) != 0 {
		t.Fatal("a task starts beside a run of an earlier agent")
	}
	if stops := of[CallStop](out); len(stops) == 0 || stops[0].Run != stray {
		t.Fatalf("stops %+v, want one of %v first", stops, stray)
	}
	h.answerHold(nil, []EndedRun{{Number: 1, Run: stray, How: EndStopped}})
	h.step(offer(1))
	if len(of[CallStart](h.take())) != 1 {
		t.Fatal("no task starts after the earlier agent's run has ended")
	}
}

// Fencing tokens rise over incarnations of the agent and of the server.
func TestFencingTokensRise(t *testing.T) {
	token := func(e ServerReported) int64 {
		h := newHarness(t)
		h.step(e)
		return of[CallHold](h.take())[0].Fence
	}
	first := token(report(serverStartMs, 1, 2*time.Second))
	laterAgent := token(report(serverStartMs, 2, 3*time.Second))
	restartedServer := token(report(serverStartMs+60_000, 1, 0))
	if first >= laterAgent || laterAgent >= restartedServer {
		t.Errorf("tokens %d, %d, %d do not rise", first, laterAgent, restartedServer)
	}
}

// An end that is listed twice is reported once.
func TestAnEndCountsOnce(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	end := []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndFailed}}
	h.answerHold(nil, end)
	h.step(offer(0)) // offered again under the same run ID, by a fault of the entry
	h.answerHold(nil, end)
	if n := len(of[Report](h.take())); n != 1 {
		t.Fatalf("%d reports of one end, want 1", n)
	}
}

func TestUrgentTasksStartFirst(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i := range 4 {
		h.step(offer(i))
		h.started(i)
	}
	late := offer(4)
	late.Priority = 2
	urgent := offer(5)
	urgent.Priority = 0
	h.step(late)
	h.step(urgent)
	h.take()
	h.answerHold([]RunningRun{{Run: runOf(1, 1)}, {Run: runOf(2, 1)}, {Run: runOf(3, 1)}}, []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndDone}})
	starts := of[CallStart](h.take())
	if len(starts) != 1 || starts[0].Run != urgent.Run {
		t.Fatalf("starts %+v, want the urgent one", starts)
	}
}

// While a long poll is overdue, a short poll is sent beside it, so that ends become known.
func TestAnOverdueCallGetsAnother(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	h.take()
	h.now = h.core.holds.longPollAt + h.core.holds.longPollWait + overdueAfter + time.Millisecond
	h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
	if len(of[CallHold](h.take())) != 1 {
		t.Fatal("no short poll is sent while the long poll is overdue")
	}
}

// A run that makes no progress is reported as stalled, once.
func TestAStalledRunIsReported(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	running := []RunningRun{{Run: runOf(0, 1), Percent: 3}}
	h.answerHold(running, nil)
	for range 6 {
		h.now += 150 * time.Millisecond
		h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
		h.answerHold(running, nil)
	}
	if n := len(of[ReportStalled](h.take())); n != 1 {
		t.Fatalf("%d reports of one stalled run, want 1", n)
	}
}

// A late heartbeat renews the lease only from the agent's message that it answers.
func TestALateHeartbeatDoesNotRenewTheLease(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	asOf := h.now
	h.now += h.core.cfg.Terms.Entry
	h.step(EntryHeartbeat{Entry: entryA, AsOf: asOf})
	h.take()
	h.now += time.Millisecond
	h.step(Tick{})
	if len(of[CallStop](h.take())) != 1 {
		t.Fatal("the run goes on though its entry has processed no message of the agent within the lease")
	}
}

// A heartbeat with a clock value ahead of the agent's own renews nothing.
func TestAHeartbeatFromTheFutureIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	h.take()
	h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now + time.Hour})
	h.now += h.core.cfg.Terms.Entry + time.Millisecond
	h.step(Tick{})
	if len(of[CallStop](h.take())) != 1 {
		t.Fatal("the run goes on under a lease that begins in the future")
	}
}

// An offer that the network held up, with the heartbeats before it, starts nothing: neither when it
// arrives nor once its entry has a lease again.
func TestAnOfferThatWasHeldUpStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	sent := h.now
	for range 20 {
		h.now += 100 * time.Millisecond
		h.step(Tick{})
		h.answerHold(nil, nil)
	}
	h.step(EntryHeartbeat{Entry: entryA, AsOf: sent})
	h.step(offer(0))
	h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
	h.step(Tick{})
	actions := h.take()
	if n := len(of[CallStart](actions)); n != 0 {
		t.Errorf("%d starts by an offer that is two seconds old", n)
	}
	if reports := of[Report](actions); len(reports) != 1 || reports[0].Outcome != work.NotStarted {
		t.Errorf("reports %+v, want that the offer wasn't started", reports)
	}
}
