package agent

import (
	"go.opentelemetry.io/otel/metric"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/telemetry"
)

// RegisterMetrics registers the agent's metrics. The returned function
// unregisters them, for a process that continues under a new incarnation. The
// error says which metric could not be registered.
func (a *Agent) RegisterMetrics(m metric.Meter) (func(), error) {
	return telemetry.Observe(m, append(a.gate.observed(), a.home.observed()...))
}

func (g *gateLoop) observed() []telemetry.Observed {
	counter := telemetry.Counters(g.counters)
	gauge := telemetry.Gauges(g.load)
	return []telemetry.Observed{
		counter("dock_gate_tasks_started", "Tasks sent to the backend server.", func(s gate.Stats) uint64 { return s.Started }),
		counter("dock_gate_tasks_finished", "Tasks that the backend server has ended.", func(s gate.Stats) uint64 { return s.Finished }),
		counter("dock_gate_tasks_failed", "Tasks without a usable result.", func(s gate.Stats) uint64 { return s.Failed }),
		counter("dock_gate_tasks_refused", "Attempts that the gate refused without starting them.", func(s gate.Stats) uint64 { return s.Refused }),
		counter("dock_gate_attached", "Repeated requests that attached to a note.", func(s gate.Stats) uint64 { return s.Attached }),
		gauge("dock_gate_slots", "Slots of the backend server.", func(l gate.Load) int { return l.Slots }),
		gauge("dock_gate_slots_free", "Idle slots.", func(l gate.Load) int { return l.Free }),
		gauge("dock_gate_tasks_queued", "Tasks waiting for a slot at the gate.", func(l gate.Load) int { return l.Queued }),
	}
}

func (h *homeLoop) observed() []telemetry.Observed {
	counter := telemetry.Counters(h.counters)
	gauge := telemetry.Gauges(h.load)
	return []telemetry.Observed{
		counter("dock_home_jobs_accepted", "Jobs accepted by this home.", func(s home.Stats) uint64 { return s.Accepted }),
		counter("dock_home_jobs_complete", "Jobs answered whole.", func(s home.Stats) uint64 { return s.Complete }),
		counter("dock_home_jobs_failed", "Jobs that may have run and have no whole answer.", func(s home.Stats) uint64 { return s.Failed }),
		counter("dock_home_jobs_refused", "Jobs of which nothing was started.", func(s home.Stats) uint64 { return s.Refused }),
		counter("dock_home_tasks_moved", "Tasks placed again after a gate sealed an attempt.", func(s home.Stats) uint64 { return s.TasksMoved }),
		counter("dock_home_late_answers", "Answers dropped since they were late or crossed.", func(s home.Stats) uint64 { return s.LateAnswers }),
		counter("dock_home_seals", "Seals given to newer homes.", func(s home.Stats) uint64 { return s.Sealed }),
		gauge("dock_home_tasks_waiting", "Tasks waiting at the home.", func(l home.Load) int { return l.Waiting }),
		gauge("dock_home_records", "Job records kept.", func(l home.Load) int { return l.Records }),
	}
}
