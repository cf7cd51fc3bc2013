package schedule

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

func (b *testBench) submitLarge(tasks int) {
	b.step(JobArrived{Job: Job{
		ID: "large", Route: route(2), Deadline: b.now + 10*time.Second,
		Steps: []Step{{Count: tasks, Demand: work.Demand{CPUMilli: 3000}, Estimate: 2 * time.Second}},
	}})
}

// A job whose tasks no longer fitted the shrunk servers waited until its deadline.
func TestAJobThatNoLongerFitsIsAnsweredAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		tasks  int
		filled bool
		want   Verdict
		reason string
	}{
		"nothing offered": {1, true, Rejected, reasonTooLarge},
		"partly offered":  {2, false, FailedJob, reasonMisfit},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.attachAgent("a", "1")
			b.tickFor(settlePeriod, 50*time.Millisecond)
			b.ackHeartbeat("a")
			if c.filled {
				b.submit("full", 2, 4)
				b.reportRoom("a", 4000)
			}
			b.submitLarge(c.tasks)
			b.step(Tick{})
			if answers := actionsOf[Answer](b.takeActions()); len(answers) != 0 {
				t.Fatalf("answers %+v while the server is large enough, want none", answers)
			}
			b.reportCapacity(2000)
			b.step(Tick{})
			answers := actionsOf[Answer](b.takeActions())
			if len(answers) != 1 || answers[0].ID != "large" || answers[0].Verdict != c.want || answers[0].Reason != c.reason {
				t.Errorf("answers %+v, want the large job %v: %s", answers, c.want, c.reason)
			}
		})
	}
}

// A link that was down for a moment is no reason to give up the jobs that only the server
// behind it can run.
func TestAJobWaitsForALargeServerThatIsAwayForAMoment(t *testing.T) {
	b := newTestBench(t)
	b.step(AgentAttached{Agent: "small", Address: "2", RequestedAt: b.now})
	b.step(AgentRoomReported{Agent: "small", Server: work.Server{Incarnation: "x", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 1000, MemoryMB: 4000}}})
	b.attachAgent("a", "1")
	b.reportRoom("a", 4000)
	b.submitLarge(1)
	tick := func(length time.Duration) int {
		for end := b.now + length; b.now < end; {
			b.now += 10 * time.Millisecond
			b.ackHeartbeat("small")
			b.ackHeartbeat("a")
			b.step(Tick{})
		}
		return len(actionsOf[Answer](b.takeActions()))
	}
	tick(settlePeriod)
	b.step(AgentDetached{Agent: "a"})
	if n := tick(settlePeriod - 20*time.Millisecond); n != 0 {
		t.Fatal("the job was answered while its server may be back in a moment")
	}
	b.step(AgentAttached{Agent: "a", Address: "1", RequestedAt: b.now})
	b.reportRoom("a", 4000)
	if n := tick(settlePeriod + 20*time.Millisecond); n != 0 {
		t.Fatal("the job was answered although its server is back")
	}
	b.step(AgentDetached{Agent: "a"})
	if n := tick(settlePeriod + 20*time.Millisecond); n != 1 {
		t.Fatalf("%d answers after the large server has gone for good, want 1", n)
	}
}
