package runner

import (
	"testing"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/telemetry"
)

// newIdleRunner returns an agent whose event loop doesn't run, with a session of one entry.
func newIdleRunner(t testing.TB) (*Runner, *entrySession) {
	t.Helper()
	terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	r := New(Config{Self: "agent", Domain: "d", Terms: terms, Backend: &instantServer{began: time.Now()}, Log: telemetry.Discard()})
	r.baseCtx = t.Context()
	s := &entrySession{entry: "e", hello: &linkpb.Hello{Entry: "e"}, out: make(chan *linkpb.FromAgent, outQueueSize), closed: make(chan struct{})}
	r.handle(attachEvent{s})
	return r, s
}

// The first heartbeat after a freeze of the entry returns a time from before it, which renews
// nothing. It was acknowledged all the same, so that the entry offered tasks to an agent that
// refused them all (review/2).
func TestAHeartbeatThatRenewsNothingIsNotAcknowledged(t *testing.T) {
	r, s := newIdleRunner(t)
	acknowledged := func(number uint64, age time.Duration) uint64 {
		asOf := max(clock.Now()-age, time.Millisecond)
		r.handle(messageEvent{s, &linkpb.ToAgent{Heartbeat: &linkpb.Heartbeat{Number: number, AgentClockMs: asOf.Milliseconds()}}})
		r.flush()
		for m := range s.out {
			if len(s.out) == 0 {
				return m.GetHeartbeat()
			}
		}
		return 0
	}
	stale := 2 * r.cfg.Terms.Entry
	if got := acknowledged(1, stale); got != 0 {
		t.Errorf("heartbeat %d is acknowledged although it is %v old and the lease %v", got, stale, r.cfg.Terms.Entry)
	}
	if got := acknowledged(2, 0); got != 2 {
		t.Errorf("heartbeat %d is acknowledged, want 2, which renews the lease", got)
	}
}
