package load

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowestTime and highestTime bound the recorded times, in microseconds.
	lowestTime  = 1
	highestTime = int64(10 * time.Minute / time.Microsecond)
	// Ratios are recorded in units of 1/ratioScale, up to highestRatio.
	ratioScale   = 1000
	highestRatio = 1_000_000
	// histogramDigits is the number of significant decimal digits of the histograms.
	histogramDigits = 3
)

// Reason is a reason for a job that is not complete, and how often it occurred.
type Reason struct {
	Outcome Outcome
	Reason  string
	Count   int
}

// Summary counts results and their response times.
type Summary struct {
	Jobs     int
	Tasks    int
	Counts   map[Outcome]int
	Reasons  []Reason
	Attempts int
	times    *hdrhistogram.Histogram
	ratios   *hdrhistogram.Histogram
}

// Summarize counts the results. slots is the number of slots in the system, from which
// the ideal response time of a job follows.
func Summarize(results []Result, slots int) *Summary {
	s := &Summary{
		Counts: make(map[Outcome]int),
		times:  hdrhistogram.New(lowestTime, highestTime, histogramDigits),
		ratios: hdrhistogram.New(1, highestRatio, histogramDigits),
	}
	reasons := make(map[Reason]int)
	for _, r := range results {
		s.Jobs++
		s.Tasks += len(r.Job.Tasks)
		s.Attempts += r.Attempts
		s.Counts[r.Outcome]++
		if r.Outcome == Complete {
			s.record(r, slots)
			continue
		}
		reasons[Reason{Outcome: r.Outcome, Reason: cmp.Or(r.Reason, r.Detail)}]++
	}
	for reason, count := range reasons {
		reason.Count = count
		s.Reasons = append(s.Reasons, reason)
	}
	slices.SortFunc(s.Reasons, func(a, b Reason) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return s
}

func (s *Summary) record(r Result, slots int) {
	_ = s.times.RecordValue(max(r.Took.Microseconds(), lowestTime))
	ideal := r.Job.Ideal(slots)
	if ideal <= 0 {
		return
	}
	ratio := int64(float64(r.Took) / float64(ideal) * ratioScale)
	_ = s.ratios.RecordValue(min(max(ratio, 1), highestRatio))
}

// Time returns a percentile (0 to 100) of the response time of complete jobs.
func (s *Summary) Time(percentile float64) time.Duration {
	return time.Duration(s.times.ValueAtQuantile(percentile)) * time.Microsecond
}

// Ratio returns a percentile (0 to 100) of the ratio of response time to Job.Ideal of
// complete jobs.
func (s *Summary) Ratio(percentile float64) float64 {
	return float64(s.ratios.ValueAtQuantile(percentile)) / ratioScale
}

// Text returns the summary, in lines narrow enough for a phone.
func (s *Summary) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "jobs      %d (%d tasks)\n", s.Jobs, s.Tasks)
	for _, o := range []Outcome{Complete, Refused, Failed, Rejected, Unanswered} {
		if n := s.Counts[o]; n > 0 || o == Complete || o == Refused || o == Failed {
			fmt.Fprintf(&b, "%-9s %d\n", o, n)
		}
	}
	for _, r := range s.Reasons {
		fmt.Fprintf(&b, "  %s: %s %d\n", r.Outcome, r.Reason, r.Count)
	}
	fmt.Fprintf(&b, "sent      %d times\n", s.Attempts)
	fmt.Fprintf(&b, "took      p50 %s p99 %s\n", formatDuration(s.Time(50)), formatDuration(s.Time(99)))
	fmt.Fprintf(&b, "/ ideal   p50 %.2f p99 %.2f\n", s.Ratio(50), s.Ratio(99))
	return b.String()
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
