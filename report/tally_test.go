package report

import (
	"slices"
	"testing"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/job"
)

func TestTallyDropsCountsOlderThanWindow(t *testing.T) {
	var tally Tally
	done := job.Outcome{Kind: job.Complete}
	quota := job.Refuse(job.ReasonQuota, 0, "")
	unauthorized := job.Refuse(job.ReasonUnauthorized, 0, "")
	tally.Add(0, "tills", "lulea", &done)
	tally.Add(30*time.Minute, "tills", "lulea", &done)
	tally.Add(30*time.Minute, "tills", "", &quota)
	tally.Add(30*time.Minute, "", "", &unauthorized)
	refused := []api.JobTally{
		{Outcome: "refused", Reason: "unauthorized", Count: 1},
		{Team: "tills", Outcome: "refused", Reason: "quota", Count: 1},
	}
	complete := func(n int64) api.JobTally {
		return api.JobTally{Team: "tills", Domain: "lulea", Outcome: "complete", Count: n}
	}
	cases := []struct {
		now  time.Duration
		want []api.JobTally
	}{
		{30 * time.Minute, append(refused[:2:2], complete(2))},
		{61 * time.Minute, append(refused[:2:2], complete(1))},
		{3 * time.Hour, nil},
	}
	for _, c := range cases {
		if got := tally.Counts(c.now); !slices.Equal(got, c.want) {
			t.Errorf("at %v: counts %v, want %v", c.now, got, c.want)
		}
	}
}

func TestMergeTalliesAddsUp(t *testing.T) {
	merged := MergeTallies([]api.JobTally{
		{Team: "tills", Domain: "lulea", Outcome: "complete", Count: 2},
		{Team: "quotes", Domain: "lulea", Outcome: "failed", Reason: "deadline", Count: 1},
		{Team: "tills", Domain: "umea", Outcome: "complete", Count: 1},
		{Team: "tills", Domain: "lulea", Outcome: "complete", Count: 3},
	})
	if len(merged) != 3 || merged[0].Team != "quotes" || merged[1].Count != 5 {
		t.Errorf("merged %v, want 3 counts, quotes first, and 5 for tills in lulea", merged)
	}
}
