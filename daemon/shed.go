package daemon

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/intake"
	"foxtaildock.example/dock/telemetry"
)

// shedReport is told about connections and requests that give way or are refused before their
// jobs are considered.
type shedReport interface {
	shed(reason intake.Reason)
}

// noReport tells nobody.
type noReport struct{}

func (noReport) shed(intake.Reason) {}

// shedLogInterval is the interval between two log lines of the same listener and reason, since
// a crowd would fill the log.
const shedLogInterval = time.Second

// shedLog counts and logs what was shed at a listener. It is safe for concurrent use.
type shedLog struct {
	listener string
	log      *telemetry.Logger
	counter  metric.Int64Counter
	mu       sync.Mutex
	tallies  map[intake.Reason]*shedTally
}

// shedTally is what was shed for a reason since the last log line, at a time by package clock.
type shedTally struct {
	count  int
	logged time.Duration
}

func newShedLog(listener string, log *telemetry.Logger, counter metric.Int64Counter) *shedLog {
	return &shedLog{listener: listener, log: log, counter: counter, tallies: map[intake.Reason]*shedTally{}}
}

// newShedCounter creates the counter of what is shed. The error is that of the meter.
func newShedCounter(m metric.Meter) (metric.Int64Counter, error) {
	return m.Int64Counter("foxtaildock.callers.shed",
		metric.WithDescription("Connections closed and requests refused before their jobs were considered, by listener and reason."))
}

func (s *shedLog) shed(reason intake.Reason) {
	s.counter.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("listener", s.listener), attribute.String("reason", string(reason))))
	if reason == intake.ConnectionIdle {
		return // usual: callers keep connections for their next requests
	}
	if total := s.due(reason); total > 0 {
		s.log.Warn("callers shed", telemetry.Listener(s.listener), telemetry.ReasonText(string(reason)), telemetry.Count(total))
	}
}

// due adds to the tally of a reason, and returns it if it is to be logged now, else 0. What comes
// after the last line of a crowd is logged with the next one; the metric has it at once.
func (s *shedLog) due(reason intake.Reason) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	t := s.tallies[reason]
	if t == nil {
		t = &shedTally{logged: now - shedLogInterval}
		s.tallies[reason] = t
	}
	t.count++
	if now-t.logged < shedLogInterval {
		return 0
	}
	total := t.count
	t.count, t.logged = 0, now
	return total
}
