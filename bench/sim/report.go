package sim

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestResponse is the largest value of the histograms. Longer response
	// times count as this.
	longestResponse = time.Hour
	histogramDigits = 3
	// smallJob is the maximum number of tasks of a small job.
	smallJob = 1
)

// responses collects the response times of complete jobs in microseconds. Jobs
// that arrive during the warm-up are left out.
type responses struct {
	warmUp time.Duration
	all    *hdr.Histogram
	small  *hdr.Histogram
}

func newResponses(warmUp time.Duration) *responses {
	return &responses{warmUp: warmUp, all: newHistogram(), small: newHistogram()}
}

func newHistogram() *hdr.Histogram {
	return hdr.New(1, longestResponse.Microseconds(), histogramDigits)
}

// add records the response time of a job that arrived after the warm-up.
func (r *responses) add(job *Job, took time.Duration) {
	if job.At < r.warmUp {
		return
	}
	us := max(1, min(took, longestResponse).Microseconds())
	_ = r.all.RecordValue(us)
	if len(job.Tasks) <= smallJob && job.Key.Team != FloodTeam {
		_ = r.small.RecordValue(us)
	}
}

// Times holds the response times of one group of jobs.
type Times struct {
	Jobs int64
	Mean time.Duration
	P50  time.Duration
	P99  time.Duration
}

func timesOf(h *hdr.Histogram) Times {
	return Times{
		Jobs: h.TotalCount(),
		Mean: time.Duration(h.Mean() * float64(time.Microsecond)),
		P50:  time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		P99:  time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
	}
}

// Messages counts one-way messages. A call and its answer count as two.
type Messages struct {
	// Needed is two for each job and two for each task, as if no task ran on
	// the VM of its home.
	Needed int
	// Saved counts the messages of the tasks that ran on the VM of their home.
	Saved int
	// Refused counts executions that the gate of another VM refused, with their
	// answers.
	Refused int
	// Revokes counts the messages that revoke waiting tasks of jobs that ended
	// early.
	Revokes int
}

// Wasted returns the refused and revoking messages as a share of those needed.
func (m Messages) Wasted() float64 {
	if m.Needed == 0 {
		return 0
	}
	return float64(m.Refused+m.Revokes) / float64(m.Needed)
}

// Report is the result of one run.
type Report struct {
	Policy     Policy
	All        Times
	Small      Times
	Ideal      Times
	IdealSmall Times
	Messages   Messages
	Complete   int
	Failed     int
	Refused    int
	// RefusedByEntries counts all refusals by entries, including those after
	// which the caller submitted the job again.
	RefusedByEntries int
	// Goodput is the share of the slots' time in the middle fifth of the trace
	// that was used for jobs that completed in it.
	Goodput float64
	// Recovery is the time from the end of the middle fifth until the last
	// refusal by an entry or the last job that waited at one.
	Recovery time.Duration
	// TasksPerVM counts the tasks that each VM started.
	TasksPerVM []int
	// FaultTasks counts the tasks that VMs with a fault started during the
	// fault, after the first 20 of each. FaultAll counts those that all VMs
	// started in the same time.
	FaultTasks int
	FaultAll   int
	// RecoveredAfter is the time from the end of the last fault until the VMs
	// that had it started half of their fair share of the tasks; zero if they
	// never did.
	RecoveredAfter time.Duration
}

// MeanRatio returns the mean response time divided by that of the ideal
// scheduler.
func (r *Report) MeanRatio() float64 { return ratio(r.All.Mean, r.Ideal.Mean) }

// P99Ratio returns the 99th percentile divided by that of the ideal scheduler.
func (r *Report) P99Ratio() float64 { return ratio(r.All.P99, r.Ideal.P99) }

// SmallP99Ratio returns the 99th percentile of small jobs divided by that of
// the ideal scheduler.
func (r *Report) SmallP99Ratio() float64 { return ratio(r.Small.P99, r.IdealSmall.P99) }

// ratio returns a divided by b, or zero if b is zero.
func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Figure is one figure of a report. Value computes it.
type Figure struct {
	Name  string
	Value func(*Report) float64
	// decimals is the number of decimals to print.
	decimals int
}

// Format formats the mean and the range of the figure over several seeds.
func (f Figure) Format(s Spread) string {
	return fmt.Sprintf("%.*f (%.*f-%.*f)", f.decimals, s.Mean, f.decimals, s.Low, f.decimals, s.High)
}

// Figures returns the figures that foxbench prints, in order.
func Figures() []Figure {
	return []Figure{
		{Name: "mean ratio", Value: (*Report).MeanRatio, decimals: 3},
		{Name: "p99 ratio", Value: (*Report).P99Ratio, decimals: 3},
		{Name: "small p99 ratio", Value: (*Report).SmallP99Ratio, decimals: 3},
		{Name: "wasted messages", Value: func(r *Report) float64 { return r.Messages.Wasted() }, decimals: 4},
		{Name: "saved messages", Value: func(r *Report) float64 { return ratioOf(r.Messages.Saved, r.Messages.Needed) }, decimals: 3},
		{Name: "complete", Value: func(r *Report) float64 { return float64(r.Complete) }},
		{Name: "failed", Value: func(r *Report) float64 { return float64(r.Failed) }},
		{Name: "refused", Value: func(r *Report) float64 { return float64(r.Refused) }},
		{Name: "share on faulty VM", Value: func(r *Report) float64 { return ratioOf(r.FaultTasks, r.FaultAll) }, decimals: 4},
		{Name: "small p99 s", Value: func(r *Report) float64 { return r.Small.P99.Seconds() }, decimals: 2},
		{Name: "p99 s", Value: func(r *Report) float64 { return r.All.P99.Seconds() }, decimals: 2},
		{Name: "turned away", Value: func(r *Report) float64 { return float64(r.RefusedByEntries) }},
		{Name: "goodput, mid fifth", Value: func(r *Report) float64 { return r.Goodput }, decimals: 3},
		{Name: "recovery s", Value: func(r *Report) float64 { return r.Recovery.Seconds() }, decimals: 1},
		{Name: "back after s", Value: func(r *Report) float64 { return r.RecoveredAfter.Seconds() }, decimals: 1},
	}
}

func ratioOf(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
