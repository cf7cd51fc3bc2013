package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// Observed is a metric whose value is read when the metrics are scraped.
type Observed struct {
	// Name and Help are the name and the description of the metric.
	Name string
	Help string
	// Counter is true for a counter, whose value never decreases, and false for
	// a gauge.
	Counter bool
	// Read returns the current value. It must be safe for concurrent use.
	Read func() int64
}

// Observe registers the metrics. The returned function unregisters them, for a process
// that continues under a new incarnation. The error says which metric could not be
// created, or that the callback could not be registered.
func Observe(m metric.Meter, list []Observed) (func(), error) {
	instruments := make([]metric.Int64Observable, 0, len(list))
	observables := make([]metric.Observable, 0, len(list))
	for i := range list {
		instrument, err := list[i].create(m)
		if err != nil {
			return nil, fmt.Errorf("metric %s: %w", list[i].Name, err)
		}
		instruments = append(instruments, instrument)
		observables = append(observables, instrument)
	}
	registration, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for i := range list {
			o.ObserveInt64(instruments[i], list[i].Read())
		}
		return nil
	}, observables...)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return func() { _ = registration.Unregister() }, nil
}

func (o *Observed) create(m metric.Meter) (metric.Int64Observable, error) {
	if o.Counter {
		return m.Int64ObservableCounter(o.Name, metric.WithDescription(o.Help))
	}
	return m.Int64ObservableGauge(o.Name, metric.WithDescription(o.Help))
}

// Counters returns a function that makes counters from the fields of a snapshot, such
// as the statistics of a decision core.
func Counters[S any](snapshot func() S) func(name, help string, field func(S) uint64) Observed {
	return func(name, help string, field func(S) uint64) Observed {
		return Observed{Name: name, Help: help, Counter: true, Read: func() int64 { return int64(field(snapshot())) }}
	}
}

// Gauges is like Counters but makes gauges.
func Gauges[S any](snapshot func() S) func(name, help string, field func(S) int) Observed {
	return func(name, help string, field func(S) int) Observed {
		return Observed{Name: name, Help: help, Read: func() int64 { return int64(field(snapshot())) }}
	}
}
