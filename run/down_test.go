package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// runUntilLost lets the lease calls fail until the core has reported a run as lost, and
// returns the report.
func (h *harness) runUntilLost(refused bool) Report {
	h.t.Helper()
	for range 200 {
		h.now += 10 * time.Millisecond
		h.step(EntryHeartbeat{Entry: entryA, AsOf: h.now})
		for _, call := range []uint64{h.core.holds.longPoll, h.core.holds.shortPoll} {
			if call != 0 {
				h.step(HoldFailed{Call: call, ConnectionRefused: refused})
			}
		}
		for _, r := range of[Report](h.take()) {
			if r.Outcome == work.Lost {
				return r
			}
		}
	}
	h.t.Fatal("no run is reported as lost")
	return Report{}
}

func startOneRun(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.started(0)
	h.take()
	return h
}

// Before, both ended as "lease lapsed", and nobody could tell that the run had taken its
// server down.
func TestARunThatWentDownWithItsServerIsToldFromOneThatWasCutOff(t *testing.T) {
	down := startOneRun(t).runUntilLost(true)
	if !ServerWentDown(down.Reason) || down.Server != "server" {
		t.Errorf("report %+v of a run whose server refuses connections doesn't say that the server went down", down)
	}
	cut := startOneRun(t).runUntilLost(false)
	if ServerWentDown(cut.Reason) {
		t.Errorf("report %+v of a run whose server doesn't answer says that the server went down", cut)
	}
}

func TestARunOfAnIncarnationThatIsReplacedWentDownWithIt(t *testing.T) {
	h := startOneRun(t)
	h.now += 50 * time.Millisecond
	h.restart(report(serverStartMs+60_000, 1, 0))
	h.answerHold(nil, nil)
	reports := of[Report](h.take())
	if len(reports) != 1 || reports[0].Outcome != work.Lost || !ServerWentDown(reports[0].Reason) {
		t.Fatalf("reports %+v, want one of a run that went down with its server", reports)
	}
}

// A server that leaves, or drained before it was gone, has not crashed.
func TestAPlannedEndOfAServerIsNoCrash(t *testing.T) {
	h := startOneRun(t)
	h.step(ServerLeft{Incarnation: "server"})
	for _, call := range []uint64{h.core.holds.shortPoll, h.core.holds.longPoll} {
		h.step(HoldFailed{Call: call, ConnectionRefused: true})
	}
	h.startMs = serverStartMs + 60_000
	h.step(report(serverStartMs+60_000, 1, 0))
	h.answerHold(nil, nil)
	reports := of[Report](h.take())
	if len(reports) != 1 || ServerWentDown(reports[0].Reason) {
		t.Errorf("reports %+v after the server has left, want one that names no crash", reports)
	}
	h = startOneRun(t)
	draining := report(serverStartMs, 2, 0)
	draining.Server.Draining = true
	h.step(draining)
	if r := h.runUntilLost(true); ServerWentDown(r.Reason) {
		t.Errorf("report %+v after a drained server has ended names a crash", r)
	}
}

// Nothing was sent to a server that refuses the connection, so the run can't have taken
// it down.
func TestAStartThatWasRefusedAConnectionNeverRan(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	h.step(offer(0))
	h.step(StartAnswered{Run: runOf(0, 1), Reply: RefusedConnection})
	reports := of[Report](h.take())
	if len(reports) != 1 || reports[0].Outcome != work.NotStarted {
		t.Fatalf("reports %+v, want one with outcome not started", reports)
	}
}
