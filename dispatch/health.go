package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Constants of the health of executors.
const (
	// failureGain is the weight of the newest answer in the failure rate, an
	// exponentially weighted average.
	failureGain = 0.25
	// failureExcess is how far the failure rate of an executor may exceed the
	// median of the fleet. If all executors fail alike, none is avoided.
	failureExcess = 0.5
	// failurePrior is the number of successful answers that an executor is
	// assumed to have had at the start.
	failurePrior = 1
	// slowFactor is how many times the fleet's median pace the pace of an
	// executor may be before it counts as a straggler.
	slowFactor = 2
	// fleetRefresh is the interval at which the medians are computed.
	fleetRefresh = 100 * time.Millisecond
)

// Intervals between the tasks that an avoided executor gets as probes, in tasks of
// the home. The interval is probeAfterGood after a good answer, probeInitial once
// the executor becomes avoided, and doubles up to probeMax with each bad answer.
const (
	probeAfterGood = 20
	probeInitial   = 200
	probeMax       = 1600
	// probeUrgentFactor is the number of further intervals after which a straggler
	// is probed with an urgent task, if no other task came.
	probeUrgentFactor = 4
)

// fleetMedians holds the medians over all executors, with which each executor is
// compared. Medians are unaffected while less than half of the executors are bad,
// and follow once more are.
type fleetMedians struct {
	at      time.Duration
	failure float64
	pace    time.Duration
	known   bool
}

// refresh computes the medians if they are old.
func (f *fleetMedians) refresh(now time.Duration, executors []*executorState) {
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

// executorHealth is the health of one executor as this home has observed it.
type executorHealth struct {
	answers int
	failure float64
	pace    time.Duration
	// probeIn is the number of the home's tasks until the next probe is due.
	probeIn  int
	interval int
}

// addAnswer updates the health from the answer to one task.
func (h *executorHealth) addAnswer(f *fleetMedians, r Report) {
	if !r.Started || r.Late {
		return
	}
	wasAvoided := h.avoided(f)
	h.updateFailureRate(r.Failed)
	h.scheduleProbe(f, r, wasAvoided)
}

func (h *executorHealth) updateFailureRate(failed bool) {
	h.answers++
	gain := max(failureGain, 1/float64(h.answers+failurePrior))
	value := 0.0
	if failed {
		value = 1
	}
	h.failure += gain * (value - h.failure)
}

// scheduleProbe sets when an avoided executor is probed next: soon after a good
// answer, later after each bad one.
func (h *executorHealth) scheduleProbe(f *fleetMedians, r Report, wasAvoided bool) {
	if !h.avoided(f) {
		h.interval = 0
		return
	}
	good := !r.Failed && r.Ran < slowFactor*f.pace
	switch {
	case !wasAvoided || h.interval == 0:
		h.interval = probeInitial
	case good:
		h.interval = probeAfterGood
	default:
		h.interval = min(probeMax, 2*max(h.interval, probeInitial/2))
	}
	h.probeIn = h.interval
}

// failing reports whether the executor's failure rate exceeds that of the fleet by
// more than failureExcess.
func (h *executorHealth) failing(f *fleetMedians) bool {
	return h.failure-f.failure > failureExcess
}

// excessPace returns how far the executor's pace exceeds slowFactor times the
// fleet's median pace, in multiples of the median; zero if it does not.
func (h *executorHealth) excessPace(f *fleetMedians) float64 {
	if f.pace == 0 {
		return 0
	}
	return max(0, float64(h.pace)/float64(f.pace)-slowFactor)
}

// avoided reports whether the executor gets only probes, as long as the other
// executors can take the load.
func (h *executorHealth) avoided(f *fleetMedians) bool { return h.failing(f) || h.excessPace(f) > 0 }

// probeDue counts one task of the home and reports whether the executor may get
// it as a probe. A failing executor is probed with urgent tasks. A straggler is
// probed with tasks that are not urgent, which belong to large jobs and lose the
// least by the delay; an urgent task is used only after probeUrgentFactor further
// intervals.
func (h *executorHealth) probeDue(f *fleetMedians, urgent bool) bool {
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
	return !urgent || h.probeIn < -probeUrgentFactor*h.interval
}

// probed restarts the countdown after the executor got a probe.
func (h *executorHealth) probed() { h.probeIn = max(1, h.interval) }
