package proof

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/load"
)

// Proof is one scenario that tests a guarantee of the system under faults.
type Proof struct {
	Name string
	// Guarantee is the guarantee under "What must always hold" that the proof
	// tests. Every proof also checks starts, answers and refusals.
	Guarantee string
	// Scenario describes the faults in one line.
	Scenario string
	// Spec describes the system that the proof runs on.
	Spec cluster.Spec
	// Run injects the faults and checks their consequences. The error lists the
	// checks that failed.
	Run func(ctx context.Context, b *Testbed) error
}

// The guarantees that the proofs test.
const (
	guaranteeOnce     = "every task starts at most once"
	guaranteeComplete = "answer is complete and belongs to its job"
	guaranteeRefusal  = "refused job has not started"
	guaranteeGraceful = "planned stop breaks no job or connection"
	guaranteeDomain   = "no start in withdrawn domain"
	guaranteeDrain    = "drained backend server gets no work"
	guaranteeConfig   = "accepted change never reverts"
	guaranteeOutage   = "no job fails in a platform outage"
)

// Verdict is the outcome of one proof.
type Verdict string

// The verdicts.
const (
	// Passed means that all checks of the proof passed.
	Passed Verdict = "held"
	// Failed means that a check of the proof failed.
	Failed Verdict = "FELL SHORT"
	// NotRun means that the system could not be started.
	NotRun Verdict = "not run"
)

// Report is the result of one proof.
type Report struct {
	Proof   Proof
	Seed    uint64
	Verdict Verdict
	Err     error
	// Took is the time from the start of the system to the end of the proof.
	Took time.Duration
	// Stall is the longest time for which this process got no processor. The
	// system under test got none either, so a verdict after a long stall is
	// unreliable.
	Stall time.Duration
	// Summary counts the results. It is nil if the proof was not run.
	Summary *load.Summary
	// Dir holds the settings, logs and ledgers of the run.
	Dir string
}

// minReportedStall is the shortest stall that a report mentions.
const minReportedStall = time.Second

// maxErrorLines bounds the lines of an error that a report shows.
const maxErrorLines = 4

// Text returns the report as one line, with the first lines of the error and the path of
// the logs below it unless the proof passed.
func (r Report) Text() string {
	line := fmt.Sprintf("%-10s %s | %s | seed %d | %s%s",
		r.Verdict, r.Proof.Guarantee, r.Proof.Scenario, r.Seed, r.Took.Round(time.Second), r.counts())
	if r.Verdict == Passed {
		return line
	}
	lines := strings.Split(r.Err.Error(), "\n")
	shown := lines[:min(len(lines), maxErrorLines)]
	for _, l := range shown {
		line += "\n  " + l
	}
	if rest := len(lines) - len(shown); rest > 0 {
		line += fmt.Sprintf("\n  and %d more", rest)
	}
	return line + "\n  logs: " + r.Dir
}

func (r Report) counts() string {
	text := ""
	if r.Stall > minReportedStall {
		text = fmt.Sprintf(", machine stalled %v", r.Stall.Round(100*time.Millisecond))
	}
	if r.Summary == nil {
		return text
	}
	s := r.Summary
	text += fmt.Sprintf(", jobs %d, failed %d, refused %d", s.Jobs, s.Counts[load.Failed], s.Counts[load.Refused])
	var reasons []string
	for _, reason := range s.Reasons {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason.Reason, reason.Count))
	}
	if len(reasons) > 0 {
		text += " (" + strings.Join(reasons, ", ") + ")"
	}
	return text
}

// All returns every proof in the order in which they run.
func All() []Proof {
	return slices.Concat(processProofs(), linkProofs(), platformProofs(), backendProofs(), gracefulProofs(), domainProofs(), loadProofs(), resubmitProofs())
}

// Select returns the proofs whose name contains the text.
func Select(proofs []Proof, text string) []Proof {
	return slices.DeleteFunc(slices.Clone(proofs), func(p Proof) bool {
		return !strings.Contains(p.Name, text)
	})
}

// Execute runs one proof on a system of its own. It removes the directory of a proof
// that passed.
func Execute(ctx context.Context, opts Options, p Proof) (report Report) {
	began := time.Now()
	report = Report{Proof: p, Seed: opts.Seed, Verdict: Passed, Dir: filepath.Join(opts.Dir, p.Name)}
	stalls := watchStalls()
	defer func() {
		report.Took = time.Since(began)
		report.Stall = stalls.stop()
	}()
	bed, err := NewTestbed(ctx, opts, p.Name, p.Spec)
	if err != nil {
		report.Verdict, report.Err = NotRun, err
		return report
	}
	report.Err = p.Run(ctx, bed)
	bed.Close()
	report.Summary = load.Summarize(bed.Results(), p.Spec.Agents*bed.Cluster.Spec.Slots)
	if report.Err != nil {
		report.Verdict = Failed
		return report
	}
	_ = os.RemoveAll(report.Dir)
	return report
}

// defaultSpec is the system that most proofs run on.
func defaultSpec() cluster.Spec { return cluster.Spec{Entries: 2, Agents: 3} }
