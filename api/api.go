// Package api defines the callers' interface of an entry as JSON documents over
// HTTP. docs/openapi.yaml describes the same interface for other languages.
package api

import "time"

// Paths of the callers' interface.
const (
	// PathJobs takes POST of a JobRequest and answers with a JobAnswer.
	PathJobs = "/v1/jobs"
	// PathJob takes GET (state, or with ?wait=1 the whole answer) and DELETE
	// (cancel) of one job.
	PathJob = "/v1/jobs/{team}/{key}"
)

// TokenHeader carries the team's token as "Bearer <token>".
const TokenHeader = "Authorization"

// JobRequest is the body of a submission.
type JobRequest struct {
	Team    string `json:"team"`
	Key     string `json:"key"`
	Service string `json:"service"`
	// DeadlineMS is the time the caller allows for the whole job, from
	// receipt, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// FirstAttempt marks the very first sending of this key. Leave it out on
	// every resubmission, and on automatic retries below the caller.
	FirstAttempt bool `json:"first_attempt,omitempty"`
	// FirstAttemptAt is when the key was first sent, in RFC 3339; a
	// resubmission repeats it.
	FirstAttemptAt time.Time     `json:"first_attempt_at"`
	Tasks          []TaskRequest `json:"tasks"`
}

// TaskRequest is one task of a submission.
type TaskRequest struct {
	Index int `json:"index"`
	// Payload is base64 in JSON and passed to the backend server unchanged.
	Payload       []byte `json:"payload,omitempty"`
	DeclaredRunMS int64  `json:"declared_run_ms,omitempty"`
	Size          int    `json:"size,omitempty"`
}

// Outcome values of JobAnswer.
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
	// RetryAfterMS is when to come back, in milliseconds; the Retry-After
	// header has the same time in whole seconds, rounded up.
	RetryAfterMS int64        `json:"retry_after_ms,omitempty"`
	Home         string       `json:"home,omitempty"`
	Results      []TaskResult `json:"results,omitempty"`
	Total        int          `json:"total,omitempty"`
	Started      int          `json:"started,omitempty"`
	Finished     int          `json:"finished,omitempty"`
}

// TaskResult is the answer of the backend server to one task.
type TaskResult struct {
	Index int    `json:"index"`
	Body  []byte `json:"body,omitempty"`
}

// ErrorAnswer is the body of every answer that is not about a job's outcome,
// such as a malformed request.
type ErrorAnswer struct {
	Error string `json:"error"`
	// Field names the offending field, if one can be named.
	Field string `json:"field,omitempty"`
}
