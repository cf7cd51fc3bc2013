package load

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/bench/backend"
)

// Violation is one violation of a guarantee.
type Violation struct {
	// Guarantee is the violated guarantee, one of the constants below.
	Guarantee string
	// Detail names the job or task and describes the violation.
	Detail string
}

// The guarantees that Verify checks.
const (
	GuaranteeOnce      = "every task starts at most once"
	GuaranteeComplete  = "an answer is complete and belongs to its job"
	GuaranteeRefused   = "a refused job has not started"
	GuaranteeAnswered  = "every job gets a final answer"
	GuaranteeSubmitted = "only submitted tasks start"
)

// Verify compares the results of the callers with the starts at the backend servers and
// returns the violations.
func Verify(results []Result, starts []backend.Start) []Violation {
	var out []Violation
	for _, id := range backend.Duplicates(starts) {
		out = append(out, Violation{GuaranteeOnce, id.String() + " started twice"})
	}
	byJob := groupByJob(starts)
	for _, r := range results {
		key := jobID{r.Job.Team, r.Job.Key}
		out = append(out, verifyJob(r, byJob[key])...)
		delete(byJob, key)
	}
	if len(byJob) > 0 {
		out = append(out, Violation{GuaranteeSubmitted, fmt.Sprintf("%d jobs have starts but no result", len(byJob))})
	}
	return out
}

// jobID identifies one job.
type jobID struct{ team, key string }

func groupByJob(starts []backend.Start) map[jobID][]backend.Start {
	out := make(map[jobID][]backend.Start)
	for _, s := range starts {
		id := jobID{s.Team, s.Job}
		out[id] = append(out[id], s)
	}
	return out
}

func verifyJob(r Result, starts []backend.Start) []Violation {
	name := r.Job.Team + "/" + r.Job.Key
	switch r.Outcome {
	case Unanswered:
		return []Violation{{GuaranteeAnswered, name + ": " + r.Detail}}
	case Complete:
		return verifyComplete(r, name, starts)
	case Refused:
		if len(starts) > 0 && !r.Duplicated {
			return []Violation{{GuaranteeRefused, fmt.Sprintf("%s was refused (%s) although %d tasks started", name, r.Reason, len(starts))}}
		}
	}
	return verifyRefusals(r, name, starts)
}

func verifyComplete(r Result, name string, starts []backend.Start) []Violation {
	out := verifyRefusals(r, name, starts)
	if r.Defect != "" {
		out = append(out, Violation{GuaranteeComplete, name + ": " + r.Defect})
	}
	if distinct := countDistinct(starts); distinct != len(r.Job.Tasks) {
		out = append(out, Violation{GuaranteeComplete,
			fmt.Sprintf("%s is complete although only %d of %d tasks started", name, distinct, len(r.Job.Tasks))})
	}
	return out
}

// verifyRefusals checks that no task started before the latest of the times up to which
// the refusals must be true. Later starts may come from another submission of the job.
func verifyRefusals(r Result, name string, starts []backend.Start) []Violation {
	if len(r.Refusals) == 0 {
		return nil
	}
	last := slices.MaxFunc(r.Refusals, time.Time.Compare).UnixMilli()
	for _, s := range starts {
		if s.AtUnixMS < last {
			return []Violation{{GuaranteeRefused, fmt.Sprintf("%s had started before the job was refused", s.TaskID)}}
		}
	}
	return nil
}

func countDistinct(starts []backend.Start) int {
	seen := make(map[backend.TaskID]struct{}, len(starts))
	for _, s := range starts {
		seen[s.TaskID] = struct{}{}
	}
	return len(seen)
}
