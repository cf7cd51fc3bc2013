package schedule

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// bench drives a core by hand.
type bench struct {
	t    *testing.T
	core *Core
	now  time.Duration
	out  []Action
	used map[ident.Incarnation]work.Demand
}

func newBench(t *testing.T) *bench {
	t.Helper()
	terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, core: New(Config{Terms: terms, RemoteFactor: 1.5}), used: map[ident.Incarnation]work.Demand{}}
	b.step(OperatorChanged{Rows: operator.Rows{Version: 1, Manifest: &operator.Manifest{Routes: []operator.Route{route(0), route(2)}}}})
	return b
}

func route(p work.Priority) operator.Route {
	return operator.Route{
		Name: fmt.Sprintf("route-%d", p), Service: "s", Priority: p, Attempts: 2,
		Stretch: 1.6, TargetLatency: 60 * time.Millisecond,
	}
}

func (b *bench) step(e Event) {
	b.out = append(b.out, b.core.Step(b.now, e)...)
}

// pass lets time pass, with a tick at each step.
func (b *bench) pass(length, step time.Duration) {
	for end := b.now + length; b.now < end; {
		b.now += step
		b.step(Tick{})
	}
}

func (b *bench) take() []Action {
	out := b.out
	b.out = nil
	return out
}

func of[A Action](actions []Action) []A {
	var list []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			list = append(list, x)
		}
	}
	return list
}

// agent attaches an agent whose server has room for four tasks.
func (b *bench) agent(name ident.Incarnation, address string) {
	b.step(AgentAttached{Agent: name, Address: address, Asked: b.now})
	b.room(name, 0)
}

func (b *bench) room(name ident.Incarnation, usedMilli int64) {
	b.step(AgentRoom{
		Agent: name, Server: work.Server{Incarnation: "server of " + string(name), Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}},
		Used: work.Demand{CPUMilli: usedMilli}, Taken: b.core.agents[name].sequence,
	})
}

func (b *bench) heard(name ident.Incarnation) { b.step(AgentHeard{Agent: name, Taken: b.now}) }

func (b *bench) job(id string, p work.Priority, tasks int) {
	b.step(JobArrived{Job: Job{
		ID: work.JobID(id), Route: route(p), Deadline: b.now + 10*time.Second,
		Steps: []Step{{Count: tasks, Demand: work.Demand{CPUMilli: 1000, MemoryMB: 64}, Estimate: 100 * time.Millisecond}},
	}})
}

// offered returns the runs that were offered since the last take, with the agents.
func offered(actions []Action) map[work.Run]ident.Incarnation {
	runs := map[work.Run]ident.Incarnation{}
	for _, o := range of[SendOffers](actions) {
		for _, t := range o.Tasks {
			runs[t.Run] = o.Agent
		}
	}
	return runs
}

func runOf(job string, index int, id work.RunID) work.Run {
	return work.Run{Task: work.Task{Job: work.JobID(job), Index: index}, ID: id}
}

func (b *bench) ended(agent ident.Incarnation, r work.Run, o work.Outcome) {
	b.step(RunEnded{Agent: agent, Run: r, Outcome: o, Ran: 100 * time.Millisecond, Reason: o.String()})
}

func TestAJobIsCompletedOnceEveryTaskIs(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("job", 0, 2)
	b.ended("a", runOf("job", 0, 1), work.Done)
	if n := len(of[Answer](b.take())); n != 0 {
		t.Fatal("the job is answered before its last task is done")
	}
	b.ended("a", runOf("job", 1, 1), work.Done)
	answers := of[Answer](b.take())
	if len(answers) != 1 || answers[0].Verdict != Completed {
		t.Fatalf("answers %+v", answers)
	}
}

// The runs of an agent that can't be reached may go on until its leases are over.
func TestATaskOfALostAgentWaitsForTheLease(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("job", 0, 1)
	b.agent("b", "2")
	b.take()
	b.step(AgentDetached{Agent: "a"})
	gone := b.core.cfg.Terms.Gone()
	for b.now = 0; b.now <= gone; b.now += 10 * time.Millisecond {
		b.heard("b")
		b.step(Tick{})
		if n := len(offered(b.take())); n > 0 {
			t.Fatalf("the task is offered elsewhere after %v; its lease may last %v", b.now, gone)
		}
	}
	b.heard("b")
	b.step(Tick{})
	if _, again := offered(b.take())[runOf("job", 0, 2)]; !again {
		t.Fatal("the task is not offered again though its lease is over")
	}
}

// An agent's successor takes its backend server into use only once nothing older
// runs there, which frees the tasks earlier.
func TestASuccessorFreesTheTasks(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("job", 0, 1)
	b.step(AgentDetached{Agent: "a"})
	b.take()
	b.step(AgentAttached{Agent: "a2", Address: "1", Asked: b.now})
	if n := len(offered(b.take())); n != 0 {
		t.Fatal("the task is offered before the successor has cleared its server")
	}
	b.room("a2", 0)
	if _, again := offered(b.take())[runOf("job", 0, 2)]; !again {
		t.Fatal("the task is not offered though the successor has cleared its server")
	}
}

// An offer that a lost session has swallowed is taken back when the agent doesn't
// hold it, and kept when it does.
func TestOffersOfALostSessionAreReconciled(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("job", 0, 2)
	b.step(AgentDetached{Agent: "a"})
	b.take()
	b.step(AgentAttached{Agent: "a", Address: "1", Asked: b.now, Held: []work.Run{runOf("job", 1, 1)}})
	b.now += coolTime
	b.room("a", 1000)
	runs := offered(b.take())
	if _, again := runs[runOf("job", 0, 2)]; !again || len(runs) != 1 {
		t.Fatalf("offered %v, want only the task that never arrived", runs)
	}
}

func TestADroppedJobStopsItsRuns(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("job", 0, 3)
	b.take()
	b.step(JobDropped{ID: "job", Reason: "caller left"})
	stops := of[SendStops](b.take())
	if len(stops) != 1 || len(stops[0].Runs) != 3 {
		t.Fatalf("stops %+v, want three runs", stops)
	}
}

func TestAJobThatNothingCanServeIsRejectedAtOnce(t *testing.T) {
	b := newBench(t)
	b.pass(settleTime, 100*time.Millisecond)
	b.job("none", 0, 1)
	b.agent("a", "1")
	b.step(JobArrived{Job: Job{
		ID: "large", Route: route(0), Deadline: time.Minute,
		Steps: []Step{{Count: 1, Demand: work.Demand{CPUMilli: 5000}, Estimate: time.Second}},
	}})
	answers := of[Answer](b.take())
	if len(answers) != 2 || answers[0].Verdict != Rejected || answers[1].Verdict != Rejected {
		t.Fatalf("answers %+v, want two rejections", answers)
	}
	if answers[0].RetryAfter < time.Second {
		t.Errorf("the caller is told to come back after %v", answers[0].RetryAfter)
	}
}

// A new entry takes jobs while its agents are still being attached.
func TestANewEntryTakesJobsBeforeItKnowsItsAgents(t *testing.T) {
	b := newBench(t)
	b.job("job", 0, 1)
	b.now += settleTime / 2
	b.agent("a", "1")
	if n := len(offered(b.take())); n != 1 {
		t.Fatal("the job isn't offered to the first agent")
	}
}

// A job of which something was started is never rejected.
func TestAJobThatBeganIsNotRejected(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("job", 2, 6) // four start, two wait
	for b.now < 5*time.Second {
		b.now += 100 * time.Millisecond
		b.heard("a")
		b.step(Tick{})
	}
	for _, a := range of[Answer](b.take()) {
		t.Errorf("the job is answered as %v", a.Verdict)
	}
}

func TestNothingIsOfferedWhereItMayNotRun(t *testing.T) {
	for name, e := range map[string]func(*bench) Event{
		"withdrawn domain": func(*bench) Event {
			return OperatorChanged{Rows: operator.Rows{Version: 2, Withdrawn: []ident.FailureDomain{"d"}}}
		},
		"draining server": func(*bench) Event {
			return AgentRoom{Agent: "a", Server: work.Server{Incarnation: "x", Service: "s", Domain: "d", Draining: true, Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}}}
		},
		"other service": func(*bench) Event {
			return AgentRoom{Agent: "a", Server: work.Server{Incarnation: "x", Service: "other", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}}}
		},
		"silent agent": func(b *bench) Event {
			b.now += time.Second
			return Tick{}
		},
	} {
		b := newBench(t)
		b.agent("a", "1")
		b.step(e(b))
		b.job("job", 0, 1)
		if n := len(offered(b.take())); n != 0 {
			t.Errorf("%s: %d tasks are offered", name, n)
		}
	}
}

// The most urgent tasks may wait at an agent, and pass those that wait there.
func TestOnlyTheMostUrgentWaitAtAgents(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("full", 2, 4)
	b.room("a", 4000)
	b.take()
	b.job("later", 2, 1)
	if n := len(offered(b.take())); n != 0 {
		t.Fatal("a less urgent task is sent to wait at a full agent")
	}
	b.job("urgent", 0, 1)
	if n := len(offered(b.take())); n != 1 {
		t.Fatal("an urgent task doesn't get the next room at a full agent")
	}
	// Less urgent work of other entries that waits there doesn't keep it away.
	b = newBench(t)
	b.agent("a", "1")
	b.step(AgentRoom{
		Agent: "a", Server: work.Server{Incarnation: "x", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}},
		Used: work.Demand{CPUMilli: 4000}, Queued: []run.QueuedDemand{{Priority: 2, Demand: work.Demand{CPUMilli: 3000}}},
	})
	b.job("urgent", 0, 1)
	if n := len(offered(b.take())); n != 1 {
		t.Fatal("an urgent task waits behind less urgent ones of other entries")
	}
}

// A server that fails what others carry out is suspected, gets single tasks, and
// comes back with the first successes.
func TestAFailingServerIsSuspectedAndComesBack(t *testing.T) {
	var h health
	now := time.Duration(0)
	for range 3 {
		h.failed(now)
	}
	if h.mayTake(now, 1) || h.mayTake(now, 0) {
		t.Fatal("a server that fails all gets more work at once")
	}
	now += trialPause
	if !h.mayTake(now, 0) || h.mayTake(now, 1) {
		t.Fatal("a suspected server gets no single trial")
	}
	for range 3 {
		h.done()
	}
	if !h.mayTake(now, 5) {
		t.Fatal("a server that does its work again stays suspected")
	}
}

// A failure on a suspected server is held against the server, not the task.
func TestAttemptsAreNotBurntOnASickServer(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.core.agents["a"].health.fails = 0.9
	b.core.agents["a"].health.trialAt = -time.Second
	b.job("job", 0, 1)
	b.ended("a", runOf("job", 0, 1), work.Failed)
	b.now += trialPause
	b.heard("a")
	b.step(Tick{})
	b.ended("a", runOf("job", 0, 2), work.Failed)
	for _, a := range of[Answer](b.take()) {
		t.Errorf("the job is answered as %v after two failures on a sick server", a.Verdict)
	}
}

// A task that can still end in time waits for a sound server rather than start on
// a slow one.
func TestASlowServerIsLeftAlone(t *testing.T) {
	b := newBench(t)
	b.agent("fast", "1")
	b.agent("slow", "2")
	b.step(AgentRoom{
		Agent: "slow", Server: b.core.agents["slow"].server, Used: work.Demand{CPUMilli: 1000}, Pace: 4,
	})
	b.core.agents["slow"].runs[work.Task{Job: "other"}] = 1
	b.job("full", 2, 4)
	b.room("fast", 4000)
	b.take()
	b.job("job", 2, 1)
	if runs := offered(b.take()); len(runs) != 0 {
		t.Fatalf("offered %v to a slow server", runs)
	}
	b.ended("fast", runOf("full", 0, 1), work.Done)
	b.room("fast", 3000)
	if runs := offered(b.take()); runs[runOf("job", 0, 1)] != "fast" {
		t.Fatalf("offered %v, want the sound server", runs)
	}
}

// A backend server that has seen a higher run of the task refuses it as old; the
// number then rises far enough.
func TestAnOldRunNumberIsRaised(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("job", 0, 1)
	b.take()
	b.step(RunEnded{Agent: "a", Run: runOf("job", 0, 1), Outcome: work.NotStarted, Reason: "old"})
	b.now += coolTime
	b.step(Tick{})
	if _, raised := offered(b.take())[runOf("job", 0, 2+runSkip)]; !raised {
		t.Fatal("the run number was not raised")
	}
}

// The lease counts from the agent's last word that was worked off, whatever was sent
// since: the tasks start elsewhere once it is over, and not before.
func TestALostAgentsTasksWaitForItsLease(t *testing.T) {
	b := newBench(t)
	b.agent("a", "1")
	b.job("job", 1, 1)
	b.heard("a")
	heard := b.now
	b.now += 300 * time.Millisecond
	b.step(AgentDetached{Agent: "a", Reason: "silent"})
	b.agent("b", "2")
	b.take()
	b.now = heard + b.core.cfg.Terms.Gone()
	b.heard("b")
	b.step(Tick{})
	if len(of[SendOffers](b.take())) != 0 {
		t.Fatal("the task starts elsewhere while its lease may last")
	}
	b.now += time.Millisecond
	b.step(Tick{})
	if len(of[SendOffers](b.take())) != 1 {
		t.Fatal("the task doesn't start elsewhere once the lease is over")
	}
}

// An entry that was held up takes jobs before its agents are attached again: they only
// look silent. One whose agents are silent while it is awake turns them away at once.
func TestAnEntryThatWakesTakesJobs(t *testing.T) {
	for name, c := range map[string]struct {
		tick    time.Duration
		refused int
	}{
		"held up":         {tick: 3 * time.Second, refused: 0},
		"cut from agents": {tick: 100 * time.Millisecond, refused: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.agent("a", "1")
			b.pass(3*time.Second, c.tick)
			b.job("job", 0, 1)
			if n := len(of[Answer](b.take())); n != c.refused {
				t.Errorf("%d jobs are turned away, want %d", n, c.refused)
			}
		})
	}
}
