package dispatcher

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

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
	refused    metric.Int64Counter
	claims     metric.Float64Histogram
	// fleet holds the figures of the fleet's load that the gauges read at each scrape.
	fleet atomic.Pointer[[]schedule.FleetFigure]
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
	refused, errRefused := m.Int64Counter("foxtaildock.jobs.refused", metric.WithDescription("Jobs rejected, by reason and priority."))
	claims, errClaims := m.Float64Histogram("foxtaildock.claim.duration",
		metric.WithUnit("s"), metric.WithDescription("Time that arbiters take to answer the claim of a job, by whether they name another holder."),
		metric.WithExplicitBucketBoundaries(telemetry.DurationBounds()...))
	metrics := &Metrics{jobs: jobs, latency: latency, firstStart: firstStart, refused: refused, claims: claims}
	return metrics, errors.Join(errJobs, errLatency, errFirst, errRefused, errClaims, metrics.observeFleet(m))
}

// observeFleet creates the gauges of the fleet's load. They have no value while too few agents
// report.
func (m *Metrics) observeFleet(meter metric.Meter) error {
	waiting, errWaiting := meter.Float64ObservableGauge("foxtaildock.fleet.waiting_work", metric.WithDescription("Work that waits for the entry's agents, in core-seconds, by service and priority."))
	running, errRunning := meter.Float64ObservableGauge("foxtaildock.fleet.running_share", metric.WithDescription("Share of the capacity of the entry's agents that runs use, by service and priority."))
	age, errAge := meter.Float64ObservableGauge("foxtaildock.fleet.load_age", metric.WithUnit("s"), metric.WithDescription("Age of the oldest figure of the agents' loads."))
	if err := errors.Join(errWaiting, errRunning, errAge); err != nil {
		return err
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		figures := m.fleet.Load()
		if figures == nil || len(*figures) == 0 {
			return nil
		}
		var oldest time.Duration
		for _, f := range *figures {
			labels := metric.WithAttributes(attribute.String("service", string(f.Service)), attribute.Int("priority", int(f.Priority)))
			o.ObserveFloat64(waiting, float64(f.WaitingCPUMs)/cpuMsPerCoreSecond, labels)
			o.ObserveFloat64(running, f.RunningShare, labels)
			oldest = max(oldest, f.Age)
		}
		o.ObserveFloat64(age, oldest.Seconds())
		return nil
	}, waiting, running, age)
	return err
}

// cpuMsPerCoreSecond is one core for a second, in thousandths of a core times milliseconds.
const cpuMsPerCoreSecond = 1e6

// setFleet sets the figures of the fleet's load.
func (m *Metrics) setFleet(figures []schedule.FleetFigure) {
	if m != nil {
		m.fleet.Store(&figures)
	}
}

func (m *Metrics) recordAnswer(a schedule.Answer) {
	if m == nil {
		return
	}
	verdict := attribute.String("verdict", a.Verdict.String())
	m.jobs.Add(context.Background(), 1, metric.WithAttributes(verdict, attribute.String("reason", a.Reason)))
	m.latency.Record(context.Background(), a.Waited.Seconds(), metric.WithAttributes(verdict))
	if a.Verdict == schedule.Rejected {
		m.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", a.Reason), attribute.Int("priority", int(a.Priority))))
	}
	if a.FirstStart >= 0 {
		m.firstStart.Record(context.Background(), a.FirstStart.Seconds())
	}
}

// recordClaim records how long a claim took, and whether another entry holds the job.
func (m *Metrics) recordClaim(took time.Duration, held bool) {
	if m != nil {
		m.claims.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.Bool("held", held)))
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
		{Name: "foxtaildock.entry.runs.taken_back", Help: "Waiting runs taken back from full agents.", Counter: true, Read: func() int64 { return int64(d.stats.Load().TakenBack) }},
		{Name: "foxtaildock.entry.runs.moved", Help: "Runs stopped since they could not end before their backend servers.", Counter: true, Read: func() int64 { return int64(d.stats.Load().Moved) }},
		{Name: "foxtaildock.operator.age", Help: "Milliseconds since the store confirmed the operators' rows.", Read: func() int64 {
			_, age, _ := d.view.current()
			return age.Milliseconds()
		}},
	}
}
