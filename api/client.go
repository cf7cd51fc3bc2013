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
	defaultPatience   = 15 * time.Second
	defaultAttempts   = 8
	defaultRetryPause = 50 * time.Millisecond
	// maxIdlePerEntry keeps enough connections open for parallel submissions.
	maxIdlePerEntry = 256
	// answerSlack is how long after the job's deadline an answer may still
	// be on its way.
	answerSlack = 2 * time.Second
)

// ClientOptions says how a Client reaches the system.
type ClientOptions struct {
	// Entries are the callers' addresses of one or more entries, or of the
	// balancer, as "10.0.0.5:7000" or "http://10.0.0.5:7000".
	Entries []string
	// Token is the team's token.
	Token string
	// Patience is how long to wait for one answer before the connection is
	// taken for silent; the request is then sent again on a new one. Zero
	// means 15 s. Sending again is harmless: it attaches to the job.
	Patience time.Duration
	// Attempts is the largest number of sendings of one request; zero means 8.
	Attempts int
	// Transport replaces the transport, for tests.
	Transport http.RoundTripper
}

// Client is the callers' side of the interface. Its methods may be called from
// any goroutine.
type Client struct {
	entries  []*url.URL
	token    string
	patience time.Duration
	attempts int
	http     *http.Client
	budget   *retryBudget
	next     atomic.Uint32
}

// LostError says that no answer was received. The job may have run; ask again
// with the same key.
type LostError struct {
	// Attempts is how often the request was sent.
	Attempts int
	// Err is what happened to the last one.
	Err error
}

// Error formats the error as one line.
func (e *LostError) Error() string {
	return fmt.Sprintf("no answer after %d attempt(s): %v", e.Attempts, e.Err)
}

// Unwrap returns what happened to the last attempt.
func (e *LostError) Unwrap() error { return e.Err }

// NewClient returns a client.
func NewClient(o ClientOptions) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("no entry given")
	}
	c := &Client{
		token:    o.Token,
		patience: o.Patience,
		attempts: o.Attempts,
		http:     &http.Client{Transport: o.Transport},
		budget:   newRetryBudget(),
	}
	if c.patience <= 0 {
		c.patience = defaultPatience
	}
	if c.attempts <= 0 {
		c.attempts = defaultAttempts
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

// State asks for the state of a job without waiting for its answer.
func (c *Client) State(ctx context.Context, team, key string) (*JobAnswer, error) {
	return c.ask(ctx, exchange{method: http.MethodGet, path: jobPath(team, key)})
}

// Wait waits for the whole answer of a job that was submitted before. It goes
// on until the context ends or the job has an outcome.
func (c *Client) Wait(ctx context.Context, team, key string) (*JobAnswer, error) {
	return c.ask(ctx, exchange{method: http.MethodGet, path: jobPath(team, key), query: "wait=1"})
}

// Cancel asks that no further task of the job starts. Tasks that run are not
// stopped, so the answer may still say that the job may have run.
func (c *Client) Cancel(ctx context.Context, team, key string) (*JobAnswer, error) {
	return c.ask(ctx, exchange{method: http.MethodDelete, path: jobPath(team, key)})
}

// jobPath fills in PathJob.
func jobPath(team, key string) string {
	return PathJobs + "/" + url.PathEscape(team) + "/" + url.PathEscape(key)
}

// ask sends a request without a body until there is an answer. Such requests
// start nothing, so each attempt is the same.
func (c *Client) ask(ctx context.Context, x exchange) (*JobAnswer, error) {
	t := c.newTries(ctx)
	for {
		answer, err := c.send(ctx, t.entry(), x)
		if err == nil || isFinal(err) {
			return answer, err
		}
		if !t.again(err, retryPause(nil, err)) {
			return nil, &LostError{Attempts: t.sent, Err: err}
		}
	}
}
