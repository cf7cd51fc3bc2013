package report

import (
	"testing"
	"time"

	"foxtaildock.example/dock/job"
)

func TestTallyForgetsAfterItsWindow(t *testing.T) {
	var tally Tally
	done := job.Outcome{Kind: job.Complete}
	quota := job.Refuse(job.ReasonQuota, 0, "")
	stranger := job.Refuse(job.ReasonUnauthorized, 0, "")
	tally.Add(0, "tills", "lulea", &done)
	tally.Add(30*time.Minute, "tills", "lulea", &done)
	tally.Add(30*time.Minute, "tills", "", &quota)
	tally.Add(30*time.Minute, "made-up", "", &stranger)
	cases := []struct {
		now, window time.Duration
		want        []Count
	}{
		{30 * time.Minute, time.Hour, []Count{{"", "", "refused", "unauthorized", 1}, {"tills", "", "refused", "quota", 1}, {"tills", "lulea", "complete", "", 2}}},
		{30 * time.Minute, time.Minute, []Count{{"", "", "refused", "unauthorized", 1}, {"tills", "", "refused", "quota", 1}, {"tills", "lulea", "complete", "", 1}}},
		{61 * time.Minute, 2 * time.Hour, []Count{{"", "", "refused", "unauthorized", 1}, {"tills", "", "refused", "quota", 1}, {"tills", "lulea", "complete", "", 1}}},
		{3 * time.Hour, time.Hour, nil},
	}
	for _, c := range cases {
		got := tally.Counts(c.now, c.window)
		if len(got) != len(c.want) {
			t.Fatalf("%v %v: %v", c.now, c.window, got)
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%v %v: %v, want %v", c.now, c.window, got[i], c.want[i])
			}
		}
	}
}

func TestMergeAddsUp(t *testing.T) {
	a := []Count{{"tills", "lulea", "complete", "", 2}, {"tills", "umea", "complete", "", 1}}
	b := []Count{{"quotes", "lulea", "failed", "deadline", 1}, {"tills", "lulea", "complete", "", 3}}
	merged := Merge(a, b)
	if len(merged) != 3 || merged[0].Team != "quotes" || merged[1].Jobs != 5 {
		t.Errorf("%v", merged)
	}
}
