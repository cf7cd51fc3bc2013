package api

import (
	"context"
	"errors"
	"net/url"
	"time"
)

// retryState counts the attempts of one request and decides about retries.
type retryState struct {
	client  *Client
	ctx     context.Context
	start   int // index of the entry of the first attempt, modulo the number of entries
	sent    int // attempts made so far
	charged int // attempts that count against maxAttempts
}

func (c *Client) newRetryState(ctx context.Context) *retryState {
	c.budget.earn()
	return &retryState{client: c, ctx: ctx, start: int(c.next.Add(1))}
}

// entry returns the entry for the next attempt and counts the attempt. Requests
// start at different entries and each further attempt goes to the next entry.
func (t *retryState) entry() *url.URL {
	entries := t.client.entries
	picked := entries[(t.start+t.sent)%len(entries)]
	t.sent++
	return picked
}

// waitForRetry waits for the pause and returns true if another attempt may be
// made. It returns false if the attempts or the retry budget are used up, or the
// context ends before the pause. err is the error of the last attempt, or nil if
// it was answered.
func (t *retryState) waitForRetry(err error, pause time.Duration) bool {
	if !t.isAnswerTimeout(err) && !t.allowRetry() {
		return false
	}
	if deadline, ok := t.ctx.Deadline(); ok && time.Until(deadline) <= pause {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-t.ctx.Done():
		return false
	}
}

// isAnswerTimeout reports whether an attempt ended because the answer timeout
// passed. Such attempts don't count against maxAttempts or the retry budget: they
// are rare, since each takes the whole timeout, and the job may just take longer
// than that.
func (t *retryState) isAnswerTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) && t.ctx.Err() == nil
}

// allowRetry counts one retry against maxAttempts and, after the free ones, takes
// it from the client's budget. It returns false if either is used up.
func (t *retryState) allowRetry() bool {
	t.charged++
	if t.charged >= t.client.maxAttempts {
		return false
	}
	return t.charged <= freeRetries || t.client.budget.spend()
}
