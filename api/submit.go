package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"
)

// Submit sends a job and returns its outcome. After a lost connection it sends
// the same key to another entry, which attaches to the job. After an answer with
// a retry-after time it sends the job again once that time has passed. It does
// neither after the deadline. The error is a *RequestError or a *NoAnswerError.
//
// Set FirstAttempt only if the key was never sent before, by any process. Submit
// clears it for its own later attempts once an earlier one may have started the
// job.
func (c *Client) Submit(ctx context.Context, request JobRequest) (*JobAnswer, error) {
	began := time.Now()
	allowed := time.Duration(request.DeadlineMS) * time.Millisecond
	if request.FirstAttemptAt.IsZero() {
		request.FirstAttemptAt = began.UTC()
	}
	ctx, cancel := context.WithTimeout(ctx, allowed+answerSlack)
	defer cancel()
	t := c.newRetryState(ctx)
	for {
		answer, err := c.submitOnce(ctx, t.entry(), &request)
		if isRequestError(err) {
			return nil, err
		}
		if err == nil && !asksForRetry(answer) {
			return answer, nil
		}
		if mayStartJob(answer, err) {
			request.FirstAttempt = false
		}
		pause := retryPause(answer, err)
		if allowed-time.Since(began) <= pause || !t.waitForRetry(err, pause) {
			return lastAnswer(answer, t.sent, err)
		}
		if request.FirstAttempt {
			// No earlier attempt can start the job, so this one counts as the first.
			request.FirstAttemptAt = time.Now().UTC()
		}
		request.DeadlineMS = max((allowed - time.Since(began)).Milliseconds(), 1)
	}
}

func (c *Client) submitOnce(ctx context.Context, entry *url.URL, request *JobRequest) (*JobAnswer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &RequestError{Err: fmt.Errorf("encoding the job: %w", err)}
	}
	return c.send(ctx, entry, apiRequest{method: http.MethodPost, path: PathJobs, body: body})
}

// lastAnswer returns the result of the last attempt, with its error in a
// NoAnswerError.
func lastAnswer(answer *JobAnswer, attempts int, err error) (*JobAnswer, error) {
	if err != nil {
		return nil, &NoAnswerError{Attempts: attempts, Err: err}
	}
	return answer, nil
}

// asksForRetry reports whether the answer asks the caller to send the job again.
// A failure does so too if the job could not be looked up at that time.
func asksForRetry(answer *JobAnswer) bool {
	return answer.Outcome != OutcomeComplete && answer.RetryAfterMS > 0
}

// retryPause returns how long to wait before the next attempt: the retry-after
// time if the answer or error has one, otherwise defaultRetryPause.
func retryPause(answer *JobAnswer, err error) time.Duration {
	if answer != nil {
		return time.Duration(answer.RetryAfterMS) * time.Millisecond
	}
	var unavailable *unavailableError
	if errors.As(err, &unavailable) && unavailable.retryAfter > 0 {
		return unavailable.retryAfter
	}
	return defaultRetryPause
}

// mayStartJob reports whether an attempt may have started the job or may still
// start it. Later attempts must then leave out FirstAttempt. An attempt can't
// start the job if the job was refused as not run, if the entry refused the
// request unread, or if no connection was opened. Every unavailableError counts as
// a request refused unread.
func mayStartJob(answer *JobAnswer, err error) bool {
	if answer != nil {
		return answer.Outcome != OutcomeRefused || answer.MayHaveRun
	}
	var unavailable *unavailableError
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	return !dial && !errors.As(err, &unavailable)
}
