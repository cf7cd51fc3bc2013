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

// outcomeNoAnswer is the outcome of jobs whose answer was lost. The outcomes
// with an answer are in package api.
const outcomeNoAnswer = "no answer"

// outcomeNotAccepted is the outcome of requests that ended with an error other
// than a lost answer, such as malformed ones.
const outcomeNotAccepted = "not taken"

// loadSummary counts the outcomes of many jobs. add may be called from any
// goroutine, the other methods only after the last call of add.
type loadSummary struct {
	mu      sync.Mutex
	Jobs    int           `json:"jobs"`
	Tasks   int           `json:"tasks"`
	Elapsed time.Duration `json:"elapsed_ns"`
	// MedianMS, P99MS and MaxMS are response times of complete jobs in
	// milliseconds.
	MedianMS float64      `json:"median_ms"`
	P99MS    float64      `json:"p99_ms"`
	MaxMS    float64      `json:"max_ms"`
	Outcomes []loadResult `json:"outcomes"`
	times    []time.Duration
	counts   map[loadResultKey]int
	worst    exitCode
}

// loadResultKey is the key by which jobs are counted.
type loadResultKey struct{ outcome, reason string }

// loadResult is the number of jobs with one outcome and reason.
type loadResult struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Jobs    int    `json:"jobs"`
}

func newLoadSummary() *loadSummary {
	return &loadSummary{counts: make(map[loadResultKey]int)}
}

// add counts the outcome of one job. took is its response time.
func (s *loadSummary) add(r *api.JobRequest, a *api.JobAnswer, err error, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Jobs++
	s.Tasks += len(r.Tasks)
	key, code := classifyAnswer(a, err)
	s.counts[key]++
	s.worst = max(s.worst, code)
	if key.outcome == api.OutcomeComplete {
		s.times = append(s.times, took)
	}
}

func classifyAnswer(a *api.JobAnswer, err error) (loadResultKey, exitCode) {
	code := errorExit(err)
	switch code {
	case exitDone:
		return loadResultKey{a.Outcome, a.Reason}, answerExit(a)
	case exitNoAnswer:
		return loadResultKey{outcome: outcomeNoAnswer}, code
	default:
		return loadResultKey{outcomeNotAccepted, err.Error()}, code
	}
}

// show writes the summary and returns the highest exit code of any job.
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
		p.LabelledValue("response", fmt.Sprintf("median %.0f ms, p99 %.0f ms, max %.0f ms", s.MedianMS, s.P99MS, s.MaxMS))
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

// finish computes Outcomes, ordered by falling number of jobs, and the response
// times.
func (s *loadSummary) finish() {
	for key, n := range s.counts {
		s.Outcomes = append(s.Outcomes, loadResult{Outcome: key.outcome, Reason: key.reason, Jobs: n})
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
