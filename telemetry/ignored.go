package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// IgnoredKind is a kind of message from outside. The texts are values of a metric label.
type IgnoredKind string

// The kinds of messages that are ignored when they can't be right.
const (
	// IgnoredReport: a report of a backend server about itself.
	IgnoredReport IgnoredKind = "report"
	// IgnoredRunRow: a row of a backend server's lists of runs.
	IgnoredRunRow IgnoredKind = "run row"
	// IgnoredStoreRow: a row of the store.
	IgnoredStoreRow IgnoredKind = "store row"
)

// Ignored counts the messages from outside, or parts of them, that were ignored. A nil value
// counts nothing.
type Ignored struct{ counter metric.Int64Counter }

// NewIgnored creates the counter. The error is that of the meter.
func NewIgnored(m metric.Meter) (*Ignored, error) {
	counter, err := m.Int64Counter("foxtaildock.messages.ignored",
		metric.WithDescription("Messages from outside, or rows of them, that can't be right, by kind."))
	return &Ignored{counter}, err
}

// Add counts messages of a kind.
func (i *Ignored) Add(kind IgnoredKind, count int) {
	if i != nil {
		i.counter.Add(context.Background(), int64(count), metric.WithAttributes(attribute.String("kind", string(kind))))
	}
}
