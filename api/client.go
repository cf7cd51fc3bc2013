package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// Defaults of ClientOptions.
const (
	defaultAnswerTimeout = 15 * time.Second
	defaultMaxAttempts   = 8
	defaultRetryPause    = 50 * time.Millisecond
	// maxIdlePerEntry is the number of idle connections kept open to each entry,
	// enough for parallel submissions.
	maxIdlePerEntry = 256
	// answerSlack is how long after the job's deadline Submit still waits for
	// an answer that is on its way.
	answerSlack = 2 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// Entries are the addresses of the callers' interface of one or more
	// entries, or of the load balancer, as "10.0.0.5:7000" or
	// "http://10.0.0.5:7000".
	Entries []string
	// Token is the team's token.
	Token string
	// AnswerTimeout is how long to wait for the answer to one attempt. After it
	// the connection counts as dead and the request is sent again on a new one,
	// which is safe, since a repeated request attaches to the job. Zero means
	// 15 s.
	AnswerTimeout time.Duration
	// MaxAttempts is the maximum number of attempts of one request, not counting
	// those that ended by AnswerTimeout. Zero means 8.
	MaxAttempts int
	// Transport replaces the default transport in tests.
	Transport http.RoundTripper
}

// Client is a client of the callers' interface. Its methods may be called from
// any goroutine.
type Client struct {
	entries       []*url.URL
	token         string
	answerTimeout time.Duration
	maxAttempts   int
	http          *http.Client
	budget        *retryBudget
	next          atomic.Uint32
}

// NoAnswerError means that no answer about the job was received. The job may have
// run; send the request again with the same key.
type NoAnswerError struct {
	// Attempts is the number of times that the request was sent.
	Attempts int
	// Err is the error of the last attempt.
	Err error
}

// Error formats the error as one line.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no answer after %d attempt(s): %v", e.Attempts, e.Err)
}

// Unwrap returns the error of the last attempt.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// NewClient returns a client. It returns an error if no entry is given or the
// address of one is malformed.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("no entry given")
	}
	c := &Client{
		token:         o.Token,
		answerTimeout: o.AnswerTimeout,
		maxAttempts:   o.MaxAttempts,
		http:          &http.Client{Transport: o.Transport},
		budget:        newRetryBudget(),
	}
	if c.answerTimeout <= 0 {
		c.answerTimeout = defaultAnswerTimeout
	}
	if c.maxAttempts <= 0 {
		c.maxAttempts = defaultMaxAttempts
	}
	if o.Transport == nil {
		c.http.Transport = newTransport()
	}
	for _, e := range o.Entries {
		u, err := parseEntry(e)
		if err != nil {
			return nil, err
		}
		c.entries = append(c.entries, u)
	}
	return c, nil
}

func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = maxIdlePerEntry
	t.MaxIdleConns = 0
	return t
}

func parseEntry(address string) (*url.URL, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	u, err := url.Parse(address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("entry %q is not an address such as 10.0.0.5:7000", address)
	}
	return u, nil
}

// State returns the state of a job, or its final answer if it has ended, without
// waiting. The error is a *RequestError or a *NoAnswerError.
func (c *Client) State(ctx context.Context, team, key string) (*JobAnswer, error) {
	return c.sendWithRetry(ctx, apiRequest{method: http.MethodGet, path: jobPath(team, key)})
}

// Wait waits for the final answer of a job that was submitted before, until the
// context ends. The error is a *RequestError or a *NoAnswerError.
func (c *Client) Wait(ctx context.Context, team, key string) (*JobAnswer, error) {
	return c.sendWithRetry(ctx, apiRequest{method: http.MethodGet, path: jobPath(team, key), query: "wait=1"})
}

// Cancel asks that no further task of the job starts. Running tasks are not
// stopped, so the answer may still say that the job may have run. The error is a
// *RequestError or a *NoAnswerError.
func (c *Client) Cancel(ctx context.Context, team, key string) (*JobAnswer, error) {
	return c.sendWithRetry(ctx, apiRequest{method: http.MethodDelete, path: jobPath(team, key)})
}

// jobPath returns PathJob with the team and key filled in.
func jobPath(team, key string) string {
	return PathJobs + "/" + url.PathEscape(team) + "/" + url.PathEscape(key)
}

// sendWithRetry sends a request without a body until there is an answer. Such
// requests start nothing, so an attempt is repeated unchanged.
func (c *Client) sendWithRetry(ctx context.Context, x apiRequest) (*JobAnswer, error) {
	t := c.newRetryState(ctx)
	for {
		answer, err := c.send(ctx, t.entry(), x)
		if err == nil || isRequestError(err) {
			return answer, err
		}
		if !t.waitForRetry(err, retryPause(nil, err)) {
			return nil, &NoAnswerError{Attempts: t.sent, Err: err}
		}
	}
}
