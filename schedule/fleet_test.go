package schedule

import (
	"fmt"
	"math"
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
				agents[a] = run.New(run.Config{Terms: b.core.cfg.Terms})
				agents[a].Step(0, run.ServerReported{Server: work.Server{Incarnation: "server", Service: "s"}, StartUnixMs: 1, Sequence: 1})
				agents[a].Step(0, run.HoldAnswered{Call: 1, Stamp: run.Stamp{StartUnixMs: 1}})
			}
			agents[a].Step(0, run.WaitingReported{Entry: ident.Incarnation(fmt.Sprint(e)), Waiting: b.core.Waiting()})
		}
	}
	sum := 0.0
	for _, a := range agents {
		sum += a.Load(0).Priorities[0].WaitingCPUMs
	}
	if math.Abs(sum-want) > 0.001 {
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
				runs := b.core.agents["a"].runs
				for _, task := range sortedTasks(runs)[:min(1, len(runs))] {
					b.endRun("a", work.Run{Task: task, ID: runs[task]}, rapid.SampledFrom([]work.Outcome{work.Done, work.Lost, work.NotStarted}).Draw(rt, "outcome"))
				}
				b.reportRoom("a", int64(1000*len(runs)))
			},
			"wait": func(*rapid.T) { b.ackHeartbeat("a"); b.tickFor(60*time.Millisecond, 20*time.Millisecond) },
			"": func(rt *rapid.T) {
				all, ahead := b.core.ownWaiting("s", 2, false)
				var want, wantAhead int64
				oldest := b.now
				for _, j := range b.core.waiting {
					want += b.core.waitingCPUMs(j)
					oldest = min(oldest, j.arrived)
					if !j.late || j.Route.Priority == 0 {
						wantAhead += b.core.waitingCPUMs(j)
					}
				}
				waited := time.Duration(0)
				for _, w := range b.core.Waiting() {
					waited = max(waited, w.Oldest)
				}
				if all != want || ahead != wantAhead || waited != b.now-oldest {
					rt.Fatalf("work %d, %d of it ahead, oldest %v, want %d, %d and %v", all, ahead, waited, want, wantAhead, b.now-oldest)
				}
			},
		})
	})
}

// submitDemand submits a job of one task of priority 2.
func (b *testBench) submitDemand(id string, cpuMilli int64, estimate time.Duration) {
	b.step(JobArrived{Job: Job{
		ID: work.JobID(id), Route: route(2), Deadline: b.now + 10*time.Second,
		Steps: []Step{{Count: 1, Demand: work.Demand{CPUMilli: cpuMilli}, Estimate: estimate}},
	}})
}

// A backlog at other entries refuses a job, but not one for which an agent has had free capacity
// for longer than 20 ms.
func TestNoJobIsRefusedWhileAnAgentIsFree(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		waiting float64 // work at other entries
		freeFor time.Duration
		demand  int64
		refused bool
	}{
		{0, 0, 1000, false},
		{10_000_000, 0, 1000, true},
		{10_000_000, 20 * ms, 1000, true},
		{10_000_000, 21 * ms, 1000, false},
		{10_000_000, 21 * ms, 2000, true}, // larger than what is free
		{10_000_000, 40 * ms, 1000, false},
	} {
		b := newTestBench(t)
		b.attachAgent("a", "1")
		b.reportRoom("a", 4000)
		b.now = settlePeriod
		b.ackHeartbeat("a")
		b.submitDemand("head", 4000, 45*ms) // goes before the next job although it doesn't fit
		wait := 45 * ms
		b.tickFor(wait-test.freeFor, ms)
		if test.freeFor > 0 {
			b.reportRoom("a", 3000)
		}
		b.tickFor(test.freeFor, ms)
		b.ackHeartbeat("a")
		b.reportLoad("a", test.waiting, 0)
		b.takeActions()
		b.submitDemand("next", test.demand, 100*ms)
		answers := actionsOf[Answer](b.takeActions())
		if refused := len(answers) == 1 && answers[0].Verdict == Rejected; refused != test.refused {
			t.Errorf("demand %d, %v after 1000 became free: refused %v, want %v (%+v)", test.demand, test.freeFor, refused, test.refused, answers)
		}
	}
}

// An arrival costs the same at any number of agents and waiting jobs: at most twice as much at ten
// times the size. It is counted as waiting and judged, with a report of an agent before it, and
// the ticks that bring the ages up to date are included.
func BenchmarkArrivalByFleetLoad(bm *testing.B) {
	for _, agents := range []int{30, 300} {
		for _, jobs := range []int{10, 1000} {
			bm.Run(fmt.Sprintf("agents=%d/jobs=%d", agents, jobs), func(bm *testing.B) {
				b := newTestBench(&testing.T{})
				loads := make([]AgentLoadReported, agents)
				for i := range loads {
					name := ident.Incarnation(fmt.Sprintf("agent-%03d", i))
					b.attachAgent(name, string(name))
					b.reportRoom(name, 4000)
					b.ackHeartbeat(name)
					loads[i] = AgentLoadReported{Agent: name, Load: run.Load{Priorities: []run.PriorityLoad{{Priority: 2, WaitingCPUMs: 100_000}}}}
					b.step(loads[i])
				}
				for i := range jobs {
					b.submit(fmt.Sprint(i), 2, 2)
				}
				j := b.core.newJob(Job{Route: route(2), Steps: []Step{{Count: 2, Demand: work.Demand{CPUMilli: 1000}, Estimate: 100 * time.Millisecond}}})
				capacity, _ := b.core.capacity(j)
				i := 0
				for bm.Loop() {
					i++
					b.core.now += 100 * time.Microsecond
					b.core.agentLoadReported(loads[i%agents])
					if i%100 == 0 {
						b.core.refreshLoads()
					}
					j.queued = true
					b.core.countBacklog(j)
					j.queued = false
					b.core.countBacklog(j)
					if b.core.expectedWait(j, capacity) == 0 {
						bm.Fatal("no work is ahead of the job")
					}
				}
			})
		}
	}
}
