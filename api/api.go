// Package api defines the callers' interface and the operators' interface of an
// entry, both JSON over HTTP, and has a client for each. docs/openapi.yaml
// describes the callers' interface for other languages.
package api

import "time"

// Paths of the callers' interface.
const (
	// PathJobs takes POST of a JobRequest and answers with a JobAnswer.
	PathJobs = "/v1/jobs"
	// PathJob takes GET (the state of a job, or with ?wait=1 its final answer)
	// and DELETE (cancels the job).
	PathJob = "/v1/jobs/{team}/{key}"
)

// TokenHeader carries the team's token as "Bearer <token>".
const TokenHeader = "Authorization"

// JobRequest is the body of a submission.
type JobRequest struct {
	Team string `json:"team"`
	// Key identifies the job among those of its team. A resubmission repeats it.
	Key     string `json:"key"`
	Service string `json:"service"`
	// DeadlineMS is the time that the caller allows for the whole job, in
	// milliseconds from receipt.
	DeadlineMS int64 `json:"deadline_ms"`
	// FirstAttempt is true only if the key has never been sent before. Leave it
	// out on every resubmission, including automatic retries by a layer below
	// the caller.
	FirstAttempt bool `json:"first_attempt,omitempty"`
	// FirstAttemptAt is when the key was first sent, in RFC 3339. A resubmission
	// repeats the same time.
	FirstAttemptAt time.Time     `json:"first_attempt_at"`
	Tasks          []TaskRequest `json:"tasks"`
}

// TaskRequest is one task of a submission.
type TaskRequest struct {
	// Index is the position of the task in the job, from 0.
	Index int `json:"index"`
	// Payload is base64 in JSON and passed to the backend server unchanged.
	Payload []byte `json:"payload,omitempty"`
	// DeclaredRunMS is the run time that the caller expects, in milliseconds.
	DeclaredRunMS int64 `json:"declared_run_ms,omitempty"`
	// Size is the number of accelerators or abstract units that the caller
	// declares; zero means one slot.
	Size int `json:"size,omitempty"`
}

// Values of JobAnswer.Outcome.
const (
	OutcomeComplete = "complete"
	OutcomeFailed   = "failed"
	OutcomeRefused  = "refused"
	OutcomeRunning  = "running"
)

// JobAnswer is the final answer to a submission, or the state of a job.
type JobAnswer struct {
	Team string `json:"team"`
	Key  string `json:"key"`
	// Outcome is complete, failed (may have run), refused (not run), or
	// running in answer to a state request.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// MayHaveRun is true if any task of the job may have started.
	MayHaveRun bool `json:"may_have_run"`
	// RetryAfterMS is the time after which to retry, in milliseconds, or 0 if
	// a retry is pointless. The Retry-After header has the same time in whole
	// seconds, rounded up.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Home is the incarnation of the agent that decided the outcome, if one did.
	Home    string       `json:"home,omitempty"`
	Results []TaskResult `json:"results,omitempty"`
	// Total, Started and Finished are numbers of tasks.
	Total    int `json:"total,omitempty"`
	Started  int `json:"started,omitempty"`
	Finished int `json:"finished,omitempty"`
}

// TaskResult is the answer of the backend server to one task. Body is base64 in
// JSON.
type TaskResult struct {
	Index int    `json:"index"`
	Body  []byte `json:"body,omitempty"`
}

// ErrorAnswer is the body of every answer of the callers' interface that is not
// about a job, such as the answer to a malformed request.
type ErrorAnswer struct {
	Error string `json:"error"`
	// Field is the name of the invalid field, if the error is about one.
	Field string `json:"field,omitempty"`
}
