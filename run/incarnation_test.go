package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// restart makes the stand-in of the server another incarnation, and sends its report.
func (h *harness) restart(startUnixMs int64, sequence int64, clock time.Duration) {
	h.t.Helper()
	h.step(report(startUnixMs, sequence, clock))
}

// An offer that an entry sent before it knew of the server's restart was taken, and its task
// started on a server of another kind (review/4).
func TestAnOfferForAnotherIncarnationIsRefused(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	former := h.core.Room().Server.Incarnation
	h.now += 20 * time.Millisecond
	h.restart(serverStartMs+20, 1, 0)
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
