package gate

import (
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
)

// TestTooOldIsNoSeal checks that a request older than MaxAge is never answered
// NotStarted: an earlier copy of it may have run and its record expired.
func TestTooOldIsNoSeal(t *testing.T) {
	cfg := DefaultConfig()
	g := New(cfg)
	now := 2 * cfg.Retention
	g.Step(now, SetBackend{Services: []ident.Service{"stamp"}, Slots: 1})
	g.Step(now, SetPermit{Permit: permit.Permit{InService: true, Until: now + permit.Lease}})
	actions := g.Step(now, Execute{
		Request:  1,
		Home:     "home",
		Key:      ident.JobKey{Team: "tills", Key: "k"},
		Service:  "stamp",
		Tasks:    []Task{{Task: job.Task{Index: 0}}},
		Deadline: now + time.Minute,
		Age:      cfg.MaxAge + 1,
	})
	a, ok := actions[0].(Answer)
	if !ok || a.Verdict != Ran || a.Reason != job.ReasonTooOld {
		t.Fatalf("got %+v, want an Answer with verdict Ran and reason too-old", actions)
	}
}
