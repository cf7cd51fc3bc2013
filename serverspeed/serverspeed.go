// Package serverspeed tracks the speed of a backend server by the run times of its tasks. It
// has no clock and no I/O. Agents (package run) and entries (package schedule) use it.
package serverspeed

import (
	"math"
	"time"
)

// Range of the speed of a backend server, as run time divided by the expected run time.
// Samples and reported figures outside of it are limited to it.
const (
	Min = 0.25
	Max = 8
)

const (
	// speedWeight is the weight of one sample once there are enough of them. Estimates are
	// off by up to 40 %. With 0.06, the figures of equal servers differed by up to 1.7 times.
	speedWeight = 0.025
	// slowWeight is the weight from the slowStreak-th outlier in a row on. So many in a row
	// are no stragglers, so the server has become slow.
	slowWeight = 0.25
	slowStreak = 3
	// outlierLimit is the multiple of the average to which one sample is limited. It doubles
	// once for a second sample in a row that exceeds it: one straggler moves the average by
	// a few percent, while a server that has become four times as slow is detected within six
	// tasks.
	outlierLimit = 2
	// recoveryWeight is the weight of a sample below recoveryShare of the average. Errors of
	// the estimates don't reach this far, so the server has become faster.
	recoveryWeight = 0.5
	recoveryShare  = 0.5
)

// Average is a moving average of the ratio of run time to expected run time of the tasks
// that have ended on one backend server. The zero value has no samples.
type Average struct {
	value    float64
	samples  uint32
	outliers int // samples in a row that exceeded the limit
	at       time.Duration
}

// Value returns the average, 1 if there are no samples.
func (s *Average) Value() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.value
}

// Samples returns the number of samples.
func (s *Average) Samples() uint32 { return s.samples }

// At returns the time of the last sample.
func (s *Average) At() time.Duration { return s.at }

// limit counts the outliers in a row, and returns the ratio limited accordingly.
func (s *Average) limit(value, ratio float64) float64 {
	limit := outlierLimit * value
	if ratio <= limit {
		s.outliers = 0
		return ratio
	}
	s.outliers++
	if s.outliers > 1 {
		limit *= 2
	}
	return min(ratio, limit)
}

// Add adds the ratio of one task that has ended. A ratio that is not a positive finite
// number is ignored.
func (s *Average) Add(now time.Duration, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	value := s.Value()
	ratio = min(max(ratio, Min), Max)
	ratio = s.limit(value, ratio)
	// The first samples are averaged with one assumed sample of normal speed.
	weight := max(speedWeight, 1/float64(s.samples+2))
	if s.outliers >= slowStreak {
		weight = max(weight, slowWeight)
	}
	if ratio < recoveryShare*value {
		weight = max(weight, recoveryWeight)
	}
	s.value = value + weight*(ratio-value)
	s.samples++
	s.at = now
}
