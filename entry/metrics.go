package entry

import (
	"go.opentelemetry.io/otel/metric"

	"foxtaildock.example/dock/routing"
	"foxtaildock.example/dock/telemetry"
)

// RegisterMetrics registers the metrics of the entry.
func (e *Entry) RegisterMetrics(m metric.Meter) error {
	counter := telemetry.Counters(e.counters)
	_, err := telemetry.Observe(m, []telemetry.Observed{
		counter("dock_entry_requests", "Requests of callers that were routed.", func(s routing.Stats) uint64 { return s.Requests }),
		counter("dock_entry_calls", "Calls to homes.", func(s routing.Stats) uint64 { return s.Calls }),
		counter("dock_entry_resends", "Calls made again after a failure.", func(s routing.Stats) uint64 { return s.Resends }),
		counter("dock_entry_redirects", "Answers that named another home.", func(s routing.Stats) uint64 { return s.Redirects }),
		counter("dock_entry_late_answers", "Answers to calls that were given up.", func(s routing.Stats) uint64 { return s.LateAnswers }),
		{Name: "dock_entry_requests_in_flight", Help: "Requests without an answer.", Read: e.InFlight},
		{Name: "dock_entry_bytes_in_flight", Help: "Bytes of request bodies held.", Read: e.bytes.Load},
	})
	return err
}

func (e *Entry) counters() routing.Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
