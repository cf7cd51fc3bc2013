package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/report"
)

// outcomeLost is the outcome of jobs without an answer, beside those of package
// api.
const outcomeLost = "no answer"

// outcomeNotTaken is the outcome of requests that were not taken.
const outcomeNotTaken = "not taken"

// loadSummary is what became of many jobs. add may be called from any
// goroutine.
type loadSummary struct {
	mu      sync.Mutex
	Jobs    int           `json:"jobs"`
	Tasks   int           `json:"tasks"`
	Elapsed time.Duration `json:"elapsed_ns"`
	// MedianMS and the others are response times of complete jobs.
	MedianMS float64      `json:"median_ms"`
	P99MS    float64      `json:"p99_ms"`
	MaxMS    float64      `json:"max_ms"`
	Outcomes []loadResult `json:"outcomes"`
	times    []time.Duration
	counts   map[loadKind]int
	worst    exitCode
}

// loadKind tells results apart.
type loadKind struct{ outcome, reason string }

// loadResult is how many jobs ended in one way.
type loadResult struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Jobs    int    `json:"jobs"`
}

func newLoadSummary() *loadSummary {
	return &loadSummary{counts: make(map[loadKind]int)}
}

// add counts what became of one job.
func (s *loadSummary) add(r *api.JobRequest, a *api.JobAnswer, err error, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Jobs++
	s.Tasks += len(r.Tasks)
	kind, code := kindOf(a, err)
	s.counts[kind]++
	s.worst = max(s.worst, code)
	if kind.outcome == api.OutcomeComplete {
		s.times = append(s.times, took)
	}
}

func kindOf(a *api.JobAnswer, err error) (loadKind, exitCode) {
	code := errorExit(err)
	switch code {
	case exitDone:
		return loadKind{a.Outcome, a.Reason}, answerExit(a)
	case exitLost:
		return loadKind{outcome: outcomeLost}, code
	default:
		return loadKind{outcomeNotTaken, err.Error()}, code
	}
}

// show writes the summary.
func (s *loadSummary) show(c *console) (exitCode, error) {
	s.finish()
	if c.json {
		return s.worst, c.printJSON(s)
	}
	p := c.printer()
	p.Heading(fmt.Sprintf("%d jobs, %d tasks, %s", s.Jobs, s.Tasks, s.Elapsed.Round(10*time.Millisecond)))
	p.Table(s.table())
	if len(s.times) > 0 {
		p.Blank()
		p.Pair("response", fmt.Sprintf("median %.0f ms, p99 %.0f ms, max %.0f ms", s.MedianMS, s.P99MS, s.MaxMS))
	}
	return s.worst, nil
}

func (s *loadSummary) table() *report.Table {
	t := &report.Table{Columns: []report.Column{{Title: "jobs", Right: true}, {Title: "outcome"}, {Title: "why"}}}
	for _, r := range s.Outcomes {
		t.AddCells(report.Cell{Text: strconv.Itoa(r.Jobs)},
			report.Cell{Text: r.Outcome, Style: outcomeStyle(r.Outcome)},
			report.Cell{Text: r.Reason})
	}
	return t
}

// finish computes what is shown.
func (s *loadSummary) finish() {
	for kind, n := range s.counts {
		s.Outcomes = append(s.Outcomes, loadResult{Outcome: kind.outcome, Reason: kind.reason, Jobs: n})
	}
	slices.SortFunc(s.Outcomes, func(a, b loadResult) int {
		return cmp.Or(cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	slices.Sort(s.times)
	s.MedianMS = s.quantile(0.5)
	s.P99MS = s.quantile(0.99)
	s.MaxMS = s.quantile(1)
}

// quantile returns a quantile of the sorted response times in milliseconds.
func (s *loadSummary) quantile(q float64) float64 {
	if len(s.times) == 0 {
		return 0
	}
	i := int(q * float64(len(s.times)-1))
	return float64(s.times[i]) / float64(time.Millisecond)
}
