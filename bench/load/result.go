package load

import (
	"time"
)

// Outcome is how a job ended for its caller.
type Outcome string

// The outcomes.
const (
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	Refused  Outcome = "refused"
	// Rejected means that the answer has no outcome of the job, such as that to a
	// malformed request.
	Rejected Outcome = "rejected"
	// Unanswered means that the caller gave up without a final answer.
	Unanswered Outcome = "unanswered"
)

// Result is the final result of one job for its caller.
type Result struct {
	Job     Job
	Outcome Outcome
	// Reason and Detail are those of the last answer, or Detail is the error of
	// the last request.
	Reason string
	Detail string
	// Defect describes the defect of a complete answer. It is empty if the answer
	// has every result and belongs to the job.
	Defect string
	// Attempts is the number of times that the job was submitted or looked up.
	Attempts int
	// FirstSent is the time of the first submission.
	FirstSent time.Time
	// Took is the time from the first submission by Run or Resubmit to the final
	// answer.
	Took time.Duration
	// Disconnects is the number of attempts whose connection broke after it was
	// established, without an answer.
	Disconnects int
	// Duplicated means that the job was submitted a second time while the first
	// submission was in flight.
	Duplicated bool
	// Refusals holds a time for each refusal, which says that no task of the job
	// has started: the time up to which that must be true. It is when the
	// refusal arrived, or, if the job was also sent as a duplicate, when the
	// refused submission was sent.
	Refusals []time.Time
}
