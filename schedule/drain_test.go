package schedule

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// A job that outlasted the grace period of its entry was cut without an answer.
func TestAJobThatOutlastsAPlannedStopIsAnswered(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("running", 0, 4)
	b.takeActions()
	answerBy := b.now + 400*time.Millisecond
	b.step(EntryDraining{AnswerBy: answerBy})
	for b.now < answerBy {
		if early := actionsOf[Answer](b.takeActions()); len(early) != 0 {
			t.Fatalf("answers %+v at %v, want none before %v", early, b.now, answerBy)
		}
		b.ackHeartbeat("a")
		b.reportRoom("a", 4000)
		b.tickFor(10*time.Millisecond, 10*time.Millisecond)
	}
	actions := b.takeActions()
	answers := actionsOf[Answer](actions)
	if len(answers) != 1 || answers[0].Verdict != Interrupted {
		t.Errorf("answers %+v, want the job interrupted", answers)
	}
	stopped := 0
	for _, s := range actionsOf[SendStops](actions) {
		stopped += len(s.Runs)
	}
	if stopped != 4 {
		t.Errorf("%d runs are stopped, want the 4 of the interrupted job", stopped)
	}
}

// A job that got room just before the end of its entry was offered and interrupted at once.
func TestAJobThatCanNotEndBeforeAPlannedStopIsNotOffered(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("running", 0, 4)
	b.submit("waiting", 2, 1)
	b.takeActions()
	answerBy := b.now + 400*time.Millisecond
	b.step(EntryDraining{AnswerBy: answerBy})
	for range 31 {
		b.ackHeartbeat("a")
		b.reportRoom("a", 4000)
		b.tickFor(10*time.Millisecond, 10*time.Millisecond)
	}
	answers := actionsOf[Answer](b.takeActions())
	if len(answers) != 1 || answers[0].ID != "waiting" || answers[0].Verdict != Rejected {
		t.Errorf("answers %+v, want the waiting job rejected when less than its 100 ms of work are left", answers)
	}
	b.endRun("a", runOf("running", 0, 1), work.Done)
	b.reportRoom("a", 3000)
	if n := len(offered(b.takeActions())); n != 0 {
		t.Errorf("%d tasks are offered 90 ms before the end of the entry, want none", n)
	}
}

// A stopping entry refused jobs by the time that their callers would wait, although it
// could have answered them.
func TestAStoppingEntryRefusesOnlyJobsThatItCanNotEnd(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.tickFor(settlePeriod, 10*time.Millisecond)
	b.ackHeartbeat("a")
	b.step(EntryDraining{AnswerBy: b.now + time.Second})
	b.submit("short", 0, 1) // its caller waits for 10 s, its tasks take 100 ms
	if answers := actionsOf[Answer](b.takeActions()); len(answers) != 0 {
		t.Errorf("answers %+v, want the job admitted", answers)
	}
	b.now += 900 * time.Millisecond
	b.submit("late", 0, 1)
	answers := actionsOf[Answer](b.takeActions())
	if len(answers) != 1 || answers[0].Verdict != Rejected || answers[0].Reason != reasonStopping || answers[0].RetryAfter != minRetryAfter {
		t.Errorf("answers %+v, want the job rejected because the entry stops", answers)
	}
}
