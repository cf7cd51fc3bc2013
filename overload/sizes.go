package overload

import (
	"math"
	"time"
)

// Class is the size class of a job within its route.
type Class int

// The size classes.
const (
	Rest Class = iota
	NextFifth
	LargestTenth
	classes
)

const (
	// shareWindow is the time constant with which served shares are forgotten.
	shareWindow = 10 * time.Second
	// maxShareGap is how far the served share of a class may be below that of its route.
	maxShareGap = 0.10
	// minShareJobs is the number of recent jobs of a class below which its share says too
	// little: with 10 jobs its standard error is about 0.15.
	minShareJobs = 10
)

// Sizes tracks how the jobs of a route have fared by size.
type Sizes struct {
	work   quantile // largest tenth
	fifth  quantile // largest tenth and next fifth
	counts [classes]struct{ ended, inTime float64 }
	at     time.Duration
}

// Classify returns the size class of an arriving job with the given work, in any unit, and
// counts its size.
func (s *Sizes) Classify(work int64) Class {
	s.fifth.percentile = 70
	s.work.record(work)
	s.fifth.record(work)
	switch {
	case s.work.histogram.TotalCount() < minShareJobs:
		return Rest
	case work >= s.work.value:
		return LargestTenth
	case work >= s.fifth.value:
		return NextFifth
	}
	return Rest
}

// Ended counts a job that was answered, in time or not.
func (s *Sizes) Ended(now time.Duration, c Class, inTime bool) {
	s.decay(now)
	s.counts[c].ended++
	if inTime {
		s.counts[c].inTime++
	}
}

func (s *Sizes) decay(now time.Duration) {
	f := math.Exp(-float64(now-s.at) / float64(shareWindow))
	s.at = now
	for i := range s.counts {
		s.counts[i].ended *= f
		s.counts[i].inTime *= f
	}
}

// Protected reports whether the jobs of a class have lately fared worse than those of the
// whole route by more than maxShareGap.
func (s *Sizes) Protected(now time.Duration, c Class) bool {
	s.decay(now)
	if s.counts[c].ended < minShareJobs {
		return false
	}
	var ended, inTime float64
	for i := range s.counts {
		ended += s.counts[i].ended
		inTime += s.counts[i].inTime
	}
	return s.counts[c].inTime/s.counts[c].ended < inTime/ended-maxShareGap
}
