package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// cutTransport reaches no entry at the addresses in cut.
type cutTransport struct {
	whole http.RoundTripper
	cut   atomic.Pointer[[]string]
}

func (c *cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if cut := c.cut.Load(); cut != nil && slices.Contains(*cut, r.URL.Host) {
		<-r.Context().Done()
		return nil, errors.New("cut")
	}
	return c.whole.RoundTrip(r)
}

// testEntry is an entry with an agent that runs nothing by itself.
type testEntry struct {
	*Dispatcher
	network *cutTransport
}

const testAgent = ident.Incarnation("agent")

// newEntries returns entries that know each other, each in a failure domain of its own.
func newEntries(t testing.TB, n int) []*testEntry {
	t.Helper()
	terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	var entries []*testEntry
	for i := range n {
		mux := http.NewServeMux()
		server := httptest.NewUnstartedServer(nil)
		server.Config = rpc.NewServer(mux)
		server.Start()
		t.Cleanup(server.Close)
		name := fmt.Sprint("entry-", i)
		d := New(Config{
			Self: directory.Member{
				Role: directory.RoleEntry, Address: strings.TrimPrefix(server.URL, "http://"),
				Incarnation: ident.Incarnation(name), Domain: ident.FailureDomain(name),
			},
			Terms: terms, Log: telemetry.Discard(),
		})
		mux.Handle(linkpbconnect.NewEntryPeerHandler(Peer{Dispatcher: d}, rpc.HandlerOptions()))
		network := &cutTransport{whole: d.links.peerClient.Transport}
		d.links.peerClient.Transport, d.links.claimCalls.Transport = network, network
		d.base = t.Context()
		go d.run(d.base)
		d.listedMembers.Store(true)
		go d.watchCancels(d.base)
		entries = append(entries, &testEntry{d, network})
	}
	for _, e := range entries {
		for _, other := range entries {
			if other != e {
				e.links.addMember(other.cfg.Self)
			}
		}
		e.enqueue(schedule.AgentAttached{Agent: testAgent, Address: "agent", RequestedAt: clock.Now()})
		go e.keepAgent(t.Context())
	}
	return entries
}

// keepAgent makes the agent answer all heartbeats until the context ends.
func (e *testEntry) keepAgent(ctx context.Context) {
	for {
		e.enqueue(schedule.AgentMessageReceived{Agent: testAgent, AckedHeartbeatSentAt: clock.Now()})
		e.enqueue(schedule.AgentRoomReported{Agent: testAgent, Server: work.Server{Incarnation: "server", Service: "s", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}}, LastOfferIncluded: math.MaxUint64})
		if !pause.For(ctx, e.cfg.Terms.HeartbeatInterval/2) {
			return
		}
	}
}

// submit submits a job of one task and returns the channel of its answer.
func (e *testEntry) submit(ctx context.Context, id work.JobID) chan schedule.Answer {
	answer := make(chan schedule.Answer, 1)
	job := schedule.Job{
		ID: id, Route: operator.Route{Name: "r", Service: "s", Attempts: 1, Stretch: 1.6, TargetLatency: testPatience},
		Steps: []schedule.Step{{Count: 1, Demand: work.Demand{CPUMilli: 1000, MemoryMB: 10}, Estimate: time.Second}},
	}
	go func() { answer <- e.Submit(ctx, job, testPatience) }()
	return answer
}

// testPatience is how long callers wait. Only a failing test waits as long.
const testPatience = 10 * time.Second

// await waits until the core has the job, or fails the test.
func (e *testEntry) await(t *testing.T, id work.JobID) {
	t.Helper()
	for began := time.Now(); !e.HasJob(id); time.Sleep(time.Millisecond) {
		if time.Since(began) > testPatience {
			t.Fatalf("job %s isn't at %s", id, e.cfg.Self.Incarnation)
		}
	}
}

// awaitCallers waits until that many callers wait for a job's answer at this entry, or fails the test.
// A copy elsewhere is one of them once its entry follows this one.
func (e *testEntry) awaitCallers(t *testing.T, id work.JobID, want int) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		n := 0
		e.queryCore(func(*schedule.Core) { n = len(e.waiters[id]) })
		if n == want {
			return
		}
		if time.Since(began) > testPatience {
			t.Fatalf("%d callers wait for job %s at %s, want %d", n, id, e.cfg.Self.Incarnation, want)
		}
	}
}

// done ends the only task of a job.
func (e *testEntry) done(id work.JobID) {
	e.enqueue(schedule.RunEnded{Agent: testAgent, Run: work.Run{Task: work.Task{Job: id}, ID: 1}, Outcome: work.Done})
}

// A request that was recent when it was read was claimed in its entry's own register only, also when
// the entry had been paused since and claimed it again.
func TestARecentRequestIsClaimedElsewhereTheSecondTime(t *testing.T) {
	entries := newEntries(t, 5)
	const id = "0000000000000001"
	entries[0].submit(t.Context(), id)
	entries[0].await(t, id)
	unaware := 0 // entries whose own registers don't have the job
	for _, e := range entries[1:] {
		calls := &jobCalls{d: e.Dispatcher, job: id, until: clock.Now() + testPatience, recent: true}
		first, err := calls.Claim(t.Context(), e.claims.Another(), nil)
		if err != nil {
			t.Fatal(err)
		}
		if len(first) > 0 {
			continue // it is an arbiter of the job
		}
		unaware++
		if again, err := calls.Claim(t.Context(), e.claims.Another(), nil); err != nil || len(again) == 0 {
			t.Errorf("the second claim of %s names nobody (%v), want the holder", e.cfg.Self.Incarnation, err)
		}
	}
	if unaware == 0 {
		t.Error("all entries are arbiters of the job, want some that aren't")
	}
}

// Two entries that lost each other both ran a job that its caller had submitted to both. A third one
// that reaches both tells them of each other.
func TestEntriesThatLostEachOtherRunAJobOnce(t *testing.T) {
	entries := newEntries(t, 3)
	a, b := entries[0], entries[1]
	a.network.cut.Store(&[]string{b.cfg.Self.Address})
	b.network.cut.Store(&[]string{a.cfg.Self.Address})
	for i := range 6 {
		id := work.JobID(fmt.Sprint("job-", i))
		first := a.submit(t.Context(), id)
		a.await(t, id)
		second := b.submit(t.Context(), id)
		a.awaitCallers(t, id, 2)
		time.Sleep(3 * claimTimeout)
		if b.HasJob(id) {
			t.Errorf("%s runs at both entries", id)
		}
		a.done(id)
		for _, answer := range []chan schedule.Answer{first, second} {
			if got := <-answer; got.Verdict != schedule.Completed {
				t.Errorf("%s is answered %+v, want it completed", id, got)
			}
		}
	}
}

// The entry that follows another one runs the job itself when that one gives it up.
func TestAFollowerRunsAJobThatItsHolderGivesUp(t *testing.T) {
	entries := newEntries(t, 2)
	a, b := entries[0], entries[1]
	first := a.submit(t.Context(), "job")
	a.await(t, "job")
	second := b.submit(t.Context(), "job")
	time.Sleep(20 * time.Millisecond)
	a.enqueue(schedule.JobMoved{ID: "job"})
	if got := <-first; got.Verdict != schedule.Interrupted {
		t.Errorf("the first caller is answered %+v, want interrupted", got)
	}
	a.done("job") // the stopped run has ended
	b.await(t, "job")
	b.done("job")
	if got := <-second; got.Verdict != schedule.Completed {
		t.Errorf("the second caller is answered %+v, want completed", got)
	}
}

// A job may start elsewhere only once its last runs have ended, which takes a moment after its
// entry was told that its caller has left.
func TestACopyWaitsForTheEndOfTheLastRuns(t *testing.T) {
	entries := newEntries(t, 2)
	a, b := entries[0], entries[1]
	caller, leave := context.WithCancel(t.Context())
	first := a.submit(caller, "job")
	a.await(t, "job")
	leave()
	<-first
	second := b.submit(t.Context(), "job")
	time.Sleep(50 * time.Millisecond)
	if b.HasJob("job") {
		t.Error("the copy starts before the first run has ended")
	}
	a.done("job")
	b.await(t, "job")
	b.done("job")
	if got := <-second; got.Verdict != schedule.Completed {
		t.Errorf("the second caller is answered %+v, want completed", got)
	}
}

// An entry that was cut off while a job of its was cancelled learns of it from any other one when it is
// back, also if the entry that took the cancel isn't there to tell it any more (review/9).
func TestAnEntryThatWasCutOffLearnsOfCancels(t *testing.T) {
	entries := newEntries(t, 3)
	a, b, c := entries[0], entries[1], entries[2]
	answer := a.submit(t.Context(), "job")
	a.await(t, "job")
	a.network.cut.Store(&[]string{b.cfg.Self.Address, c.cfg.Self.Address})
	b.network.cut.Store(&[]string{a.cfg.Self.Address})
	call := func() { a.submit(t.Context(), "another job") }
	call()
	time.Sleep(missedCancelAfter + 2*claimTimeout)
	if !b.Cancel(t.Context(), "job") {
		t.Error("the cancel is answered as of an unknown job")
	}
	a.network.cut.Store(&[]string{b.cfg.Self.Address})
	a.links.checkPeers(t.Context(), clock.Now()+peerCheckInterval)
	if got := <-answer; got.Verdict != schedule.Dropped || got.Reason != "cancelled" {
		t.Errorf("the job is answered %+v, want cancelled", got)
	}
}

// A job whose entry is gone for good starts elsewhere once its runs must have ended.
func TestAJobOfAnEntryThatIsGoneStartsElsewhere(t *testing.T) {
	entries := newEntries(t, 3)
	a, b := entries[0], entries[1]
	a.submit(t.Context(), "job")
	a.await(t, "job")
	for _, e := range entries[1:] {
		e.network.cut.Store(&[]string{a.cfg.Self.Address})
	}
	lost := time.Now()
	b.submit(t.Context(), "job")
	b.await(t, "job")
	bound := b.cfg.Terms.MaxRunAfterEntryLoss()
	if took := time.Since(lost); took < bound || took > bound+4*claimTimeout {
		t.Errorf("the job starts %v after its entry was lost, want %v or little more", took, bound)
	}
}

// BenchmarkClaim measures the CPU time of the claim of one job at two other entries, at all ends
// together.
func BenchmarkClaim(b *testing.B) {
	entries := newEntries(b, 3)
	time.Sleep(50 * time.Millisecond)
	before := processorTime(b)
	for i := range b.N {
		id := work.JobID(fmt.Sprint("job-", i))
		calls := &jobCalls{d: entries[0].Dispatcher, job: id, until: clock.Now() + time.Second}
		if _, err := calls.Claim(b.Context(), entries[0].claims.Another(), nil); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// processorTime returns the CPU time of the process so far, user and system, in nanoseconds.
func processorTime(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
