package sim

import (
	"slices"
	"time"
)

// recoveryWindow is the number of task starts over which the share of the VMs
// that had the fault is measured after it.
const recoveryWindow = 200

// faultStats counts on which VMs tasks start during a fault and after it.
type faultStats struct {
	active *Fault
	// detectionStarts counts the tasks that each faulty VM has started during
	// the fault.
	detectionStarts map[int]int
	onFaulty        int
	total           int
	endedAt         time.Duration
	lastFault       *Fault
	// recentOnFaulty holds, for each of the latest starts after the fault,
	// whether it was on a VM that had the fault.
	recentOnFaulty []bool
	recoveredAfter time.Duration
}

func (w *world) beginFault(f *Fault) {
	for _, i := range f.Workers {
		w.agents[i].fault = f
		if f.Trouble == FaultOutOfService {
			w.agents[i].setPermit(false)
		}
	}
	w.faults.active = f
	w.faults.detectionStarts = make(map[int]int)
}

func (w *world) endFault(f *Fault) {
	for _, i := range f.Workers {
		w.agents[i].fault = nil
		w.agents[i].setPermit(true)
	}
	w.faults.active = nil
	w.faults.lastFault = f
	w.faults.endedAt = w.events.Now()
}

// countStart counts the start of a task on a VM.
func (w *world) countStart(vm int) {
	w.report.TasksPerVM[vm]++
	l := &w.faults
	if l.active != nil {
		l.countDuringFault(vm)
		return
	}
	if l.lastFault != nil && l.recoveredAfter == 0 {
		l.countAfterFault(w, vm)
	}
}

func (l *faultStats) countDuringFault(vm int) {
	l.total++
	if !slices.Contains(l.active.Workers, vm) {
		return
	}
	l.detectionStarts[vm]++
	if l.detectionStarts[vm] > detectionTasks {
		l.onFaulty++
	}
}

func (l *faultStats) countAfterFault(w *world, vm int) {
	l.recentOnFaulty = append(l.recentOnFaulty, slices.Contains(l.lastFault.Workers, vm))
	if len(l.recentOnFaulty) < recoveryWindow {
		return
	}
	l.recentOnFaulty = l.recentOnFaulty[len(l.recentOnFaulty)-recoveryWindow:]
	on := 0
	for _, onFaulty := range l.recentOnFaulty {
		if onFaulty {
			on++
		}
	}
	fair := float64(len(l.lastFault.Workers)) / float64(w.config.Site.VMs)
	if float64(on)/recoveryWindow >= fair/2 {
		l.recoveredAfter = w.events.Now() - l.endedAt
	}
}
