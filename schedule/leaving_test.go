package schedule

import (
	"slices"
	"testing"
	"time"

	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

const ms = time.Millisecond

func (b *testBench) usePriorities(priorities ...work.Priority) {
	m := &operator.Manifest{}
	for _, p := range priorities {
		m.Routes = append(m.Routes, route(p))
	}
	b.step(OperatorChanged{Rows: operator.Rows{Version: 2, Manifest: m}})
}

// reportA reports that the server of agent a is full, what waits there, and when it ends.
func (b *testBench) reportA(remaining time.Duration, queued ...run.QueuedDemand) {
	a := b.core.agents["a"]
	server := a.server
	server.Draining, server.Remaining = remaining > 0, remaining
	b.step(AgentRoomReported{Agent: "a", Server: server, Used: work.Demand{CPUMilli: 4000}, Queued: queued, LastOfferIncluded: a.sequence})
}

func waitingTasks(p work.Priority, n int64) []run.QueuedDemand {
	return []run.QueuedDemand{{Priority: p, Demand: work.Demand{CPUMilli: 1000 * n, MemoryMB: 64 * n}}}
}

// A task of a middle priority waited at its entry, and less urgent tasks of other entries took
// the room; or a task waited at an agent for longer than its slack of 120 ms. With one
// priority nothing may change.
func TestAllButTheLeastUrgentWaitAtAgentsWithinTheirSlack(t *testing.T) {
	for _, c := range []struct {
		name   string
		queued []run.QueuedDemand
		submit work.Priority
		mean   time.Duration // of the tasks that hold the capacity
		want   int
		plain  bool // no latency objective
	}{
		{"most urgent", nil, 0, 400 * ms, 1, false},
		{"middle", nil, 1, 400 * ms, 1, false},
		{"least urgent", nil, 2, 400 * ms, 0, false},
		{"only priority", nil, 3, 400 * ms, 0, false},
		{"no slack", nil, 1, 600 * ms, 0, false},
		{"no objective", nil, 0, 600 * ms, 1, true},
		{"one as urgent waits", waitingTasks(1, 1), 1, 400 * ms, 0, false},
		{"a more urgent one waits", waitingTasks(0, 1), 1, 400 * ms, 0, false},
		{"a less urgent one waits", waitingTasks(1, 1), 0, 400 * ms, 1, false},
	} {
		b := newTestBench(t)
		if b.usePriorities(0, 1, 2); c.submit == 3 {
			b.usePriorities(3)
		}
		b.attachAgent("a", "1")
		b.reportA(0, c.queued...)
		b.core.recordOccupancy("s", work.Demand{CPUMilli: 4000}, c.mean)
		j := Job{ID: "job", Route: route(c.submit), Deadline: time.Minute, Steps: []Step{{Count: 4, Demand: work.Demand{CPUMilli: 1000}, Estimate: 100 * ms}}}
		if c.plain {
			j.Route.Stretch, j.Route.TargetLatency = 0, 0
		}
		b.step(JobArrived{Job: j})
		if n := len(offered(b.takeActions())); n != c.want {
			t.Errorf("%s: %d tasks wait at the full agent, want %d", c.name, n, c.want)
		}
	}
}

// A task stayed at a full agent while another one had room, or a run was lost with its server
// although its task could have ended elsewhere; or runs were stopped for nothing. Tasks take
// 100 ms, and the objective is 220 ms.
func TestRunsAreStoppedOnlyForABetterPlace(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after time.Duration // times before the task is placed and from then to the report
		remaining     time.Duration // until the server ends, 0 if it stays
		queued        []run.QueuedDemand
		usedElsewhere int64
		want          int
	}{
		{"waits for long", 0, 60 * ms, 0, waitingTasks(1, 1), 0, 1},
		{"has half of its slack", 0, 10 * ms, 0, waitingTasks(1, 1), 0, 0},
		{"waits, no room elsewhere", 0, 60 * ms, 0, waitingTasks(1, 1), 4000, 0},
		{"has started", 0, 60 * ms, 0, nil, 0, 0},
		{"another entry's task waits too", 0, 60 * ms, 0, waitingTasks(1, 2), 0, 0},
		{"can't end", 0, 0, 60 * ms, nil, 0, 1},
		{"ends in time", 0, 0, 120 * ms, nil, 0, 0},
		{"has run for long enough", 0, 50 * ms, 60 * ms, nil, 0, 0},
		{"is overdue", 0, 140 * ms, ms, nil, 0, 0},
		{"can't end, no room elsewhere", 0, 0, 60 * ms, nil, 5000, 0},
		{"a restart is late but useful", 140 * ms, 10 * ms, 10 * ms, nil, 0, 1},
		{"a restart is of no use", 590 * ms, 10 * ms, 10 * ms, nil, 0, 0},
	} {
		b := newTestBench(t)
		b.usePriorities(0, 1, 2)
		if c.remaining == 0 {
			b.attachAgent("a", "1")
			b.reportA(0)
			b.submit("job", 1, 1)
		} else {
			b.submit("job", 1, 1)
			b.tickFor(c.before, 10*ms)
			b.attachAgent("a", "1")
		}
		b.attachAgent("b", "2")
		b.reportRoom("b", c.usedElsewhere)
		b.takeActions()
		b.tickFor(c.after, 10*ms)
		b.reportA(c.remaining, c.queued...)
		b.tickFor(40*ms, 10*ms) // the answer to a stop is lost
		out := b.takeActions()
		if n := len(actionsOf[SendStops](out)); n != c.want || len(offered(out)) != 0 {
			t.Errorf("%s: %d stops and offers %v, want %d and none before an end is reported", c.name, n, offered(out), c.want)
		}
	}
}

// Room for two tasks was left, and the run that could only just be in time was lost.
func TestRunsWithTheLeastSlackAreMovedFirst(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("old", 2, 1)
	b.tickFor(20*ms, 10*ms)
	b.submit("new", 2, 1)
	b.submit("urgent", 0, 1)
	b.attachAgent("b", "2")
	b.reportRoom("b", 2000)
	b.takeActions()
	b.reportA(10 * ms)
	b.tickFor(20*ms, 10*ms)
	var got []work.JobID
	for _, s := range actionsOf[SendStops](b.takeActions()) {
		got = append(got, s.Runs[0].Task.Job)
	}
	if !slices.Equal(got, []work.JobID{"urgent", "old"}) {
		t.Fatalf("runs of %v are stopped, want urgent and old", got)
	}
	b.endRun("a", runOf("urgent", 0, 1), work.Lost)
	if to := offered(b.takeActions())[runOf("urgent", 0, 2)]; to != "b" {
		t.Errorf("the task is offered to %q, want the agent whose server stays", to)
	}
}
