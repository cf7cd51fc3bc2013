package gate

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
)

// startsAfter returns how many of 8 tasks a gate with 8 slots starts if they arrive
// at the given time after its backend server came back into service, with a ramp
// of 8 s.
func startsAfter(t *testing.T, passed time.Duration) int {
	t.Helper()
	g := New(DefaultConfig())
	allow := permit.Permit{InService: true, Ramp: 8 * time.Second, Until: time.Hour}
	g.Step(0, SetBackend{Services: []ident.Service{"serial"}, Slots: 8, Connections: 64})
	g.Step(0, SetPermit{Permit: permit.Permit{Until: time.Hour}})
	g.Step(time.Second, SetPermit{Permit: allow})
	sent := 0
	for i := range 8 {
		e := Execute{
			Request:  ident.RequestID(i + 1),
			Home:     "home",
			Key:      ident.JobKey{Team: "till", Key: fmt.Sprint(i)},
			Service:  "serial",
			Tasks:    []Task{{Task: job.Task{Index: 0}}},
			Deadline: time.Hour,
		}
		for _, action := range g.Step(time.Second+passed, e) {
			if _, ok := action.(Send); ok {
				sent++
			}
		}
	}
	return sent
}

func TestARestoredBackendServerTakesUpWorkInSteps(t *testing.T) {
	for passed, want := range []int{1, 2, 3, 4, 5, 6, 7, 8, 8} {
		if got := startsAfter(t, time.Duration(passed)*time.Second); got != want {
			t.Errorf("%d s after the restore: %d tasks sent, want %d", passed, got, want)
		}
	}
}
