package telemetry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// jobDurationBounds are the histogram bucket bounds of response times, in seconds.
// They are narrowest from 50 ms to 1 s, where most tasks end.
var jobDurationBounds = []float64{
	.005, .01, .025, .05, .075, .1, .15, .2, .3, .5, .75, 1, 1.5, 2.5, 5, 10, 30, 60, 300,
}

// DurationBounds returns the bucket bounds, in seconds, for histograms of the durations
// of tasks and jobs. The caller must not change the slice.
func DurationBounds() []float64 { return jobDurationBounds }

// JobMetrics counts the answers of the process to callers and measures response times.
type JobMetrics struct {
	answers  metric.Int64Counter
	duration metric.Float64Histogram
	labels   sync.Map // answerLabels to metric.MeasurementOption
}

// answerLabels are the metric labels of an answer. The key of the job isn't one of
// them, since each key would create a time series; it is in the logs.
type answerLabels struct {
	team    ident.Team
	outcome job.Kind
	reason  job.Reason
}

// NewJobMetrics creates the instruments with the meter. The error is the meter's.
func NewJobMetrics(m metric.Meter) (*JobMetrics, error) {
	answers, errAnswers := m.Int64Counter("foxtaildock.jobs",
		metric.WithDescription("Jobs answered, by team, outcome and reason."))
	duration, errDuration := m.Float64Histogram("foxtaildock.job.duration",
		metric.WithUnit("s"),
		metric.WithDescription("Time from receipt of a submission to its answer."),
		metric.WithExplicitBucketBoundaries(jobDurationBounds...))
	if err := errors.Join(errAnswers, errDuration); err != nil {
		return nil, err
	}
	return &JobMetrics{answers: answers, duration: duration}, nil
}

// Record counts one answer and its response time. The team must be authenticated or
// empty: unauthenticated names are arbitrary, and each would create a time series.
func (j *JobMetrics) Record(ctx context.Context, team ident.Team, o *job.Outcome, took time.Duration) {
	option := j.option(answerLabels{team: team, outcome: o.Kind, reason: o.Reason})
	j.answers.Add(ctx, 1, option)
	j.duration.Record(ctx, took.Seconds(), option)
}

// option returns the attributes of the labels. They are built once for each set of
// labels.
func (j *JobMetrics) option(l answerLabels) metric.MeasurementOption {
	if known, ok := j.labels.Load(l); ok {
		return known.(metric.MeasurementOption)
	}
	option := metric.WithAttributeSet(attribute.NewSet(
		attribute.String("team", string(l.team)),
		attribute.String("outcome", l.outcome.String()),
		attribute.String("reason", string(l.reason)),
	))
	j.labels.Store(l, option)
	return option
}
