package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// reportLoad reports the load of an agent: per priority 0 and 2, half of its capacity of 4
// cores runs and waitingCPUMs of work waits.
func (b *testBench) reportLoad(name ident.Incarnation, waitingCPUMs float64, age time.Duration) {
	l := run.Load{Entries: 2, Age: age}
	for _, p := range []work.Priority{0, 2} {
		l.Priorities = append(l.Priorities, run.PriorityLoad{Priority: p, RunningMilli: 2000, WaitingCPUMs: waitingCPUMs, Oldest: age + 50*time.Millisecond})
	}
	b.step(AgentLoadReported{Agent: name, Load: l})
}

// Loads count while they are new and their agents are usable, and only if those of half of the
// usable agents are known.
func TestWhichLoadsCount(t *testing.T) {
	agents := []ident.Incarnation{"a", "b", "c", "d"}
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		change func(*testBench)
		want   int // agents whose load is included, 0 if the entry decides by its own figures
	}{
		"all agents report": {func(*testBench) {}, 4},
		"an agent falls silent for 500 ms": {func(b *testBench) {
			b.now += 300 * ms
			for _, a := range agents[1:] {
				b.reportLoad(a, 100, 100*ms)
			}
			b.now += 101 * ms
		}, 3},
		"more than half fall silent": {func(b *testBench) {
			b.now += 300 * ms
			b.reportLoad("a", 100, 100*ms)
			b.now += 101 * ms
		}, 0},
		"all figures are at most 500 ms old": {func(b *testBench) { b.now += 400 * ms }, 4},
		"all figures are too old":            {func(b *testBench) { b.now += 401 * ms }, 0},
		"a figure is too old on arrival":     {func(b *testBench) { b.reportLoad("a", 100, 501*ms) }, 3},
		"sessions end":                       {func(b *testBench) { b.step(AgentDetached{Agent: "a"}); b.step(AgentDetached{Agent: "b"}) }, 2},
		"an agent attaches anew": {func(b *testBench) {
			b.step(AgentAttached{Agent: "a", Address: "a"})
			b.reportRoom("a", 0)
		}, 3},
		"the failure domain is withdrawn": {func(b *testBench) {
			b.step(OperatorChanged{Rows: operator.Rows{Version: 2, Withdrawn: []ident.FailureDomain{"d"}}})
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			for _, a := range agents {
				b.attachAgent(a, string(a))
			}
			if _, known := b.core.fleetLoad("s", 2); known {
				t.Fatal("an entry that has just started knows a load without a report of its agents")
			}
			for _, a := range agents {
				b.reportLoad(a, 100, 100*ms)
			}
			test.change(b)
			// The core knows no time between two steps.
			b.step(AgentMessageReceived{Agent: "none"})
			l, known := b.core.fleetLoad("s", 2)
			if known != (test.want > 0) || l.Agents != test.want {
				t.Fatalf("load of %d agents, known %v, want %d", l.Agents, known, test.want)
			}
			n := int64(test.want)
			if l.CapacityMilli != 4000*n || l.RunningMilli != 4000*n || l.WaitingCPUMs != 200*n {
				t.Errorf("load %+v, want 4000 of capacity, 4000 running and 200 waiting for each of %d agents", l, n)
			}
			if urgent, _ := b.core.fleetLoad("s", 0); urgent.RunningMilli != 2000*n || urgent.WaitingCPUMs != 100*n || urgent.RateMilli != 4000*float64(n) {
				t.Errorf("load %+v of the most urgent priority, want half of the running and waiting work and the whole rate", urgent)
			}
			if known && (l.Age > maxLoadAge || l.OldestWait != l.Age+50*ms || l.RateMilli != 2000*float64(n)) {
				t.Errorf("load %+v, want figures of at most %v, a wait of 50 ms when they were taken, and half of the rate", l, maxLoadAge)
			}
		})
	}
}

// Work is counted once, whichever agents each entry uses: two entries with different subsets
// report to agents, whose loads add up to what waits.
func TestWorkOfEntriesWithDifferentSubsetsIsCountedOnce(t *testing.T) {
	entries := []*testBench{newTestBench(t), newTestBench(t)}
	subsets := [][]ident.Incarnation{{"a", "b", "c"}, {"c", "d"}}
	agents := map[ident.Incarnation]*run.Core{}
	want := 0.0
	for e, b := range entries {
		for _, a := range subsets[e] {
			b.attachAgent(a, string(a))
			b.reportRoom(a, 4000)
			b.ackHeartbeat(a)
		}
		b.submit("job", 2, 6+e)
		want += 100 * 1000 * float64(6+e)
		for _, a := range subsets[e] {
			if agents[a] == nil {
				agents[a] = run.New(run.Config{Terms: b.core.cfg.Terms, QueueLimit: 16})
				agents[a].Step(0, run.ServerReported{Server: work.Server{Incarnation: "server", Service: "s", Capacity: work.Demand{CPUMilli: 4000}}, StartUnixMs: 1, Sequence: 1})
				agents[a].Step(0, run.HoldAnswered{Call: 1, Stamp: run.Stamp{StartUnixMs: 1}})
			}
			agents[a].Step(0, run.WaitingReported{Entry: ident.Incarnation(fmt.Sprint(e)), Waiting: b.core.Waiting()})
		}
	}
	sum := 0.0
	for _, a := range agents {
		for _, p := range a.Load(0).Priorities {
			sum += p.WaitingCPUMs
		}
	}
	if sum < want-0.001 || sum > want+0.001 {
		t.Errorf("work %v over all agents, want %v: what waits at both entries", sum, want)
	}
}

// The sums equal those of a walk over all jobs, whatever becomes of the jobs.
func TestSumsOfWaitingWorkStayExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestBench(t)
		b.attachAgent("a", "1")
		jobs := 0
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(rt *rapid.T) {
				jobs++
				b.submit(fmt.Sprint(jobs), rapid.SampledFrom([]work.Priority{0, 2}).Draw(rt, "priority"), rapid.IntRange(1, 6).Draw(rt, "tasks"))
			},
			"drop": func(rt *rapid.T) {
				b.step(JobDropped{ID: work.JobID(fmt.Sprint(rapid.IntRange(1, jobs+1).Draw(rt, "job")))})
			},
			"end": func(rt *rapid.T) {
				for _, task := range sortedTasks(b.core.agents["a"].runs)[:min(1, len(b.core.agents["a"].runs))] {
					b.endRun("a", work.Run{Task: task, ID: b.core.agents["a"].runs[task]}, rapid.SampledFrom([]work.Outcome{work.Done, work.Lost, work.NotStarted}).Draw(rt, "outcome"))
				}
				b.reportRoom("a", int64(1000*len(b.core.agents["a"].runs)))
			},
			"wait": func(*rapid.T) { b.ackHeartbeat("a"); b.tickFor(60*time.Millisecond, 20*time.Millisecond) },
			"": func(rt *rapid.T) {
				var all, want int64
				for _, class := range b.core.backlog.classes {
					all += class.inTime + class.late
				}
				oldest := b.now
				for _, j := range b.core.waiting {
					want += b.core.waitingCPUMs(j)
					oldest = min(oldest, j.arrived)
					if j.backlog.late != j.late {
						rt.Fatalf("job %s counts as late: %v, want %v", j.ID, j.backlog.late, j.late)
					}
				}
				waited := time.Duration(0)
				for _, w := range b.core.Waiting() {
					waited = max(waited, w.Oldest)
				}
				if all != want || waited != b.now-oldest {
					rt.Fatalf("work %d, oldest %v, want %d and %v", all, waited, want, b.now-oldest)
				}
			},
		})
	})
}
