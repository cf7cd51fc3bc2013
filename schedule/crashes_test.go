package schedule

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// reasonServerDown is the reason of runs that went down with their backend server.
const reasonServerDown = "backend server refuses connections"

// attachAgents attaches agents with room for four tasks each.
func (b *testBench) attachAgents(n int) {
	for i := range n {
		b.attachAgent(ident.Incarnation(fmt.Sprintf("agent-%02d", i)), fmt.Sprint(i))
	}
}

func (b *testBench) ackAll() {
	for _, a := range b.core.order {
		b.ackHeartbeat(a.id)
	}
}

// crash ends a run since its backend server went down.
func (b *testBench) crash(agent ident.Incarnation, r work.Run) {
	b.step(RunEnded{Agent: agent, Run: r, Outcome: work.Lost, Reason: reasonServerDown})
}

// crashEveryRun ends each run of the task as crashed until the job is answered or no run
// is offered any more. It returns the number of runs and the answer.
func (b *testBench) crashEveryRun(task work.Task, limit int) (runs int, answer *Answer) {
	b.t.Helper()
	for range limit {
		actions := b.takeActions()
		if answers := actionsOf[Answer](actions); len(answers) > 0 {
			return runs, &answers[0]
		}
		for r, agent := range offered(actions) {
			if r.Task == task {
				runs++
				b.crash(agent, r)
			}
		}
		b.ackAll()
		b.tickFor(10*time.Millisecond, 10*time.Millisecond)
	}
	return runs, nil
}

// A task that takes down each backend server that starts it was started for as long as
// its caller waited.
func TestATaskThatCrashesItsServersIsNotStartedForever(t *testing.T) {
	if !run.ServerWentDown(reasonServerDown) {
		t.Fatalf("%q doesn't mean that the server went down", reasonServerDown)
	}
	b := newTestBench(t)
	b.attachAgents(11)
	b.submit("deadly", 0, 1)
	runs, answer := b.crashEveryRun(work.Task{Job: "deadly"}, 20)
	if runs > 5 {
		t.Errorf("%d runs crash a backend server, more than two of them after the third crash", runs)
	}
	if answer == nil || answer.Verdict != FailedJob {
		t.Errorf("answer %+v, want the verdict failed", answer)
	}
}

// Losing agents, entries or the network is no fault of the task.
func TestLostRunsAloneDoNotFailAJob(t *testing.T) {
	b := newTestBench(t)
	b.attachAgents(11)
	b.submit("job", 0, 1)
	for id := work.RunID(1); id <= 8; id++ {
		for r, agent := range offered(b.takeActions()) {
			b.endRun(agent, r, work.Lost)
		}
		b.ackAll()
	}
	b.tickFor(10*time.Millisecond, 10*time.Millisecond)
	if answers := actionsOf[Answer](b.takeActions()); len(answers) > 0 {
		t.Fatalf("answer %+v to a job whose runs were lost without a crash", answers[0])
	}
}

// The entry that had the job was killed; the next one started from nothing.
func TestAResubmittedJobIsNotStartedForever(t *testing.T) {
	task := work.Task{Job: "deadly"}
	total := 0
	seen := 0 // crashes of which the agents tell each new entry
	for range 6 {
		b := newTestBench(t)
		b.attachAgents(11)
		for id := range seen {
			b.step(RunCrashedElsewhere{Agent: "agent-00", Run: work.Run{Task: task, ID: work.RunID(id + 1)}})
		}
		b.submit("deadly", 0, 1)
		runs, _ := b.crashEveryRun(task, 2) // then this entry is killed as well
		total += runs
		seen += runs
	}
	if total > maxCrashes {
		t.Errorf("%d runs crash a backend server over six submissions, want at most %d", total, maxCrashes)
	}
}

// A run of another entry may have the number of a run of this one.
func TestACrashOfAnotherEntrysRunEndsNoRunHere(t *testing.T) {
	b := newTestBench(t)
	b.attachAgents(2)
	b.submit("job", 0, 1)
	for r, agent := range offered(b.takeActions()) {
		b.step(RunCrashedElsewhere{Agent: agent, Run: r})
	}
	if again := offered(b.takeActions()); len(again) > 0 {
		t.Fatalf("the task is offered as %v while its run goes on", again)
	}
}

// A task that only was on the server of another one has its next run without other suspects,
// and the last one before the limit alone.
func TestASuspectTaskRunsApartAndThenAlone(t *testing.T) {
	b := newTestBench(t)
	b.attachAgents(3)
	b.submit("first", 0, 1)
	b.submit("second", 0, 1)
	for r, agent := range offered(b.takeActions()) {
		b.crash(agent, r)
	}
	apart := offered(b.takeActions())
	first, second := apart[runOf("first", 0, 2)], apart[runOf("second", 0, 2)]
	if first == "" || second == "" || first == second {
		t.Fatalf("suspect tasks are offered as %v, want one each at two agents", apart)
	}
	b.crash(first, runOf("first", 0, 2))
	var alone []SendOffers
	for _, o := range actionsOf[SendOffers](b.takeActions()) {
		if o.Job == "first" {
			alone = append(alone, o)
		}
	}
	if len(alone) != 1 || alone[0].Tasks[0].Demand != b.core.agents[alone[0].Agent].server.Capacity {
		t.Fatalf("offers %+v after two crashes, want one with the whole capacity of a server", alone)
	}
	b.submit("other", 0, 8)
	for r, agent := range offered(b.takeActions()) {
		if agent == alone[0].Agent {
			t.Errorf("%v is offered beside a run that has to be alone", r)
		}
	}
	b.endRun(alone[0].Agent, runOf("first", 0, 3), work.Done)
	if answers := actionsOf[Answer](b.takeActions()); len(answers) != 1 || answers[0].Verdict != Completed {
		t.Errorf("answers %+v, want that the harmless job is completed", answers)
	}
}

// At most one backend server is emptied for an entry's suspect tasks at a time, and a task
// that waits for that holds up no other job.
func TestATaskThatWaitsToRunAloneHoldsUpNoOther(t *testing.T) {
	b := newTestBench(t)
	b.attachAgents(4)
	for _, id := range []string{"first", "second"} {
		b.submit(id, 0, 1)
		for range 2 {
			for r, agent := range offered(b.takeActions()) {
				b.crash(agent, r)
			}
		}
	}
	if n := len(offered(b.takeActions())); n > 1 {
		t.Fatalf("%d tasks are to run alone at the same time, want one", n)
	}
	b.submit("other", 0, 1)
	if n := len(offered(b.takeActions())); n != 1 {
		t.Fatalf("%d tasks of a later job are offered, want 1", n)
	}
}

// A run alone waits for a server with little work rather than taking the room of many jobs.
func TestABusyServerIsNotEmptiedForASuspectTask(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("suspect", 0, 1)
	b.takeActions()
	b.step(RunCrashedElsewhere{Agent: "a", Run: runOf("suspect", 0, 7)})
	b.reportRoom("a", 3000)
	b.crash("a", runOf("suspect", 0, 1))
	if runs := offered(b.takeActions()); len(runs) != 0 {
		t.Fatalf("%v are offered to a busy server, want none", runs)
	}
	b.reportRoom("a", 2000)
	if runs := offered(b.takeActions()); len(runs) != 1 {
		t.Fatalf("%v are offered to a server that is half empty, want the suspect task", runs)
	}
}

func TestCrashesAreForgotten(t *testing.T) {
	h := crashHistory{counts: map[work.Task]int{}}
	for i := range 3 * maxCrashRecords {
		h.add(time.Duration(i), work.Task{Job: "job", Index: i})
	}
	if len(h.records) > maxCrashRecords || len(h.counts) > maxCrashRecords {
		t.Errorf("%d crashes of %d tasks are kept, want at most %d", len(h.records), len(h.counts), maxCrashRecords)
	}
	h.forget(2 * crashMemory)
	if len(h.records) != 0 || len(h.counts) != 0 {
		t.Errorf("%d crashes of %d tasks are kept after %v", len(h.records), len(h.counts), 2*crashMemory)
	}
}
