package sim

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longestResponse bounds the histograms; longer ones count as this.
	longestResponse = time.Hour
	histogramDigits = 3
	// smallJob is the largest number of tasks in a small job.
	smallJob = 1
)

// responses collects response times of complete jobs in microseconds.
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

// add notes the response of a job that arrived after the warm-up.
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

// Times are response times of one group of jobs.
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

// Messages counts one-way messages; the answer to a call counts as one.
type Messages struct {
	// Needed is two for each job and two for each task, as if no task could
	// run on the worker of its home.
	Needed int
	// Saved are the messages of tasks that did run on the worker of their home.
	Saved int
	// Refused are executions that found no slot, with their answers.
	Refused int
	// Revokes withdraw waiting tasks of jobs that ended early.
	Revokes int
}

// Wasted returns the share of messages beyond those needed.
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
	// TurnedAway counts refusals by entries, those included whose callers came
	// back.
	TurnedAway int
	// Goodput is the share of the slots' time in the middle fifth that went
	// into jobs which completed in it.
	Goodput float64
	// Recovery is the time from the end of the middle fifth to the last refusal
	// or waiting job at an entry.
	Recovery time.Duration
	// TasksOn counts the tasks that each worker started.
	TasksOn []int
	// FaultTasks counts tasks that workers with a fault started while it
	// lasted, after the first 20 of each; FaultAll counts those of all
	// workers in the same time.
	FaultTasks int
	FaultAll   int
	// Back is the time from the end of the last fault until its workers ran
	// half of their fair share; zero if that wasn't seen.
	Back time.Duration
}

// MeanRatio is the mean response by that of the ideal.
func (r *Report) MeanRatio() float64 { return ratio(r.All.Mean, r.Ideal.Mean) }

// P99Ratio is the 99th percentile by that of the ideal.
func (r *Report) P99Ratio() float64 { return ratio(r.All.P99, r.Ideal.P99) }

// SmallP99Ratio is the 99th percentile of small jobs by that of the ideal.
func (r *Report) SmallP99Ratio() float64 { return ratio(r.Small.P99, r.IdealSmall.P99) }

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Figure is one figure of a report.
type Figure struct {
	Name string
	Of   func(*Report) float64
	// decimals is the number of decimals it is printed with.
	decimals int
}

// Format prints the figure over several seeds.
func (f Figure) Format(s Spread) string {
	return fmt.Sprintf("%.*f (%.*f-%.*f)", f.decimals, s.Mean, f.decimals, s.Low, f.decimals, s.High)
}

// Figures returns the figures that foxbench prints.
func Figures() []Figure {
	return []Figure{
		{Name: "mean ratio", Of: (*Report).MeanRatio, decimals: 3},
		{Name: "p99 ratio", Of: (*Report).P99Ratio, decimals: 3},
		{Name: "small p99 ratio", Of: (*Report).SmallP99Ratio, decimals: 3},
		{Name: "wasted messages", Of: func(r *Report) float64 { return r.Messages.Wasted() }, decimals: 4},
		{Name: "saved messages", Of: func(r *Report) float64 { return ratioOf(r.Messages.Saved, r.Messages.Needed) }, decimals: 3},
		{Name: "complete", Of: func(r *Report) float64 { return float64(r.Complete) }},
		{Name: "failed", Of: func(r *Report) float64 { return float64(r.Failed) }},
		{Name: "refused", Of: func(r *Report) float64 { return float64(r.Refused) }},
		{Name: "share on bad worker", Of: func(r *Report) float64 { return ratioOf(r.FaultTasks, r.FaultAll) }, decimals: 4},
		{Name: "small p99 s", Of: func(r *Report) float64 { return r.Small.P99.Seconds() }, decimals: 2},
		{Name: "p99 s", Of: func(r *Report) float64 { return r.All.P99.Seconds() }, decimals: 2},
		{Name: "turned away", Of: func(r *Report) float64 { return float64(r.TurnedAway) }},
		{Name: "goodput, mid fifth", Of: func(r *Report) float64 { return r.Goodput }, decimals: 3},
		{Name: "recovery s", Of: func(r *Report) float64 { return r.Recovery.Seconds() }, decimals: 1},
		{Name: "back after s", Of: func(r *Report) float64 { return r.Back.Seconds() }, decimals: 1},
	}
}

func ratioOf(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
