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

// Proof is one scenario that puts a promise to the test.
type Proof struct {
	Name string
	// Promise is the point under "What must always hold" that is at stake. In
	// every proof, starts, answers and refusals are checked as well.
	Promise  string
	Scenario string
	// Shape says what system is needed.
	Shape cluster.Spec
	// Run does the harm and checks what followed.
	Run func(ctx context.Context, b *Bed) error
}

// The promises of the proofs.
const (
	promiseOnce     = "starts at most once"
	promiseWhole    = "own whole answer"
	promiseRefusal  = "refusal is true"
	promiseGraceful = "planned stop cuts nothing"
	promiseDomain   = "no start in withdrawn domain"
	promiseDrain    = "leaving server gets no work"
	promiseConfig   = "accepted change never reverts"
	promiseOutage   = "platform outage harms no job"
)

// Verdict is the end of one proof.
type Verdict string

// The verdicts.
const (
	Held      Verdict = "held"
	FellShort Verdict = "FELL SHORT"
	// NotRun means that the system could not be started.
	NotRun Verdict = "not run"
)

// Report is the result of one proof.
type Report struct {
	Proof   Proof
	Seed    uint64
	Verdict Verdict
	Err     error
	Took    time.Duration
	// Stall is the longest time for which this process got no processor. The
	// system under test had none either, so a verdict after a long one says
	// little.
	Stall   time.Duration
	Summary *load.Summary
	// Dir has the settings, logs and ledgers of the run.
	Dir string
}

// reportedStall is the shortest stall that is worth telling.
const reportedStall = time.Second

// maxErrorLines bounds what is shown of an error.
const maxErrorLines = 4

// Text is one line, and, unless the proof held, a few more that say why.
func (r Report) Text() string {
	line := fmt.Sprintf("%-10s %s | %s | seed %d | %s%s",
		r.Verdict, r.Proof.Promise, r.Proof.Scenario, r.Seed, r.Took.Round(time.Second), r.counts())
	if r.Verdict == Held {
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
	if r.Stall > reportedStall {
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
	return slices.Concat(processProofs(), linkProofs(), platformProofs(), backendProofs(), leaveProofs(), domainProofs(), loadProofs(), againProofs())
}

// Select returns the proofs whose name contains the text.
func Select(proofs []Proof, text string) []Proof {
	return slices.DeleteFunc(slices.Clone(proofs), func(p Proof) bool {
		return !strings.Contains(p.Name, text)
	})
}

// Execute runs one proof on a system of its own. The directory of a proof that
// held is removed.
func Execute(ctx context.Context, opts Options, p Proof) (report Report) {
	began := time.Now()
	report = Report{Proof: p, Seed: opts.Seed, Verdict: Held, Dir: filepath.Join(opts.Dir, p.Name)}
	stalls := watchStalls()
	defer func() {
		report.Took = time.Since(began)
		report.Stall = stalls.stop()
	}()
	bed, err := NewBed(ctx, opts, p.Name, p.Shape)
	if err != nil {
		report.Verdict, report.Err = NotRun, err
		return report
	}
	report.Err = p.Run(ctx, bed)
	bed.Close()
	report.Summary = load.Summarize(bed.Results(), p.Shape.Agents*bed.Cluster.Spec.Slots)
	if report.Err != nil {
		report.Verdict = FellShort
		return report
	}
	_ = os.RemoveAll(report.Dir)
	return report
}

// usual is the system that most proofs run on.
func usual() cluster.Spec { return cluster.Spec{Entries: 2, Agents: 3} }
