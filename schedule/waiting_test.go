package schedule

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// newWaitingBench has routes of the given priorities, and agents whose four slots hold runs
// of other entries.
func newWaitingBench(t *testing.T, priorities []work.Priority, full ...ident.Incarnation) *testBench {
	b := newTestBench(t)
	m := &operator.Manifest{}
	for _, p := range priorities {
		m.Routes = append(m.Routes, route(p))
	}
	b.step(OperatorChanged{Rows: operator.Rows{Version: 2, Manifest: m}})
	for i, name := range full {
		b.attachAgent(name, fmt.Sprint(i))
		b.reportRoom(name, 4000)
	}
	b.takeActions()
	return b
}

// reportQueue reports a server of which four tasks take up all capacity, and what waits.
func (b *testBench) reportQueue(name ident.Incarnation, queued ...run.QueuedDemand) {
	a := b.core.agents[name]
	b.step(AgentRoomReported{Agent: name, Server: a.server, Used: work.Demand{CPUMilli: 4000}, Queued: queued, LastOfferIncluded: a.sequence})
}

func oneTask(p work.Priority) run.QueuedDemand {
	return run.QueuedDemand{Priority: p, Demand: work.Demand{CPUMilli: 1000, MemoryMB: 64}}
}

// A task of a middle priority waited at its entry, and the room that became free went to the
// less urgent task of another entry that saw it first. With one priority nothing may change.
func TestAllButTheLeastUrgentWaitAtAgents(t *testing.T) {
	for _, c := range []struct {
		name       string
		priorities []work.Priority
		queued     []run.QueuedDemand
		submit     work.Priority
		want       int
	}{
		{"most urgent", []work.Priority{0, 1, 2}, nil, 0, 1},
		{"middle", []work.Priority{0, 1, 2}, nil, 1, 1},
		{"least urgent", []work.Priority{0, 1, 2}, nil, 2, 0},
		{"only priority", []work.Priority{1}, nil, 1, 0},
		{"one as urgent waits", []work.Priority{0, 1, 2}, []run.QueuedDemand{oneTask(1)}, 1, 0},
		{"a more urgent one waits", []work.Priority{0, 1, 2}, []run.QueuedDemand{oneTask(0)}, 1, 0},
		{"a less urgent one waits", []work.Priority{0, 1, 2}, []run.QueuedDemand{oneTask(1)}, 0, 1},
	} {
		b := newWaitingBench(t, c.priorities, "a")
		b.reportQueue("a", c.queued...)
		b.submit("job", c.submit, 4)
		if n := len(offered(b.takeActions())); n != c.want {
			t.Errorf("%s: %d tasks wait at the full agent, want %d", c.name, n, c.want)
		}
	}
}

// A task waited at an agent for longer than its job had time left.
func TestNoTaskWaitsAtAnAgentForLongerThanItsSlack(t *testing.T) {
	for _, c := range []struct {
		mean time.Duration // of the tasks that hold the capacity
		want int
	}{{400 * time.Millisecond, 1}, {600 * time.Millisecond, 0}} {
		b := newWaitingBench(t, []work.Priority{0, 1, 2}, "a")
		b.core.recordOccupancy("s", work.Demand{CPUMilli: 4000}, c.mean)
		b.submit("job", 1, 1) // its slack is 120 ms
		if n := len(offered(b.takeActions())); n != c.want {
			t.Errorf("mean run time %v: %d tasks wait at the agent, want %d", c.mean, n, c.want)
		}
	}
}

// A task stayed at a full agent while another agent had room.
func TestATaskIsTakenBackWhenAnotherAgentHasRoom(t *testing.T) {
	for _, c := range []struct {
		name   string
		queued []run.QueuedDemand
		wait   time.Duration
		room   bool
		want   int
	}{
		{"waits for long", []run.QueuedDemand{oneTask(1)}, 70 * time.Millisecond, true, 1},
		{"half of its slack is left", []run.QueuedDemand{oneTask(1)}, 50 * time.Millisecond, true, 0},
		{"no room elsewhere", []run.QueuedDemand{oneTask(1)}, 70 * time.Millisecond, false, 0},
		{"has started", nil, 70 * time.Millisecond, true, 0},
		{"another entry's task waits too", []run.QueuedDemand{{Priority: 1, Demand: work.Demand{CPUMilli: 2000, MemoryMB: 128}}}, 70 * time.Millisecond, true, 0},
	} {
		b := newWaitingBench(t, []work.Priority{0, 1, 2}, "a")
		b.submit("job", 1, 1)
		b.reportQueue("a", c.queued...)
		b.attachAgent("b", "2")
		if !c.room {
			b.reportRoom("b", 4000)
		}
		b.takeActions()
		b.tickFor(c.wait, c.wait)
		out := b.takeActions()
		if n := len(actionsOf[SendStops](out)); n != c.want || len(offered(out)) != 0 {
			t.Errorf("%s: %d stops and offers %v, want %d and none", c.name, n, offered(out), c.want)
		}
		if c.want == 0 {
			continue
		}
		b.tickFor(20*time.Millisecond, 10*time.Millisecond) // the answer is lost
		if out := b.takeActions(); len(offered(out)) != 0 || len(actionsOf[SendStops](out)) != 0 {
			t.Errorf("%s: actions %+v before the agent has confirmed the stop, want none", c.name, out)
		}
		b.endRun("a", runOf("job", 0, 1), work.NotStarted)
		if got := offered(b.takeActions())[runOf("job", 0, 2)]; got != "b" {
			t.Errorf("%s: the task is offered to %q, want the agent with room", c.name, got)
		}
	}
}
