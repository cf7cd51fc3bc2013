package sim

import (
	"slices"
	"time"
)

// backAfter is the number of tasks over which the share of a worker that came
// back is measured.
const backAfter = 200

// faultLog counts where tasks start while a fault lasts and after it.
type faultLog struct {
	active *Fault
	// first counts the tasks each bad worker drew at the start.
	first map[int]int
	on    int
	all   int
	ended time.Duration
	last  *Fault
	// window holds, for the latest starts after the fault, whether each was on
	// a worker that had it.
	window []bool
	back   time.Duration
}

func (w *world) beginFault(f *Fault) {
	for _, i := range f.Workers {
		w.agents[i].fault = f
		if f.Trouble == Out {
			w.agents[i].setPermit(false)
		}
	}
	w.faults.active = f
	w.faults.first = make(map[int]int)
}

func (w *world) endFault(f *Fault) {
	for _, i := range f.Workers {
		w.agents[i].fault = nil
		w.agents[i].setPermit(true)
	}
	w.faults.active = nil
	w.faults.last = f
	w.faults.ended = w.events.Now()
}

// started notes that a worker started a task.
func (w *world) started(worker int) {
	w.report.TasksOn[worker]++
	l := &w.faults
	if l.active != nil {
		l.during(worker)
		return
	}
	if l.last != nil && l.back == 0 {
		l.after(w, worker)
	}
}

func (l *faultLog) during(worker int) {
	l.all++
	if !slices.Contains(l.active.Workers, worker) {
		return
	}
	l.first[worker]++
	if l.first[worker] > firstTasks {
		l.on++
	}
}

func (l *faultLog) after(w *world, worker int) {
	l.window = append(l.window, slices.Contains(l.last.Workers, worker))
	if len(l.window) < backAfter {
		return
	}
	l.window = l.window[len(l.window)-backAfter:]
	on := 0
	for _, yes := range l.window {
		if yes {
			on++
		}
	}
	fair := float64(len(l.last.Workers)) / float64(w.config.Site.Workers)
	if float64(on)/backAfter >= fair/2 {
		l.back = w.events.Now() - l.ended
	}
}
