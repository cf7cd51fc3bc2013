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

// bench drives a core by hand.
type bench struct {
	t    *testing.T
	core *Core
	now  time.Duration
	out  []Action
}

func newBench(t *testing.T) *bench {
	t.Helper()
	terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return &bench{t: t, core: New(Config{Terms: terms, QueueLimit: 16, StallAfter: 400 * time.Millisecond, BackfillAfter: 100 * time.Millisecond})}
}

func (b *bench) step(e Event) []Action {
	actions := b.core.Step(b.now, e)
	b.out = append(b.out, actions...)
	return actions
}

// take returns the actions since the last call.
func (b *bench) take() []Action {
	out := b.out
	b.out = nil
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

const born = 1_000_000

func report(born int64, sequence int64, clock time.Duration) ServerReported {
	return ServerReported{
		Server: work.Server{Incarnation: "server", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 1000}},
		Born:   born, Sequence: sequence, Clock: clock,
	}
}

// open takes a server with room for four tasks into use.
func (b *bench) open() {
	b.t.Helper()
	b.step(EntryHeard{Entry: entryA, AsOf: b.now})
	b.step(report(born, 1, 0))
	b.answerHold(nil, nil)
	if b.core.Room().Server.Incarnation == "" {
		b.t.Fatal("the server isn't in use")
	}
	b.take()
}

// answerHold answers the newest call for ends that is out, at the server's clock that is equal
// to the time of the bench.
func (b *bench) answerHold(running []RunningRun, ended []EndedRun) []Action {
	b.t.Helper()
	call := b.core.holds.look
	if call == 0 {
		call = b.core.holds.long
	}
	return b.step(HoldAnswered{Call: call, Stamp: Stamp{Born: b.core.server.report.Born, Clock: b.now}, Running: running, Ended: ended})
}

func runOf(index int, id work.RunID) work.Run {
	return work.Run{Task: work.Task{Job: "job", Index: index}, ID: id}
}

func offer(index int) Offered {
	return Offered{Entry: entryA, Run: runOf(index, 1), Service: "s", Demand: work.Demand{CPUMilli: 1000, MemoryMB: 64}}
}

func (b *bench) started(index int) {
	b.step(StartAnswered{Run: runOf(index, 1), Reply: Started})
}

func TestRoomIsNeverOverrun(t *testing.T) {
	b := newBench(t)
	b.open()
	for i := range 6 {
		b.step(offer(i))
	}
	if n := len(of[CallStart](b.take())); n != 4 {
		t.Fatalf("%d tasks start, there is room for 4", n)
	}
	for i := range 4 {
		b.started(i)
	}
	// What is being stopped still takes its room, until its end is listed.
	b.step(StopAsked{Entry: entryA, Run: runOf(0, 1)})
	b.step(StopAnswered{Run: runOf(0, 1), Answered: true})
	if n := len(of[CallStart](b.take())); n != 0 {
		t.Fatalf("%d tasks start beside one that is being stopped", n)
	}
	b.answerHold(nil, []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndStopped}})
	if n := len(of[CallStart](b.take())); n == 0 {
		t.Fatal("nothing starts though room is free")
	}
}

func TestNothingStartsOnADrainingServer(t *testing.T) {
	b := newBench(t)
	b.open()
	for i := range 5 {
		b.step(offer(i)) // the fifth waits
	}
	b.take()
	e := report(born, 2, 0)
	e.Server.Draining = true
	b.step(e)
	b.step(offer(7))
	out := b.take()
	if n := len(of[CallStart](out)); n != 0 {
		t.Fatalf("%d tasks start on a draining server", n)
	}
	if n := len(of[Report](out)); n != 2 {
		t.Fatalf("%d tasks are returned, want the waiting one and the new one", n)
	}
	// A late copy of an earlier report doesn't bring it back.
	b.step(report(born, 1, 0))
	b.step(offer(8))
	if n := len(of[CallStart](b.take())); n != 0 {
		t.Fatal("an old report takes a draining server back into use")
	}
}

func TestNothingStartsInAWithdrawnDomain(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(DomainWithdrawn{Withdrawn: true})
	b.step(offer(0))
	out := b.take()
	if len(of[CallStart](out)) != 0 || len(of[Report](out)) != 1 {
		t.Fatalf("a task offered in a withdrawn domain leads to %+v", out)
	}
	b.step(DomainWithdrawn{Withdrawn: false})
	b.step(offer(0))
	if len(of[CallStart](b.take())) != 1 {
		t.Fatal("nothing starts after the domain came back")
	}
}

// A start without an answer may be carried out later. It is reported as not started
// only once it was stopped there and isn't listed.
func TestAnUnansweredStartIsInDoubt(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.step(StartAnswered{Run: runOf(0, 1), Reply: NoAnswer})
	if len(of[Report](b.take())) != 0 {
		t.Fatal("an unanswered start is reported at once")
	}
	b.answerHold(nil, nil) // not listed: it may still come
	out := b.take()
	if len(of[Report](out)) != 0 {
		t.Fatal("an unanswered start is reported before it was stopped")
	}
	if len(of[CallStop](out)) != 1 {
		t.Fatal("an unanswered start that isn't listed is not stopped")
	}
	b.step(StopAnswered{Run: runOf(0, 1), Answered: true})
	b.answerHold(nil, nil)
	reports := of[Report](b.take())
	if len(reports) != 1 || reports[0].Outcome != work.NotStarted {
		t.Fatalf("reports %+v, want one of a run that never started", reports)
	}
}

// If only the answer was lost, the run is found and kept.
func TestALostAnswerKeepsTheRun(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.step(StartAnswered{Run: runOf(0, 1), Reply: NoAnswer})
	b.answerHold([]RunningRun{{Run: runOf(0, 1), Percent: 5}}, nil)
	if len(of[CallStop](b.take())) != 0 {
		t.Fatal("a run whose answer was lost is stopped")
	}
	b.answerHold(nil, []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndDone}})
	reports := of[Report](b.take())
	if len(reports) != 1 || reports[0].Outcome != work.Done {
		t.Fatalf("reports %+v, want the end", reports)
	}
}

func TestRunsOfASilentEntryAreStopped(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.started(0)
	b.take()
	b.now += b.core.cfg.Terms.Entry
	b.step(Tick{})
	if len(of[CallStop](b.take())) != 0 {
		t.Fatal("a run is stopped within its entry's lease")
	}
	b.now += time.Millisecond
	b.step(Tick{})
	if len(of[CallStop](b.take())) != 1 {
		t.Fatal("a run goes on though its entry's lease is over")
	}
}

// A stop is repeated until it is answered.
func TestAStopIsRepeated(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.started(0)
	b.step(StopAsked{Entry: entryA, Run: runOf(0, 1)})
	b.step(StopAnswered{Run: runOf(0, 1)})
	b.take()
	b.now += stopRepeat
	b.step(Tick{})
	if len(of[CallStop](b.take())) != 1 {
		t.Fatal("an unanswered stop is not repeated")
	}
}

// A new agent ends what an earlier one has left before it takes work.
func TestANewAgentClearsItsServer(t *testing.T) {
	b := newBench(t)
	b.step(EntryHeard{Entry: entryA, AsOf: b.now})
	b.step(report(born, 9, 5*time.Second))
	stray := runOf(3, 1)
	b.answerHold([]RunningRun{{Run: stray}}, nil)
	b.step(offer(0))
	out := b.take()
	if len(of[CallStart](out)) != 0 {
		t.Fatal("a task starts beside a run of an earlier agent")
	}
	if stops := of[CallStop](out); len(stops) == 0 || stops[0].Run != stray {
		t.Fatalf("stops %+v, want that of %v", stops, stray)
	}
	b.answerHold(nil, []EndedRun{{Number: 1, Run: stray, How: EndStopped}})
	b.step(offer(1))
	if len(of[CallStart](b.take())) != 1 {
		t.Fatal("no task starts after the server was cleared")
	}
}

// Fencing tokens rise over lives of the agent and of the server.
func TestFencingTokensRise(t *testing.T) {
	token := func(e ServerReported) int64 {
		b := newBench(t)
		b.step(e)
		return of[CallHold](b.take())[0].Fence
	}
	first := token(report(born, 1, 2*time.Second))
	laterAgent := token(report(born, 2, 3*time.Second))
	rebornServer := token(report(born+60_000, 1, 0))
	if first >= laterAgent || laterAgent >= rebornServer {
		t.Errorf("tokens %d, %d, %d do not rise", first, laterAgent, rebornServer)
	}
}

// An end that is listed twice is taken note of once.
func TestAnEndCountsOnce(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.started(0)
	end := []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndFailed}}
	b.answerHold(nil, end)
	b.step(offer(0)) // the entry tries again with the same number, by mistake
	b.answerHold(nil, end)
	if n := len(of[Report](b.take())); n != 1 {
		t.Fatalf("%d reports of one end", n)
	}
}

func TestUrgentTasksStartFirst(t *testing.T) {
	b := newBench(t)
	b.open()
	for i := range 4 {
		b.step(offer(i))
		b.started(i)
	}
	late := offer(4)
	late.Priority = 2
	urgent := offer(5)
	urgent.Priority = 0
	b.step(late)
	b.step(urgent)
	b.take()
	b.answerHold([]RunningRun{{Run: runOf(1, 1)}, {Run: runOf(2, 1)}, {Run: runOf(3, 1)}}, []EndedRun{{Number: 1, Run: runOf(0, 1), How: EndDone}})
	starts := of[CallStart](b.take())
	if len(starts) != 1 || starts[0].Run != urgent.Run {
		t.Fatalf("starts %+v, want the urgent one", starts)
	}
}

// A call that is overdue gets another one beside it, so that ends are learnt.
func TestAnOverdueCallGetsAnother(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.started(0)
	b.take()
	b.now = b.core.holds.longAt + b.core.holds.longWait + overdueAfter + time.Millisecond
	b.step(EntryHeard{Entry: entryA, AsOf: b.now})
	if len(of[CallHold](b.take())) != 1 {
		t.Fatal("nothing asks for ends while a call is overdue")
	}
}

// A run that shows no progress is reported, once.
func TestAStalledRunIsReported(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.started(0)
	running := []RunningRun{{Run: runOf(0, 1), Percent: 3}}
	b.answerHold(running, nil)
	for range 6 {
		b.now += 150 * time.Millisecond
		b.step(EntryHeard{Entry: entryA, AsOf: b.now})
		b.answerHold(running, nil)
	}
	if n := len(of[ReportStalled](b.take())); n != 1 {
		t.Fatalf("%d reports of one stalled run", n)
	}
}

// A heartbeat that arrives late renews the lease only from the word that it answers.
func TestALateHeartbeatDoesNotRenewTheLease(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.started(0)
	asOf := b.now
	b.now += b.core.cfg.Terms.Entry
	b.step(EntryHeard{Entry: entryA, AsOf: asOf})
	b.take()
	b.now += time.Millisecond
	b.step(Tick{})
	if len(of[CallStop](b.take())) != 1 {
		t.Fatal("the run goes on though its entry has taken no word of the agent for the lease")
	}
}

// A clock that this agent can't have sent renews nothing.
func TestAHeartbeatFromTheFutureIsIgnored(t *testing.T) {
	b := newBench(t)
	b.open()
	b.step(offer(0))
	b.started(0)
	b.take()
	b.step(EntryHeard{Entry: entryA, AsOf: b.now + time.Hour})
	b.now += b.core.cfg.Terms.Entry + time.Millisecond
	b.step(Tick{})
	if len(of[CallStop](b.take())) != 1 {
		t.Fatal("the run goes on under a lease from the future")
	}
}
