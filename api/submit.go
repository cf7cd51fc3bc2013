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
// the same key to another entry, which attaches to the job, and after an answer
// with a time to come back it waits for that time, both within the deadline.
//
// Set FirstAttempt only if the key was never sent before, by any process. Submit
// leaves it out on every later sending of its own.
func (c *Client) Submit(ctx context.Context, request JobRequest) (*JobAnswer, error) {
	received := time.Now()
	allowed := time.Duration(request.DeadlineMS) * time.Millisecond
	if request.FirstAttemptAt.IsZero() {
		request.FirstAttemptAt = received.UTC()
	}
	ctx, cancel := context.WithTimeout(ctx, allowed+answerSlack)
	defer cancel()
	t := c.newTries(ctx)
	for {
		answer, err := c.submitOnce(ctx, t.entry(), &request)
		if isFinal(err) {
			return nil, err
		}
		if err == nil && !comeBack(answer) {
			return answer, nil
		}
		if mayHaveRun(answer, err) {
			request.FirstAttempt = false
		}
		pause := retryPause(answer, err)
		if allowed-time.Since(received) <= pause || !t.again(err, pause) {
			return lastAnswer(answer, t.sent, err)
		}
		if request.FirstAttempt {
			// Nothing sent so far can start, so the job begins anew.
			request.FirstAttemptAt = time.Now().UTC()
		}
		request.DeadlineMS = max((allowed - time.Since(received)).Milliseconds(), 1)
	}
}

func (c *Client) submitOnce(ctx context.Context, entry *url.URL, request *JobRequest) (*JobAnswer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &RequestError{Err: fmt.Errorf("encoding the job: %w", err)}
	}
	return c.send(ctx, entry, exchange{method: http.MethodPost, path: PathJobs, body: body})
}

// lastAnswer is what the caller gets when there is to be no other attempt.
func lastAnswer(answer *JobAnswer, attempts int, err error) (*JobAnswer, error) {
	if err != nil {
		return nil, &LostError{Attempts: attempts, Err: err}
	}
	return answer, nil
}

// comeBack reports whether the answer asks the caller to send the job again. A
// failure does so too if the job could not be looked up for now.
func comeBack(answer *JobAnswer) bool {
	return answer.Outcome != OutcomeComplete && answer.RetryAfterMS > 0
}

// retryPause is how long to wait before the next attempt.
func retryPause(answer *JobAnswer, err error) time.Duration {
	if answer != nil {
		return time.Duration(answer.RetryAfterMS) * time.Millisecond
	}
	var away *turnedAwayError
	if errors.As(err, &away) && away.after > 0 {
		return away.after
	}
	return defaultRetryPause
}

// mayHaveRun reports whether an attempt may lead to a start, which ends the right
// to mark a first attempt. It can't if the job was refused as not run, if the
// entry turned the request away unread, or if no connection was opened.
func mayHaveRun(answer *JobAnswer, err error) bool {
	if answer != nil {
		return answer.Outcome != OutcomeRefused || answer.MayHaveRun
	}
	var away *turnedAwayError
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	return !dial && !errors.As(err, &away)
}
