package link

import (
	"fmt"
	"math"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// Limits of figures that can be right.
const (
	// maxPriorities is the maximum number of priorities in a load and of figures of waiting
	// work in a heartbeat.
	maxPriorities = 64
	// maxCPUMs is the largest work of one figure: a million cores for a day. Sums over all
	// agents of an entry and all priorities stay within 64 bits.
	maxCPUMs = 1e14
	// maxRunningMilli is the largest demand of one figure: a million cores.
	maxRunningMilli = 1e9
	// maxWait is the longest wait or age of a figure.
	maxWait = 24 * time.Hour
)

// LoadMessage converts an agent's load to its message.
func LoadMessage(l run.Load) *linkpb.Load {
	m := &linkpb.Load{Entries: uint32(l.Entries), AgeMs: l.Age.Milliseconds()}
	for _, p := range l.Priorities {
		m.Priorities = append(m.Priorities, &linkpb.PriorityLoad{
			Priority: int32(p.Priority), RunningCpuMilli: p.RunningMilli,
			WaitingCpuMs: p.WaitingCPUMs, OldestMs: p.Oldest.Milliseconds(),
		})
	}
	return m
}

// LoadOf converts the message of an agent's load. It returns an error if a figure can't be
// right; the others can't be used then either, since part of a load looks like a smaller one.
func LoadOf(m *linkpb.Load) (run.Load, error) {
	l := run.Load{Entries: int(m.GetEntries()), Age: Millis(m.GetAgeMs())}
	if n := len(m.GetPriorities()); n > maxPriorities {
		return run.Load{}, fmt.Errorf("load of %d priorities, want at most %d", n, maxPriorities)
	}
	if err := checkWait(m.GetAgeMs()); err != nil {
		return run.Load{}, fmt.Errorf("age of a load: %w", err)
	}
	seen := map[int32]bool{}
	for _, p := range m.GetPriorities() {
		if err := checkFigures(p.GetWaitingCpuMs(), p.GetOldestMs()); err != nil {
			return run.Load{}, fmt.Errorf("load of priority %d: %w", p.GetPriority(), err)
		}
		if running := p.GetRunningCpuMilli(); running < 0 || running > maxRunningMilli {
			return run.Load{}, fmt.Errorf("load of priority %d: running demand %d, want between 0 and %.0e", p.GetPriority(), running, float64(maxRunningMilli))
		}
		if seen[p.GetPriority()] {
			return run.Load{}, fmt.Errorf("two figures for priority %d", p.GetPriority())
		}
		seen[p.GetPriority()] = true
		l.Priorities = append(l.Priorities, run.PriorityLoad{
			Priority: work.Priority(p.GetPriority()), RunningMilli: p.GetRunningCpuMilli(),
			WaitingCPUMs: p.GetWaitingCpuMs(), Oldest: Millis(p.GetOldestMs()),
		})
	}
	return l, nil
}

// WaitingMessages converts the work that waits at an entry to its messages.
func WaitingMessages(waiting []run.WaitingWork) []*linkpb.WaitingWork {
	var list []*linkpb.WaitingWork
	for _, w := range waiting {
		list = append(list, &linkpb.WaitingWork{
			Service: string(w.Service), Priority: int32(w.Priority), CpuMs: w.CPUMs, OldestMs: w.Oldest.Milliseconds(),
		})
	}
	return list
}

// WaitingOf converts the messages of the work that waits at an entry. It returns an error if a
// figure can't be right, since the rest would look like less work.
func WaitingOf(list []*linkpb.WaitingWork) ([]run.WaitingWork, error) {
	if n := len(list); n > maxPriorities {
		return nil, fmt.Errorf("waiting work of %d priorities, want at most %d", n, maxPriorities)
	}
	type class struct {
		service  string
		priority int32
	}
	seen := map[class]bool{}
	var waiting []run.WaitingWork
	for _, w := range list {
		key := class{w.GetService(), w.GetPriority()}
		if seen[key] {
			return nil, fmt.Errorf("two figures for waiting work of service %q, priority %d", key.service, key.priority)
		}
		seen[key] = true
		if err := checkFigures(w.GetCpuMs(), w.GetOldestMs()); err != nil {
			return nil, fmt.Errorf("waiting work of service %q, priority %d: %w", w.GetService(), w.GetPriority(), err)
		}
		waiting = append(waiting, run.WaitingWork{
			Service: ident.Service(w.GetService()), Priority: work.Priority(w.GetPriority()),
			CPUMs: w.GetCpuMs(), Oldest: Millis(w.GetOldestMs()),
		})
	}
	return waiting, nil
}

// checkFigures returns an error if the work or the longest wait can't be right.
func checkFigures(cpuMs float64, oldestMs int64) error {
	if math.IsNaN(cpuMs) || cpuMs < 0 || cpuMs > maxCPUMs {
		return fmt.Errorf("work %v, want between 0 and %.0e", cpuMs, float64(maxCPUMs))
	}
	return checkWait(oldestMs)
}

// checkWait returns an error if a wait or an age in milliseconds can't be right.
func checkWait(ms int64) error {
	if ms < 0 || ms > maxWait.Milliseconds() {
		return fmt.Errorf("%d ms, want between 0 and %d", ms, maxWait.Milliseconds())
	}
	return nil
}
