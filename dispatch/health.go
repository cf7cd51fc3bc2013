package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Constants of the judgement of executors.
const (
	// failureGain is the weight of the newest answer in the failure rate.
	failureGain = 0.25
	// failureExcess is how far the failure rate of an executor may exceed the
	// median of the fleet. A fleet that fails throughout stays in use.
	failureExcess = 0.5
	// failurePrior is the number of successes that an executor starts with.
	failurePrior = 1
	// slowFactor is how many times slower than the fleet an executor may be
	// without any disadvantage.
	slowFactor = 2
	// fleetRefresh is how often the medians are computed.
	fleetRefresh = 100 * time.Millisecond
)

// Intervals between the tasks that an avoided executor gets, in tasks of the
// home. They double while it does badly.
const (
	probeSoon  = 20
	probeFirst = 200
	probeLast  = 1600
	// probeAnyway is the factor after which a straggler gets an urgent task,
	// if no other task has come.
	probeAnyway = 4
)

// fleet is what is normal among the executors. Medians stay normal while less
// than half of the executors do badly, and follow when more do.
type fleet struct {
	at      time.Duration
	failure float64
	pace    time.Duration
	known   bool
}

// refresh computes the medians if they are old.
func (f *fleet) refresh(now time.Duration, executors []*executorState) {
	if f.known && now-f.at < fleetRefresh {
		return
	}
	f.at = now
	var failures []float64
	var paces []time.Duration
	for _, e := range executors {
		failures = append(failures, e.health.failure)
		if e.health.pace > 0 {
			paces = append(paces, e.health.pace)
		}
	}
	f.failure = median(failures)
	f.pace = median(paces)
	f.known = true
}

// median returns the lower median, or zero if there are no values.
func median[T cmp.Ordered](values []T) T {
	if len(values) == 0 {
		var zero T
		return zero
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// record is what this home has seen of one executor.
type record struct {
	answers int
	failure float64
	pace    time.Duration
	// probeIn counts down the home's tasks until the executor gets one.
	probeIn  int
	interval int
}

// note takes the answer to one task.
func (h *record) note(f *fleet, r Report) {
	if !r.Started || r.Late {
		return
	}
	wasAvoided := h.avoided(f)
	h.noteFailure(r.Failed)
	h.schedule(f, r, wasAvoided)
}

func (h *record) noteFailure(failed bool) {
	h.answers++
	gain := max(failureGain, 1/float64(h.answers+failurePrior))
	value := 0.0
	if failed {
		value = 1
	}
	h.failure += gain * (value - h.failure)
}

// schedule sets when an avoided executor gets its next task: soon after a good
// answer, later after each bad one.
func (h *record) schedule(f *fleet, r Report, wasAvoided bool) {
	if !h.avoided(f) {
		h.interval = 0
		return
	}
	good := !r.Failed && r.Ran < slowFactor*f.pace
	switch {
	case !wasAvoided || h.interval == 0:
		h.interval = probeFirst
	case good:
		h.interval = probeSoon
	default:
		h.interval = min(probeLast, 2*max(h.interval, probeFirst/2))
	}
	h.probeIn = h.interval
}

// failing reports whether the executor fails far more than the fleet.
func (h *record) failing(f *fleet) bool {
	return h.failure-f.failure > failureExcess
}

// delay returns how many run times a task loses here against the fleet; zero
// within the tolerance.
func (h *record) delay(f *fleet) float64 {
	if f.pace == 0 {
		return 0
	}
	return max(0, float64(h.pace)/float64(f.pace)-slowFactor)
}

// avoided reports whether the executor gets no more than its probes, as long as
// the others can take the load.
func (h *record) avoided(f *fleet) bool { return h.failing(f) || h.delay(f) > 0 }

// probeDue counts one task of the home and reports whether the executor may get
// it. A straggler gets tasks of large jobs if it can, which lose the least by
// it, and a failing executor those of small ones.
func (h *record) probeDue(f *fleet, urgent bool) bool {
	if !h.avoided(f) {
		return false
	}
	h.probeIn--
	switch {
	case h.probeIn > 0:
		return false
	case h.failing(f):
		return urgent
	}
	return !urgent || h.probeIn < -probeAnyway*h.interval
}

// probed notes that the executor got a task.
func (h *record) probed() { h.probeIn = max(1, h.interval) }
