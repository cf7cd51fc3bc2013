package agent

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"
)

// instruments are the metrics of an agent, read from the duties when scraped.
type instruments struct {
	started, finished, failed, refused, attached metric.Int64ObservableCounter
	accepted, complete, jobFailed, jobRefused    metric.Int64ObservableCounter
	moved, late, sealed                          metric.Int64ObservableCounter
	slots, free, queued, waiting, records        metric.Int64ObservableGauge
}

// RegisterMetrics makes the agent's instruments. The returned function ends the
// registration, for a process that goes on under a new incarnation.
func (a *Agent) RegisterMetrics(m metric.Meter) (func(), error) {
	var in instruments
	if err := in.create(m); err != nil {
		return nil, fmt.Errorf("agent metrics: %w", err)
	}
	registration, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		in.observeGate(a, o)
		in.observeHome(a, o)
		return nil
	}, in.all()...)
	if err != nil {
		return nil, fmt.Errorf("agent metrics: %w", err)
	}
	return func() { _ = registration.Unregister() }, nil
}

// namedCounter pairs a counter with its name and description.
type namedCounter struct {
	at   *metric.Int64ObservableCounter
	name string
	help string
}

// namedGauge pairs a gauge with its name and description.
type namedGauge struct {
	at   *metric.Int64ObservableGauge
	name string
	help string
}

func (in *instruments) counters() []namedCounter {
	return []namedCounter{
		{&in.started, "dock_gate_tasks_started", "Tasks sent to the backend server."},
		{&in.finished, "dock_gate_tasks_finished", "Tasks that the backend server has ended."},
		{&in.failed, "dock_gate_tasks_failed", "Tasks without a usable result."},
		{&in.refused, "dock_gate_tasks_refused", "Attempts that the gate refused without starting them."},
		{&in.attached, "dock_gate_attached", "Repeated requests that attached to a note."},
		{&in.accepted, "dock_home_jobs_accepted", "Jobs accepted by this home."},
		{&in.complete, "dock_home_jobs_complete", "Jobs answered whole."},
		{&in.jobFailed, "dock_home_jobs_failed", "Jobs that may have run and have no whole answer."},
		{&in.jobRefused, "dock_home_jobs_refused", "Jobs of which nothing was started."},
		{&in.moved, "dock_home_tasks_moved", "Tasks placed again after a gate sealed an attempt."},
		{&in.late, "dock_home_late_answers", "Answers dropped since they were late or crossed."},
		{&in.sealed, "dock_home_seals", "Seals given to newer homes."},
	}
}

func (in *instruments) gauges() []namedGauge {
	return []namedGauge{
		{&in.slots, "dock_gate_slots", "Slots of the backend server."},
		{&in.free, "dock_gate_slots_free", "Idle slots."},
		{&in.queued, "dock_gate_tasks_queued", "Tasks waiting for a slot at the gate."},
		{&in.waiting, "dock_home_tasks_waiting", "Tasks waiting at the home."},
		{&in.records, "dock_home_records", "Job records kept."},
	}
}

func (in *instruments) create(m metric.Meter) error {
	for _, c := range in.counters() {
		inst, err := m.Int64ObservableCounter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return err
		}
		*c.at = inst
	}
	for _, g := range in.gauges() {
		inst, err := m.Int64ObservableGauge(g.name, metric.WithDescription(g.help))
		if err != nil {
			return err
		}
		*g.at = inst
	}
	return nil
}

func (in *instruments) all() []metric.Observable {
	var out []metric.Observable
	for _, c := range in.counters() {
		out = append(out, *c.at)
	}
	for _, g := range in.gauges() {
		out = append(out, *g.at)
	}
	return out
}

func (in *instruments) observeGate(a *Agent, o metric.Observer) {
	s := a.gate.counters()
	o.ObserveInt64(in.started, int64(s.Started))
	o.ObserveInt64(in.finished, int64(s.Finished))
	o.ObserveInt64(in.failed, int64(s.Failed))
	o.ObserveInt64(in.refused, int64(s.Refused))
	o.ObserveInt64(in.attached, int64(s.Attached))
	l := a.gate.load()
	o.ObserveInt64(in.slots, int64(l.Slots))
	o.ObserveInt64(in.free, int64(l.Free))
	o.ObserveInt64(in.queued, int64(l.Queued))
}

func (in *instruments) observeHome(a *Agent, o metric.Observer) {
	s := a.home.counters()
	o.ObserveInt64(in.accepted, int64(s.Accepted))
	o.ObserveInt64(in.complete, int64(s.Complete))
	o.ObserveInt64(in.jobFailed, int64(s.Failed))
	o.ObserveInt64(in.jobRefused, int64(s.Refused))
	o.ObserveInt64(in.moved, int64(s.TasksMoved))
	o.ObserveInt64(in.late, int64(s.LateAnswers))
	o.ObserveInt64(in.sealed, int64(s.Sealed))
	l := a.home.load()
	o.ObserveInt64(in.waiting, int64(l.Waiting))
	o.ObserveInt64(in.records, int64(l.Records))
}
