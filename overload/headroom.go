// Package overload decides what to do with the waiting work of one service when capacity
// is short: how much capacity less urgent work leaves free, which jobs of a priority are
// put off, and which are refused. It is pure: it has no clock and no I/O, and knows neither
// callers nor agents. Package schedule applies the decisions.
package overload

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// largeQuantile is the percentile of the jobs of a priority that headroom is kept for.
	largeQuantile = 90
	// maxNeedMilli bounds the histogram of needs, in thousandths of a core.
	maxNeedMilli = 1 << 32
	// needDigits limits the error of a need to 1 % and a histogram to 30 KB.
	needDigits = 2
	// halveAt is the number of samples at which a histogram is halved, so that newer jobs
	// count more.
	halveAt = 2000
	// refreshEvery is the number of samples after which the quantile is computed anew.
	refreshEvery = 16
)

// quantile is a percentile of a bounded, slowly forgetting histogram. The percentile is
// kept between samples because finding it walks the whole histogram.
type quantile struct {
	percentile float64 // 0 stands for largeQuantile
	histogram  *hdrhistogram.Histogram
	stale      int
	value      int64
}

func (q *quantile) record(v int64) {
	if q.histogram == nil {
		q.histogram = hdrhistogram.New(1, maxNeedMilli, needDigits)
	}
	if q.histogram.RecordValue(min(max(v, 1), maxNeedMilli)) != nil {
		return
	}
	if q.histogram.TotalCount() >= halveAt {
		s := q.histogram.Export()
		for i := range s.Counts {
			s.Counts[i] /= 2
		}
		q.histogram = hdrhistogram.Import(s)
	}
	if q.stale++; q.value == 0 || q.stale >= refreshEvery {
		q.stale = 0
		q.value = q.histogram.ValueAtQuantile(cmp.Or(q.percentile, largeQuantile))
	}
}

// Need is the capacity that one large job of a priority takes at once, in thousandths of
// a core.
type Need struct {
	// Milli is the demand of all tasks of the job that can start together.
	Milli int64
	// TaskMilli is the demand of one task. Room on a server counts in whole tasks.
	TaskMilli int64
}

// Usable returns the part of a server's free capacity that the job can use, which is a
// whole number of its tasks.
func (n Need) Usable(freeMilli int64) int64 {
	if n.TaskMilli <= 0 || freeMilli <= 0 {
		return max(freeMilli, 0)
	}
	return freeMilli / n.TaskMilli * n.TaskMilli
}

// Needs tracks the needs of the jobs of one service and priority, and when work of it last
// found too little free capacity.
type Needs struct {
	job                      quantile
	taskMilli                int64 // of the last job that was at least as large as the quantile
	shortage, shortageInTime event
}

// Record counts a job that has arrived.
func (n *Needs) Record(job Need) {
	n.job.record(job.Milli)
	if 100*job.Milli >= 99*n.job.value || n.taskMilli == 0 { // the value has an error of 1 %
		n.taskMilli = job.TaskMilli
	}
}

// Large returns what one large job needs, in whole tasks. It is zero before the first job.
func (n *Needs) Large() Need {
	need := Need{TaskMilli: n.taskMilli}
	need.Milli = need.Usable(n.job.value)
	return need
}

// Shortage records that work found too little free capacity: work that can still end in
// time, or work that was put off.
func (n *Needs) Shortage(now time.Duration, inTime bool) {
	n.shortage.set(now)
	if inTime {
		n.shortageInTime.set(now)
	}
}

// shortageMemory is how long headroom is kept after urgent work has found too little.
const shortageMemory = time.Second

// Short reports whether work found too little free capacity within the last second.
func (n *Needs) Short(now time.Duration) bool { return n.shortage.recent(now) }

// ShortInTime is Short for work that can still end in time.
func (n *Needs) ShortInTime(now time.Duration) bool { return n.shortageInTime.recent(now) }

// event is the time of the last event of a kind.
type event struct {
	at   time.Duration
	seen bool
}

func (e *event) set(now time.Duration) { e.at, e.seen = now, true }

func (e *event) recent(now time.Duration) bool { return e.seen && now-e.at <= shortageMemory }

// maxReservedShare bounds the reservation on a small fleet. Reserved capacity is idle between
// urgent jobs, and on 11 servers one large urgent job is an eighth of the fleet: the least
// urgent jobs lost more than the urgent ones gained.
const maxReservedShare = 0.05

// Reserved returns the part of the need that less urgent work leaves free on servers with
// the given total capacity.
func (n Need) Reserved(capacityMilli int64) int64 {
	return min(n.Milli, int64(maxReservedShare*float64(capacityMilli)))
}
