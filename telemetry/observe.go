package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// Observed is one number that is read when the metrics are scraped.
type Observed struct {
	Name string
	Help string
	// Counter is true if the number only grows.
	Counter bool
	// Read returns the number now. It is called from any goroutine.
	Read func() int64
}

// Observe registers numbers. The returned function ends the registration, for a
// process that goes on under a new incarnation.
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

// Counters returns a function that makes counters out of the fields of one
// snapshot, such as the statistics of a core.
func Counters[S any](snapshot func() S) func(name, help string, field func(S) uint64) Observed {
	return func(name, help string, field func(S) uint64) Observed {
		return Observed{Name: name, Help: help, Counter: true, Read: func() int64 { return int64(field(snapshot())) }}
	}
}

// Gauges is Counters for numbers that go up and down.
func Gauges[S any](snapshot func() S) func(name, help string, field func(S) int) Observed {
	return func(name, help string, field func(S) int) Observed {
		return Observed{Name: name, Help: help, Read: func() int64 { return int64(field(snapshot())) }}
	}
}
