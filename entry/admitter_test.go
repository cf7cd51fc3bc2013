package entry

import (
	"context"
	"testing"
	"time"

	"foxtaildock.example/dock/admission"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

func startAdmitter(t *testing.T, limits ...admission.Limits) *Admitter {
	t.Helper()
	a := NewAdmitter()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	a.box.Put(admission.SetLimits{Limits: limits})
	return a
}

func oneTask(team ident.Team) *job.Spec {
	return &job.Spec{Key: ident.JobKey{Team: team, Key: "k"}, Tasks: make([]job.Task, 1), Deadline: time.Minute}
}

func TestAdmitterAdmitsNextJobOnceOneIsDone(t *testing.T) {
	a := startAdmitter(t, admission.Limits{Team: "a", Running: 1})
	done, _, ok := a.Admit(context.Background(), oneTask("a"))
	if !ok {
		t.Fatal("the first job was refused")
	}
	second := make(chan bool)
	go func() {
		_, _, ok := a.Admit(context.Background(), oneTask("a"))
		second <- ok
	}()
	done()
	if !<-second {
		t.Fatal("the second job was refused")
	}
}

func TestCallerThatHangsUpWhileWaitingFreesItsPlace(t *testing.T) {
	a := startAdmitter(t, admission.Limits{Team: "a", Running: 1})
	done, _, _ := a.Admit(context.Background(), oneTask("a"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, refusal, ok := a.Admit(ctx, oneTask("a")); ok || refusal.Reason != job.ReasonCancelled {
		t.Fatalf("admitted %v, %+v", ok, refusal)
	}
	done()
	if _, _, ok := a.Admit(context.Background(), oneTask("a")); !ok {
		t.Fatal("refused: the place of the caller that hung up was not freed")
	}
}

func TestAdmitterRefusesWithReasonAndRetryAfter(t *testing.T) {
	a := startAdmitter(t, admission.Limits{Team: "a", StartsPerSecond: 1, Burst: 1})
	a.Admit(context.Background(), oneTask("a"))
	spec := oneTask("a")
	spec.Deadline = time.Millisecond
	_, refusal, ok := a.Admit(context.Background(), spec)
	if ok || refusal.Reason != job.ReasonQuota || refusal.RetryAfter == 0 {
		t.Fatalf("admitted %v, %+v", ok, refusal)
	}
}

// Several jobs are admitted in one step, and the caller of the first has hung up.
// Reporting that job as done makes the core step again, which reuses the slice of
// actions. Answers of the other jobs that are not delivered yet must not be lost.
func TestHangUpAmongSeveralAdmissionsLosesNoAnswer(t *testing.T) {
	a := NewAdmitter()
	wait := func(id ident.RequestID) chan admission.Action {
		ch := make(chan admission.Action, 1)
		a.waiting[id] = ch
		return ch
	}
	submit := func(id ident.RequestID, tasks int) {
		a.step(admission.Submit{ID: id, Team: "a", Tasks: tasks, Deadline: 2 * time.Hour})
	}
	a.step(admission.SetLimits{Limits: []admission.Limits{{Team: "a", Running: 12, Queued: 100}}})
	const blocker, hungUp = 1, 2
	first := wait(blocker)
	submit(blocker, 12)
	<-first
	submit(hungUp, 10)
	// Small jobs overtake large ones unless the large ones have waited for long.
	a.origin = a.origin.Add(-time.Hour)
	answers := make(map[ident.RequestID]chan admission.Action)
	for id := ident.RequestID(3); id < 14; id++ {
		answers[id] = wait(id)
		submit(id, 1)
	}
	a.step(admission.Done{ID: blocker})
	for id, ch := range answers {
		select {
		case got := <-ch:
			if admit, ok := got.(admission.Admit); !ok || admit.ID != id {
				t.Errorf("job %d got %+v", id, got)
			}
		default:
			t.Errorf("job %d got no answer", id)
		}
	}
}
