package api

import (
	"context"
	"errors"
	"net/url"
	"time"
)

// tries counts the attempts of one request.
type tries struct {
	client *Client
	ctx    context.Context
	start  int // entry of the first attempt
	sent   int // attempts so far
	failed int // attempts that count against the client's bound
}

func (c *Client) newTries(ctx context.Context) *tries {
	c.budget.earn()
	return &tries{client: c, ctx: ctx, start: int(c.next.Add(1))}
}

// entry picks the entry of the next attempt: requests start at different
// entries and each attempt goes to the next one.
func (t *tries) entry() *url.URL {
	entries := t.client.entries
	picked := entries[(t.start+t.sent)%len(entries)]
	t.sent++
	return picked
}

// again waits for the pause and reports whether there is to be another attempt.
// err is what happened to the last one, or nil if it was refused.
func (t *tries) again(err error, pause time.Duration) bool {
	if !t.isSilence(err) && !t.pay() {
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

// isSilence reports whether the attempt ended since the patience ran out. Such
// attempts are rare by their length and cost nothing from the budget: the job
// may just take longer than the patience.
func (t *tries) isSilence(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) && t.ctx.Err() == nil
}

// pay takes one retry out of the bound and the budget of the client.
func (t *tries) pay() bool {
	t.failed++
	if t.failed >= t.client.attempts {
		return false
	}
	return t.failed <= freeRetries || t.client.budget.spend()
}
