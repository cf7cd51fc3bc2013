package durations

import (
	"math"
	"time"
)

// Range of the speed of a backend server, as run time divided by the expected run time.
// Samples and reported figures outside of it are limited to it.
const (
	MinSpeed = 0.25
	MaxSpeed = 8
)

const (
	// speedWeight is the weight of one sample once there are enough of them. Estimates are
	// off by up to 40 %, so the average has to cover some 30 tasks to be exact to 5 %.
	speedWeight = 0.06
	// outlierLimit is the multiple of the average to which one sample is limited. It doubles
	// with each further sample in a row that exceeds it: one straggler moves the average by
	// a few percent, while a server that has become slow is detected within six tasks.
	outlierLimit = 2
	// recoveryWeight is the weight of a sample below recoveryShare of the average. Errors of
	// the estimates don't reach this far, so the server has become faster.
	recoveryWeight = 0.5
	recoveryShare  = 0.5
)

// Speed is a moving average of the ratio of run time to expected run time of the tasks
// that have ended on one backend server. The zero value has no samples.
type Speed struct {
	value    float64
	samples  uint32
	outliers int // samples in a row that exceeded the limit
	at       time.Duration
}

// Value returns the average, 1 if there are no samples.
func (s *Speed) Value() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.value
}

// Samples returns the number of samples.
func (s *Speed) Samples() uint32 { return s.samples }

// At returns the time of the last sample.
func (s *Speed) At() time.Duration { return s.at }

// Add adds the ratio of one task that has ended. A ratio that is not a positive finite
// number is ignored.
func (s *Speed) Add(now time.Duration, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	value := s.Value()
	ratio = min(max(ratio, MinSpeed), MaxSpeed)
	if limit := value * math.Ldexp(outlierLimit, s.outliers); ratio > limit {
		ratio = limit
		s.outliers++
	} else if ratio <= value*outlierLimit {
		s.outliers = 0
	}
	// The first samples are averaged with one assumed sample of normal speed.
	weight := max(speedWeight, 1/float64(s.samples+2))
	if ratio < recoveryShare*value {
		weight = max(weight, recoveryWeight)
	}
	s.value = value + weight*(ratio-value)
	s.samples++
	s.at = now
}
