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

// testBench drives a core with events and a manual clock.
type testBench struct {
	t    *testing.T
	core *Core
	now  time.Duration
	out  []Action
	used map[ident.Incarnation]work.Demand
}

func newTestBench(t *testing.T) *testBench {
	t.Helper()
	terms, err := lease.New(1300*time.Millisecond, time.Second, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	b := &testBench{t: t, core: New(Config{Terms: terms, RemoteFactor: 1.5}), used: map[ident.Incarnation]work.Demand{}}
	b.step(OperatorChanged{Rows: operator.Rows{Version: 1, Manifest: &operator.Manifest{Routes: []operator.Route{route(0), route(2)}}}})
	return b
}

func route(p work.Priority) operator.Route {
	return operator.Route{
		Name: fmt.Sprintf("route-%d", p), Service: "s", Priority: p, Attempts: 2,
		Stretch: 1.6, TargetLatency: 60 * time.Millisecond,
	}
}

func (b *testBench) step(e Event) {
	b.out = append(b.out, b.core.Step(b.now, e)...)
}

// tickFor advances the clock by length in the given steps, with a Tick at each.
func (b *testBench) tickFor(length, step time.Duration) {
	for end := b.now + length; b.now < end; {
		b.now += step
		b.step(Tick{})
	}
}

func (b *testBench) takeActions() []Action {
	out := b.out
	b.out = nil
	return out
}

func actionsOf[A Action](actions []Action) []A {
	var list []A
	for _, a := range actions {
		if x, ok := a.(A); ok {
			list = append(list, x)
		}
	}
	return list
}

// attachAgent attaches an agent whose backend server has room for four tasks.
func (b *testBench) attachAgent(name ident.Incarnation, address string) {
	b.step(AgentAttached{Agent: name, Address: address, RequestedAt: b.now})
	b.reportRoom(name, 0)
}

func (b *testBench) reportRoom(name ident.Incarnation, usedMilli int64) {
	b.step(AgentRoomReported{
		Agent: name, Server: work.Server{Incarnation: "server of " + string(name), Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}},
		Used: work.Demand{CPUMilli: usedMilli}, LastOfferIncluded: b.core.agents[name].sequence,
	})
}

func (b *testBench) ackHeartbeat(name ident.Incarnation) {
	b.step(AgentMessageReceived{Agent: name, AckedHeartbeatSentAt: b.now})
}

func (b *testBench) submit(id string, p work.Priority, tasks int) {
	b.step(JobArrived{Job: Job{
		ID: work.JobID(id), Route: route(p), Deadline: b.now + 10*time.Second,
		Steps: []Step{{Count: tasks, Demand: work.Demand{CPUMilli: 1000, MemoryMB: 64}, Estimate: 100 * time.Millisecond}},
	}})
}

// offered returns the runs that the actions offer, with the agents that get them.
func offered(actions []Action) map[work.Run]ident.Incarnation {
	runs := map[work.Run]ident.Incarnation{}
	for _, o := range actionsOf[SendOffers](actions) {
		for _, t := range o.Tasks {
			runs[t.Run] = o.Agent
		}
	}
	return runs
}

func runOf(job string, index int, id work.RunID) work.Run {
	return work.Run{Task: work.Task{Job: work.JobID(job), Index: index}, ID: id}
}

func (b *testBench) endRun(agent ident.Incarnation, r work.Run, o work.Outcome) {
	b.step(RunEnded{Agent: agent, Run: r, Outcome: o, Ran: 100 * time.Millisecond, Reason: o.String()})
}

func TestAJobIsCompletedOnceEveryTaskIs(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 0, 2)
	b.endRun("a", runOf("job", 0, 1), work.Done)
	if n := len(actionsOf[Answer](b.takeActions())); n != 0 {
		t.Fatal("the job was answered before its last task was done")
	}
	b.endRun("a", runOf("job", 1, 1), work.Done)
	answers := actionsOf[Answer](b.takeActions())
	if len(answers) != 1 || answers[0].Verdict != Completed {
		t.Fatalf("answers %+v, want one completed job", answers)
	}
}

// The runs of an unreachable agent may continue until its leases have expired, so its
// tasks must not be offered elsewhere before.
func TestATaskOfALostAgentWaitsForTheLease(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 0, 1)
	b.attachAgent("b", "2")
	b.takeActions()
	b.step(AgentDetached{Agent: "a"})
	leaseEnd := b.core.cfg.Terms.MaxRunAfterEntryLoss()
	for b.now = 0; b.now <= leaseEnd; b.now += 10 * time.Millisecond {
		b.ackHeartbeat("b")
		b.step(Tick{})
		if n := len(offered(b.takeActions())); n > 0 {
			t.Fatalf("the task was offered elsewhere after %v, while its lease may last %v", b.now, leaseEnd)
		}
	}
	b.ackHeartbeat("b")
	b.step(Tick{})
	if _, again := offered(b.takeActions())[runOf("job", 0, 2)]; !again {
		t.Fatal("the task was not offered again after its lease expired")
	}
}

// A new agent at the same address takes the backend server into use only once no run
// of its predecessor is left there. The tasks of the old agent may then start elsewhere
// before its leases have expired.
func TestAReplacementAgentFreesTheTasks(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 0, 1)
	b.step(AgentDetached{Agent: "a"})
	b.takeActions()
	b.step(AgentAttached{Agent: "a2", Address: "1", RequestedAt: b.now})
	if n := len(offered(b.takeActions())); n != 0 {
		t.Fatal("the task was offered before the new agent reported its backend server")
	}
	b.reportRoom("a2", 0)
	if _, again := offered(b.takeActions())[runOf("job", 0, 2)]; !again {
		t.Fatal("the task was not offered after the new agent reported its backend server")
	}
}

// When a session is opened again, an offer that never reached the agent is withdrawn
// and offered anew; a run that the agent holds is kept.
func TestOffersOfALostSessionAreReconciled(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 0, 2)
	b.step(AgentDetached{Agent: "a"})
	b.takeActions()
	b.step(AgentAttached{Agent: "a", Address: "1", RequestedAt: b.now, Held: []work.Run{runOf("job", 1, 1)}})
	b.now += cooldown
	b.reportRoom("a", 1000)
	runs := offered(b.takeActions())
	if _, again := runs[runOf("job", 0, 2)]; !again || len(runs) != 1 {
		t.Fatalf("offered %v, want only the task whose offer never arrived", runs)
	}
}

func TestADroppedJobStopsItsRuns(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 0, 3)
	b.takeActions()
	b.step(JobDropped{ID: "job", Reason: "caller left"})
	stops := actionsOf[SendStops](b.takeActions())
	if len(stops) != 1 || len(stops[0].Runs) != 3 {
		t.Fatalf("stops %+v, want three runs", stops)
	}
}

func TestAJobThatNothingCanServeIsRejectedAtOnce(t *testing.T) {
	b := newTestBench(t)
	b.tickFor(settlePeriod, 100*time.Millisecond)
	b.submit("none", 0, 1)
	b.attachAgent("a", "1")
	b.step(JobArrived{Job: Job{
		ID: "large", Route: route(0), Deadline: time.Minute,
		Steps: []Step{{Count: 1, Demand: work.Demand{CPUMilli: 5000}, Estimate: time.Second}},
	}})
	answers := actionsOf[Answer](b.takeActions())
	if len(answers) != 2 || answers[0].Verdict != Rejected || answers[1].Verdict != Rejected {
		t.Fatalf("answers %+v, want two rejections", answers)
	}
	if answers[0].RetryAfter < time.Second {
		t.Errorf("retry delay %v, want at least 1 s", answers[0].RetryAfter)
	}
}

// fillAgent makes an agent busy with jobs of the least urgent priority and lets one more
// wait until it heads a standing queue.
func (b *testBench) fillAgent() {
	b.attachAgent("a", "1")
	b.tickFor(settlePeriod, 100*time.Millisecond)
	b.ackHeartbeat("a")
	b.submit("running", 2, 4)
	b.reportRoom("a", 4000)
	b.submit("waiting", 2, 4)
	b.now += 40 * time.Millisecond
	b.ackHeartbeat("a")
	b.takeActions()
}

// A queue that a few close arrivals have formed is no reason to refuse a job that is
// still of use to its caller when it is late. Only a job that would end too late for any
// use is refused, and at once.
func TestOnlyAJobThatWouldEndTooLateIsRefused(t *testing.T) {
	b := newTestBench(t)
	b.fillAgent()
	b.submit("late", 2, 1)
	actions := b.takeActions()
	if answers := actionsOf[Answer](actions); len(answers) != 0 {
		t.Fatalf("answers %+v, want the late job admitted", answers)
	}
	if late := actionsOf[AdmittedLate](actions); len(late) != 1 || late[0].ID != "late" || late[0].Basis.ExpectedWait == 0 {
		t.Errorf("logged as admitted late: %+v, want the job with its expected wait", late)
	}
	for i := range 20 {
		b.submit(fmt.Sprint("flood-", i), 2, 4)
	}
	answers := actionsOf[Answer](b.takeActions())
	if len(answers) == 0 || answers[0].Verdict != Rejected || answers[0].Waited != 0 {
		t.Fatalf("answers %+v, want rejections at once", answers)
	}
}

// A new entry admits jobs while its agents are still attaching.
func TestANewEntryTakesJobsBeforeItKnowsItsAgents(t *testing.T) {
	b := newTestBench(t)
	b.submit("job", 0, 1)
	b.now += settlePeriod / 2
	b.attachAgent("a", "1")
	if n := len(offered(b.takeActions())); n != 1 {
		t.Fatal("the job was not offered to the first agent")
	}
}

// A job of which a task was started is never rejected, however long the rest waits.
func TestAJobThatBeganIsNotRejected(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 2, 6) // four start, two wait
	for b.now < 5*time.Second {
		b.now += 100 * time.Millisecond
		b.ackHeartbeat("a")
		b.step(Tick{})
	}
	for _, a := range actionsOf[Answer](b.takeActions()) {
		t.Errorf("the job was answered as %v, want no answer", a.Verdict)
	}
}

func TestNothingIsOfferedWhereItMayNotRun(t *testing.T) {
	for name, e := range map[string]func(*testBench) Event{
		"withdrawn domain": func(*testBench) Event {
			return OperatorChanged{Rows: operator.Rows{Version: 2, Withdrawn: []ident.FailureDomain{"d"}}}
		},
		"draining server": func(*testBench) Event {
			return AgentRoomReported{Agent: "a", Server: work.Server{Incarnation: "x", Service: "s", Domain: "d", Draining: true, Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}}}
		},
		"other service": func(*testBench) Event {
			return AgentRoomReported{Agent: "a", Server: work.Server{Incarnation: "x", Service: "other", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}}}
		},
		"silent agent": func(b *testBench) Event {
			b.now += time.Second
			return Tick{}
		},
	} {
		b := newTestBench(t)
		b.attachAgent("a", "1")
		b.step(e(b))
		b.submit("job", 0, 1)
		if n := len(offered(b.takeActions())); n != 0 {
			t.Errorf("%s: %d tasks offered, want none", name, n)
		}
	}
}

// Only tasks of the most urgent priority may wait at a full agent, where they go ahead
// of less urgent tasks.
func TestOnlyTheMostUrgentWaitAtAgents(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("full", 2, 4)
	b.reportRoom("a", 4000)
	b.takeActions()
	b.submit("later", 2, 1)
	if n := len(offered(b.takeActions())); n != 0 {
		t.Fatal("a less urgent task was offered to a full agent")
	}
	b.submit("urgent", 0, 1)
	if n := len(offered(b.takeActions())); n != 1 {
		t.Fatal("an urgent task was not queued at a full agent")
	}
	// Less urgent tasks of other entries that are queued there do not prevent it.
	b = newTestBench(t)
	b.attachAgent("a", "1")
	b.step(AgentRoomReported{
		Agent: "a", Server: work.Server{Incarnation: "x", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}},
		Used: work.Demand{CPUMilli: 4000}, Queued: []run.QueuedDemand{{Priority: 2, Demand: work.Demand{CPUMilli: 3000}}},
	})
	b.submit("urgent", 0, 1)
	if n := len(offered(b.takeActions())); n != 1 {
		t.Fatal("an urgent task was held back by less urgent ones of other entries")
	}
}

// A backend server whose runs all fail is suspected and gets single trial tasks. A few
// successes return it to normal use.
func TestAFailingServerIsSuspectedAndRecovers(t *testing.T) {
	var h health
	now := time.Duration(0)
	for range 3 {
		h.failed(now)
	}
	if h.mayTake(now, 1) || h.mayTake(now, 0) {
		t.Fatal("a server with only failed runs gets another task at once")
	}
	now += trialInterval
	if !h.mayTake(now, 0) || h.mayTake(now, 1) {
		t.Fatal("a suspected server does not get exactly one trial task")
	}
	for range 3 {
		h.done()
	}
	if !h.mayTake(now, 5) {
		t.Fatal("a server is still suspected after its trial tasks succeeded")
	}
}

// A failure on a suspected backend server does not count against the task's attempts.
func TestFailuresOnASuspectedServerAreNotCounted(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.core.agents["a"].health.failureRate = 0.9
	b.core.agents["a"].health.nextTrial = -time.Second
	b.submit("job", 0, 1)
	b.endRun("a", runOf("job", 0, 1), work.Failed)
	b.now += trialInterval
	b.ackHeartbeat("a")
	b.step(Tick{})
	b.endRun("a", runOf("job", 0, 2), work.Failed)
	for _, a := range actionsOf[Answer](b.takeActions()) {
		t.Errorf("the job was answered as %v after two failures on a suspected server", a.Verdict)
	}
}

// A task that can still end in time waits for a server of normal speed rather than
// start on a slow one.
func TestASlowServerIsAvoided(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("fast", "1")
	b.attachAgent("slow", "2")
	b.step(AgentRoomReported{
		Agent: "slow", Server: b.core.agents["slow"].server, Used: work.Demand{CPUMilli: 1000}, Pace: 4,
	})
	b.core.agents["slow"].runs[work.Task{Job: "other"}] = 1
	b.submit("full", 2, 4)
	b.reportRoom("fast", 4000)
	b.takeActions()
	b.submit("job", 2, 1)
	if runs := offered(b.takeActions()); len(runs) != 0 {
		t.Fatalf("offered %v while only the slow server has room, want nothing", runs)
	}
	b.endRun("fast", runOf("full", 0, 1), work.Done)
	b.reportRoom("fast", 3000)
	if runs := offered(b.takeActions()); runs[runOf("job", 0, 1)] != "fast" {
		t.Fatalf("offered %v, want the task at the fast server", runs)
	}
}

// A backend server that has seen a higher run number of the task refuses a run as old.
// The next run number must then be high enough.
func TestAnOldRunNumberIsRaised(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 0, 1)
	b.takeActions()
	b.step(RunEnded{Agent: "a", Run: runOf("job", 0, 1), Outcome: work.NotStarted, Reason: "old"})
	b.now += cooldown
	b.step(Tick{})
	if _, raised := offered(b.takeActions())[runOf("job", 0, 2+runSkip)]; !raised {
		t.Fatal("the run number was not raised")
	}
}

// The lease counts from the last processed message of the agent, whatever was sent
// since. The tasks start elsewhere once it has expired, and not before.
func TestALostAgentsTasksWaitForItsLease(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 1, 1)
	b.ackHeartbeat("a")
	lastMessage := b.now
	b.now += 300 * time.Millisecond
	b.step(AgentDetached{Agent: "a", Reason: "silent"})
	b.attachAgent("b", "2")
	b.takeActions()
	b.now = lastMessage + b.core.cfg.Terms.MaxRunAfterEntryLoss()
	b.ackHeartbeat("b")
	b.step(Tick{})
	if len(actionsOf[SendOffers](b.takeActions())) != 0 {
		t.Fatal("the task was offered elsewhere before its lease expired")
	}
	b.now += time.Millisecond
	b.step(Tick{})
	if len(actionsOf[SendOffers](b.takeActions())) != 1 {
		t.Fatal("the task was not offered elsewhere after its lease expired")
	}
}

// An entry whose process was paused admits jobs before its agents are attached again,
// since they only seem unresponsive. An entry that runs while its agents do not answer
// rejects jobs at once.
func TestAnEntryThatResumesTakesJobs(t *testing.T) {
	for name, c := range map[string]struct {
		tick     time.Duration
		rejected int
	}{
		"entry paused":       {tick: 3 * time.Second, rejected: 0},
		"agents unreachable": {tick: 100 * time.Millisecond, rejected: 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.attachAgent("a", "1")
			b.tickFor(3*time.Second, c.tick)
			b.submit("job", 0, 1)
			if n := len(actionsOf[Answer](b.takeActions())); n != c.rejected {
				t.Errorf("%d jobs rejected, want %d", n, c.rejected)
			}
		})
	}
}

// An agent that has refused all offers sends no room report, since nothing has changed there.
// The refused offers counted as in flight for good, and no task was offered any more (review/2).
func TestRefusedOffersDoNotStayInFlight(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.ackHeartbeat("a")
	b.submit("j", 0, 4)
	for round := range 3 {
		runs := offered(b.takeActions())
		if len(runs) != 4 {
			t.Fatalf("round %d: %d tasks are offered to an agent with room for 4", round, len(runs))
		}
		for r := range runs {
			b.step(RunEnded{Agent: "a", Run: r, Outcome: work.NotStarted, Reason: "entry not heard"})
		}
		b.step(AgentMessageReceived{Agent: "a", AckedHeartbeatSentAt: b.now, LastOfferIncluded: b.core.agents["a"].sequence})
		b.takeActions()
		b.tickFor(2*cooldown, cooldown)
	}
}
