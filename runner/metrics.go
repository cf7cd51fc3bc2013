package runner

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// Metrics holds the counters and histograms of an agent. A nil value records nothing.
type Metrics struct {
	runs     metric.Int64Counter
	crashed  metric.Int64Counter
	duration metric.Float64Histogram
	calls    metric.Float64Histogram
}

// NewMetrics creates the instruments. The error joins those of the meter.
func NewMetrics(m metric.Meter) (*Metrics, error) {
	runs, errRuns := m.Int64Counter("foxtaildock.runs", metric.WithDescription("Runs ended, by outcome."))
	crashed, errCrashed := m.Int64Counter("foxtaildock.runs.crashed", metric.WithDescription("Runs that went down with their backend server."))
	duration, errDuration := m.Float64Histogram("foxtaildock.run.duration",
		metric.WithUnit("s"), metric.WithDescription("Time from the order to start to the end of a run."),
		metric.WithExplicitBucketBoundaries(telemetry.DurationBounds()...))
	calls, errCalls := m.Float64Histogram("foxtaildock.backend.call.duration",
		metric.WithUnit("s"), metric.WithDescription("Time of the calls to the backend server, by call and by whether it was answered."),
		metric.WithExplicitBucketBoundaries(telemetry.DurationBounds()...))
	return &Metrics{runs: runs, crashed: crashed, duration: duration, calls: calls}, errors.Join(errRuns, errCrashed, errDuration, errCalls)
}

func (m *Metrics) observeRun(a run.Report) {
	if m == nil {
		return
	}
	m.runs.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", a.Outcome.String())))
	if a.Outcome == work.Lost && run.ServerWentDown(a.Reason) {
		m.crashed.Add(context.Background(), 1)
	}
	if a.Outcome == work.Done {
		m.duration.Record(context.Background(), a.Ran.Seconds())
	}
}

func (m *Metrics) observeCall(order string, took time.Duration, err error) {
	if m == nil {
		return
	}
	m.calls.Record(context.Background(), took.Seconds(),
		metric.WithAttributes(attribute.String("order", order), attribute.Bool("answered", err == nil)))
}

// Observed returns the values of the agent that are read at each scrape.
func (r *Runner) Observed() []telemetry.Observed {
	return []telemetry.Observed{
		{Name: "foxtaildock.agent.entries", Help: "Entries with a session.", Read: func() int64 { return r.attached.Load() }},
		{Name: "foxtaildock.agent.events.rejected", Help: "Reports turned away by a busy agent.", Counter: true, Read: func() int64 { return int64(r.rejected.Load()) }},
		{Name: "foxtaildock.agent.server.speed", Help: "Run time on the backend server in thousandths of the expected time, 0 if unknown.", Read: func() int64 { return r.speedMilli.Load() }},
		{Name: "foxtaildock.operator.version", Help: "Store's version of the operators' rows.", Read: func() int64 { return int64(r.operatorVersion.Load()) }},
		{Name: "foxtaildock.operator.age", Help: "Milliseconds since the store confirmed the operators' rows.", Read: func() int64 { return r.OperatorAge().Milliseconds() }},
	}
}
