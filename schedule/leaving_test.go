package schedule

import (
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/work"
)

// drain reports a draining server with the remaining time.
func (b *testBench) drain(name ident.Incarnation, remaining time.Duration) {
	a := b.core.agents[name]
	server := a.server
	server.Draining, server.Remaining = true, remaining
	b.step(AgentRoomReported{Agent: name, Server: server, Used: work.Demand{CPUMilli: 4000}, LastOfferIncluded: a.sequence})
}

// A run of 100 ms was lost with its server, although the end of the server was known and its
// task could have ended elsewhere; or a run was stopped that would have ended in time.
func TestOnlyRunsThatTheirServersCutOffAreMoved(t *testing.T) {
	for _, c := range []struct {
		name      string
		remaining time.Duration
		ran, then time.Duration // before the report and after it
		room      bool
		want      int
	}{
		{"can't end", 60 * time.Millisecond, 0, 10 * time.Millisecond, true, 1},
		{"ends in time", 120 * time.Millisecond, 0, 10 * time.Millisecond, true, 0},
		{"has run for long enough", 60 * time.Millisecond, 50 * time.Millisecond, 10 * time.Millisecond, true, 0},
		{"end unknown", 0, 0, 10 * time.Millisecond, true, 0},
		{"is overdue, and so is its server", time.Millisecond, 0, 140 * time.Millisecond, true, 0},
		{"no room elsewhere", 60 * time.Millisecond, 0, 10 * time.Millisecond, false, 0},
	} {
		b := newTestBench(t)
		b.attachAgent("a", "1")
		b.submit("job", 2, 1)
		b.attachAgent("b", "2")
		if !c.room {
			b.reportRoom("b", 4000)
		}
		b.tickFor(c.ran, 10*time.Millisecond)
		b.takeActions()
		b.drain("a", c.remaining)
		b.tickFor(c.then, c.then)
		out := b.takeActions()
		if n := len(actionsOf[SendStops](out)); n != c.want || len(offered(out)) != 0 {
			t.Errorf("%s: %d stops and offers %v, want %d and none", c.name, n, offered(out), c.want)
		}
		if c.want == 0 {
			continue
		}
		b.tickFor(30*time.Millisecond, 10*time.Millisecond) // the answer to the stop is lost
		if out := b.takeActions(); len(offered(out)) != 0 || len(actionsOf[SendStops](out)) != 0 {
			t.Errorf("%s: actions %+v before the end of the run is known, want none", c.name, out)
		}
		b.endRun("a", runOf("job", 0, 1), work.Lost)
		if got := offered(b.takeActions())[runOf("job", 0, 2)]; got != "b" {
			t.Errorf("%s: the task is offered to %q, want the agent whose server stays", c.name, got)
		}
	}
}

// Runs were stopped by a withdrawal alone, or for a restart without use; or a run was lost
// although its restart would have been of use.
func TestRunsAreMovedOnlyIfARestartIsOfUse(t *testing.T) {
	for _, c := range []struct {
		name     string
		deadline time.Duration
		leaves   bool
		want     int
	}{
		{"late but useful", 10 * time.Second, true, 1},
		{"after the deadline", 250 * time.Millisecond, true, 0},
		{"withdrawn only", 10 * time.Second, false, 0},
	} {
		b := newTestBench(t)
		b.step(JobArrived{Job: Job{
			ID: "job", Route: route(2), Deadline: b.now + c.deadline,
			Steps: []Step{{Count: 1, Demand: work.Demand{CPUMilli: 1000}, Estimate: 100 * time.Millisecond}},
		}})
		b.tickFor(130*time.Millisecond, 10*time.Millisecond)
		b.attachAgent("a", "1") // a restart ends 255 ms after the arrival, the objective is 220 ms
		b.attachAgent("b", "2")
		b.takeActions()
		if c.leaves {
			b.drain("a", 10*time.Millisecond)
		} else {
			b.step(OperatorChanged{Rows: operator.Rows{Version: 2, Manifest: b.core.operator.Manifest, Withdrawn: []ident.FailureDomain{"d"}}})
		}
		b.tickFor(10*time.Millisecond, 10*time.Millisecond)
		if stops := actionsOf[SendStops](b.takeActions()); len(stops) != c.want {
			t.Errorf("%s: stops %+v, want %d", c.name, stops, c.want)
		}
	}
}

// When room for one task was left, the run with the most time left was moved, and the one
// that could only just be in time was lost.
func TestRunsWithTheLeastSlackAreMovedFirst(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("old", 2, 1)
	b.tickFor(20*time.Millisecond, 10*time.Millisecond)
	b.submit("new", 2, 1)
	b.submit("urgent", 0, 1)
	b.attachAgent("b", "2")
	b.reportRoom("b", 2000)
	b.takeActions()
	b.drain("a", 10*time.Millisecond)
	b.tickFor(10*time.Millisecond, 10*time.Millisecond)
	var got []work.JobID
	for _, s := range actionsOf[SendStops](b.takeActions()) {
		got = append(got, s.Runs[0].Task.Job)
	}
	if len(got) != 2 || got[0] != "urgent" || got[1] != "old" {
		t.Errorf("runs of %v are stopped, want urgent and old, for which there is room", got)
	}
}
