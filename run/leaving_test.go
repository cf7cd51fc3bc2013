package run

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

func drainingReport(sequence int64, clock, remaining time.Duration) ServerReported {
	e := report(serverStartMs, sequence, clock)
	e.Server.Draining, e.Server.Remaining = true, remaining
	return e
}

// Entries learned no end, an end that had passed as unknown, or one that can't be right.
func TestTheEndOfADrainingServerIsTold(t *testing.T) {
	h := newHarness(t)
	h.useServer()
	for i, c := range []struct {
		told, after, want time.Duration
	}{
		{3 * time.Second, 0, 3 * time.Second},
		{3 * time.Second, time.Second, 2 * time.Second},
		{time.Second, 2 * time.Second, time.Millisecond},
		{0, 0, 0},
		{-time.Second, 0, 0},
		{1000 * time.Hour, 0, 0},
	} {
		h.step(drainingReport(int64(i+2), h.now, c.told))
		before := h.core.Room()
		h.now += c.after
		h.step(Tick{})
		room := h.core.Room()
		if room.Server.Remaining != c.want || !room.Closed {
			t.Errorf("remaining time %v %v after a report of %v, closed %v; want %v and true", room.Server.Remaining, c.after, c.told, room.Closed, c.want)
		}
		if !before.Equal(&room) {
			t.Error("the room counts as changed because time has passed; each step would cause a message")
		}
	}
}

// A server that crashed while it drained, long before the end that it had reported, counted
// as one that left as planned.
func TestAServerThatEndsBeforeItToldHasCrashed(t *testing.T) {
	for told, want := range map[time.Duration]bool{time.Minute: true, time.Millisecond: false, 0: false} {
		h := startOneRun(t)
		h.step(drainingReport(2, h.now, told))
		r := h.runUntilLost(true)
		if r.Outcome != work.Lost || ServerWentDown(r.Reason) != want {
			t.Errorf("report %+v of a server that had told %v, want a crash: %v", r, told, want)
		}
	}
}
