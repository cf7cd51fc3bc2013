package api

import (
	"net/http"
	"strconv"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// OutcomeStatus returns the HTTP status of an outcome. The status is for load
// balancers and simple callers; callers should rely on the outcome in the body.
func OutcomeStatus(o *job.Outcome) int {
	switch o.Kind {
	case job.Complete:
		return http.StatusOK
	case job.Refused:
		return refusedStatus(o.Reason)
	default:
		return failedStatus(o.Reason)
	}
}

// refusedStatus returns the status of a refusal: 429 or 503 if the caller may
// retry the same request, and another 4xx status if a retry would change nothing.
func refusedStatus(r job.Reason) int {
	switch r {
	case job.ReasonQuota:
		return http.StatusTooManyRequests
	case job.ReasonInvalid:
		return http.StatusBadRequest
	case job.ReasonUnauthorized:
		return http.StatusUnauthorized
	case job.ReasonUnknownKey:
		return http.StatusNotFound
	case job.ReasonKeyReused, job.ReasonCancelled:
		return http.StatusConflict
	case job.ReasonTooOld:
		return http.StatusGone
	case job.ReasonCannotRun:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// failedStatus returns the status of a failure. It is never 429 or 503, which
// would invite a caller to start the same work under a new key.
func failedStatus(r job.Reason) int {
	switch r {
	case job.ReasonDeadline:
		return http.StatusGatewayTimeout
	case job.ReasonCancelled, job.ReasonKeyReused:
		return http.StatusConflict
	case job.ReasonTooOld, job.ReasonAnswerDropped:
		return http.StatusGone
	case job.ReasonUnknownKey:
		return http.StatusNotFound
	default:
		return http.StatusBadGateway
	}
}

// OutcomeAnswer returns the answer to callers for the outcome of a job.
func OutcomeAnswer(key ident.JobKey, o *job.Outcome) JobAnswer {
	answer := JobAnswer{
		Team:         string(key.Team),
		Key:          key.Key,
		Outcome:      o.Kind.String(),
		Reason:       string(o.Reason),
		Detail:       o.Detail,
		MayHaveRun:   o.Kind != job.Refused,
		RetryAfterMS: roundUp(o.RetryAfter, time.Millisecond),
		Home:         string(o.Home),
	}
	if o.Kind == job.Complete {
		answer.Results = taskResults(o.Results)
		answer.Total = len(o.Results)
		answer.Started = len(o.Results)
		answer.Finished = len(o.Results)
	}
	return answer
}

func taskResults(results []job.Result) []TaskResult {
	out := make([]TaskResult, len(results))
	for i, r := range results {
		out[i] = TaskResult{Index: r.Index, Body: r.Body}
	}
	return out
}

// WriteOutcome answers a request with the outcome of its job. The error is one
// of encoding or writing.
func WriteOutcome(w http.ResponseWriter, key ident.JobKey, o *job.Outcome) error {
	setRetryAfterHeader(w.Header(), o.RetryAfter)
	status := OutcomeStatus(o)
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	return writeJSON(w, status, OutcomeAnswer(key, o))
}

// WriteState answers a state request for a job that has no outcome yet. The
// error is one of encoding or writing.
func WriteState(w http.ResponseWriter, answer *JobAnswer) error {
	return writeJSON(w, http.StatusOK, answer)
}

// setRetryAfterHeader sets the Retry-After header in whole seconds, rounded up,
// unless the time is 0.
func setRetryAfterHeader(h http.Header, after time.Duration) {
	if after <= 0 {
		return
	}
	h.Set("Retry-After", strconv.FormatInt(roundUp(after, time.Second), 10))
}

// roundUp returns the duration in units, rounded up.
func roundUp(d, unit time.Duration) int64 {
	return int64((d + unit - 1) / unit)
}
