package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/report"
	"foxtaildock.example/dock/telemetry"
)

// answerCounter counts the answers to callers, for the metrics and for the
// operators' report.
type answerCounter struct {
	origin    time.Time
	jobs      *telemetry.JobMetrics
	tally     report.Tally
	placement atomic.Pointer[placement.Placement]
}

func newAnswerCounter(jobs *telemetry.JobMetrics) *answerCounter {
	return &answerCounter{origin: time.Now(), jobs: jobs}
}

// record counts one answer.
func (c *answerCounter) record(ctx context.Context, team ident.Team, o *job.Outcome, took time.Duration) {
	c.jobs.Record(ctx, team, o, took)
	c.tally.Add(time.Since(c.origin), team, c.domainOf(o.Home), o)
}

// domainOf returns the failure domain of the home that decided an outcome. It is
// empty if the entry decided it or the home isn't in the placement.
func (c *answerCounter) domainOf(home ident.Incarnation) ident.FailureDomain {
	p := c.placement.Load()
	if p == nil || home == "" {
		return ""
	}
	m, _ := p.Member(home)
	return m.Domain
}

// tallies returns the counts of the answers of the last hour.
func (c *answerCounter) tallies() []api.JobTally { return c.tally.Counts(time.Since(c.origin)) }
