package load

import (
	"fmt"
	"slices"
	"time"

	"foxtaildock.example/bench/backend"
)

// Violation is one promise that did not hold for one job.
type Violation struct {
	// Promise is one of the constants below.
	Promise string
	What    string
}

// The promises that Verify checks.
const (
	PromiseOnce     = "every task starts at most once"
	PromiseWhole    = "an answer is whole and the job's own"
	PromiseNotRun   = "a refusal that says not run is true"
	PromiseAnswered = "every job gets a final answer"
	PromiseKnown    = "only submitted tasks start"
)

// Verify compares what callers were told with the starts at the backend servers.
func Verify(results []Result, starts []backend.Start) []Violation {
	var out []Violation
	for _, id := range backend.Duplicates(starts) {
		out = append(out, Violation{PromiseOnce, id.String() + " started twice"})
	}
	byJob := groupByJob(starts)
	for _, r := range results {
		key := jobID{r.Job.Team, r.Job.Key}
		out = append(out, verifyJob(r, byJob[key])...)
		delete(byJob, key)
	}
	if len(byJob) > 0 {
		out = append(out, Violation{PromiseKnown, fmt.Sprintf("%d jobs started that have no result", len(byJob))})
	}
	return out
}

// jobID names one job.
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
		return []Violation{{PromiseAnswered, name + ": " + r.Detail}}
	case Complete:
		return verifyComplete(r, name, starts)
	case Refused:
		if len(starts) > 0 && !r.Duplicated {
			return []Violation{{PromiseNotRun, fmt.Sprintf("%s refused (%s), %d tasks started", name, r.Reason, len(starts))}}
		}
	}
	return verifyRefusals(r, name, starts)
}

func verifyComplete(r Result, name string, starts []backend.Start) []Violation {
	out := verifyRefusals(r, name, starts)
	if r.Wrong != "" {
		out = append(out, Violation{PromiseWhole, name + ": " + r.Wrong})
	}
	if distinct := countDistinct(starts); distinct != len(r.Job.Tasks) {
		out = append(out, Violation{PromiseWhole,
			fmt.Sprintf("%s complete, %d of %d tasks started", name, distinct, len(r.Job.Tasks))})
	}
	return out
}

// verifyRefusals checks that nothing had started up to the time for which a
// refusal speaks. Later starts may come from another sending of the job.
func verifyRefusals(r Result, name string, starts []backend.Start) []Violation {
	if len(r.Refusals) == 0 {
		return nil
	}
	last := slices.MaxFunc(r.Refusals, time.Time.Compare).UnixMilli()
	for _, s := range starts {
		if s.AtUnixMS < last {
			return []Violation{{PromiseNotRun, fmt.Sprintf("%s started before it was refused", s.TaskID)}}
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
