package dispatcher

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
)

// Metrics are the counters and histograms of an entry. A nil value counts nothing.
type Metrics struct {
	jobs       metric.Int64Counter
	latency    metric.Float64Histogram
	firstStart metric.Float64Histogram
}

// NewMetrics creates the instruments. It returns an error if one can't be created.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	jobs, errJobs := m.Int64Counter("foxtaildock.jobs", metric.WithDescription("Jobs answered, by verdict and reason."))
	latency, errLatency := m.Float64Histogram("foxtaildock.job.duration",
		metric.WithUnit("s"), metric.WithDescription("Time from the arrival of a job to its answer, by verdict."),
		metric.WithExplicitBucketBoundaries(telemetry.DurationBounds()...))
	firstStart, errFirst := m.Float64Histogram("foxtaildock.job.first_start",
		metric.WithUnit("s"), metric.WithDescription("Time from the arrival of a job to its first offer."),
		metric.WithExplicitBucketBoundaries(telemetry.DurationBounds()...))
	return &Metrics{jobs: jobs, latency: latency, firstStart: firstStart}, errors.Join(errJobs, errLatency, errFirst)
}

func (m *Metrics) recordAnswer(a schedule.Answer) {
	if m == nil {
		return
	}
	verdict := attribute.String("verdict", a.Verdict.String())
	m.jobs.Add(context.Background(), 1, metric.WithAttributes(verdict, attribute.String("reason", a.Reason)))
	m.latency.Record(context.Background(), a.Waited.Seconds(), metric.WithAttributes(verdict))
	if a.FirstStart >= 0 {
		m.firstStart.Record(context.Background(), a.FirstStart.Seconds())
	}
}

// Observed returns the gauges of the entry, which are read at each scrape.
func (d *Dispatcher) Observed() []telemetry.Observed {
	return []telemetry.Observed{
		{Name: "foxtaildock.entry.jobs", Help: "Jobs under way.", Read: func() int64 { return int64(d.stats.Load().Jobs) }},
		{Name: "foxtaildock.entry.waiting", Help: "Jobs with tasks that wait.", Read: func() int64 { return int64(d.stats.Load().Waiting) }},
		{Name: "foxtaildock.entry.put_off", Help: "Waiting jobs that are put off.", Read: func() int64 { return int64(d.stats.Load().PutOff) }},
		{Name: "foxtaildock.entry.held_back", Help: "Searches for room that ended because the free room is reserved for more urgent work.", Counter: true, Read: func() int64 { return int64(d.stats.Load().HeldBack) }},
		{Name: "foxtaildock.entry.subset.wanted", Help: "Agents that the entry wants to use.", Read: func() int64 { return d.subsetWanted.Load() }},
		{Name: "foxtaildock.entry.subset.usable", Help: "Agents that the entry can use.", Read: func() int64 { return d.subsetUsable.Load() }},
		{Name: "foxtaildock.entry.agents", Help: "Agents that are known.", Read: func() int64 { return int64(d.stats.Load().Agents) }},
		{Name: "foxtaildock.operator.age", Help: "Milliseconds since the store confirmed the operators' rows.", Read: func() int64 {
			_, age, _ := d.view.current()
			return age.Milliseconds()
		}},
	}
}
