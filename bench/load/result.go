package load

import (
	"time"
)

// Outcome says how a job ended for its caller.
type Outcome string

// The outcomes.
const (
	Complete Outcome = "complete"
	Failed   Outcome = "failed"
	Refused  Outcome = "refused"
	// Rejected means an answer that is not about the job's outcome, such as
	// that of a malformed request.
	Rejected Outcome = "rejected"
	// Unanswered means that the caller gave up without a final answer.
	Unanswered Outcome = "unanswered"
)

// Result is what one caller got for one job.
type Result struct {
	Job     Job
	Outcome Outcome
	Reason  string
	Detail  string
	// Wrong says what was wrong with a complete answer; it is empty if the
	// answer was whole and the job's own.
	Wrong string
	// Attempts is the number of times that the job was sent or looked up.
	Attempts int
	// FirstSent is the time of the first sending.
	FirstSent time.Time
	// Took is the time from the first sending to the final answer.
	Took time.Duration
	// Cut is the number of attempts whose connection broke after it was made,
	// without an answer.
	Cut int
	// Duplicated means that the job was sent a second time while the first
	// sending was under way.
	Duplicated bool
	// Refusals holds, for each answer that said that nothing of the job was
	// started, the time up to which that must be true: when the answer
	// arrived, or, if another sending of the job was under way, when the
	// refused one was sent.
	Refusals []time.Time
}
