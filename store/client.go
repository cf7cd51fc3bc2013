package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"
)

const (
	// DefaultCallTimeout is the timeout of one call to the platform. A shorter
	// deadline of the caller's context takes precedence.
	DefaultCallTimeout = 2 * time.Second
	// maxAnswerBytes is the maximum size of the body of one answer.
	maxAnswerBytes = 64 << 20
	// maxIdleConns is the number of idle connections kept to the platform.
	maxIdleConns = 8
)

// Client is the HTTP client of the platform's services. It is safe for
// concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
}

// NewClient returns a client for the platform at the address ("host:port"). The
// timeout bounds each call; zero means DefaultCallTimeout.
func NewClient(address string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	return &Client{
		base:      "http://" + address,
		timeout:   timeout,
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns},
	}
}

// Table returns the table service.
func (c *Client) Table() Table { return &tableClient{c} }

// Objects returns the object store service.
func (c *Client) Objects() Objects { return &objectClient{c} }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// effect says whether a call can change data at the platform.
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// call is one request to the platform.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	effect effect
}

// answer is a complete answer of the platform.
type answer struct {
	status int
	body   []byte
}

// do sends the call and returns the answer if it is complete and has a status
// below 500 other than 400. In all other cases the error wraps ErrUnavailable
// or ErrUnknown.
func (c *Client) do(ctx context.Context, call call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	ans, err := c.roundTrip(ctx, call)
	if err != nil {
		if ctx.Err() != nil {
			// The connection no longer responds, and other connections to
			// the same address may not either. Close the idle ones, so that
			// the next call opens a new one.
			c.transport.CloseIdleConnections()
		}
		return answer{}, classify(call, connected.Load(), err)
	}
	return ans, statusError(call, ans)
}

func (c *Client) roundTrip(ctx context.Context, call call) (answer, error) {
	target := c.base + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return answer{}, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode, body: body}, nil
}

// classify wraps the error of a call without a complete answer. Reads, and
// writes that never got a connection, had no effect, so they are
// ErrUnavailable; other writes are ErrUnknown.
func classify(call call, connected bool, err error) error {
	if call.effect == writes && connected {
		return fmt.Errorf("%w: %s: %w", ErrUnknown, call.path, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrUnavailable, call.path, err)
}

// statusError returns the error for the status of a complete answer, or nil.
// The platform answers 400 and 503 only before a call has any effect, so both
// are ErrUnavailable.
func statusError(call call, ans answer) error {
	switch {
	case ans.status == http.StatusBadRequest, ans.status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %s: status %d", ErrUnavailable, call.path, ans.status)
	case ans.status >= http.StatusInternalServerError:
		return classify(call, true, fmt.Errorf("status %d", ans.status))
	}
	return nil
}

// post sends a call with a JSON body.
func (c *Client) post(ctx context.Context, path string, eff effect, body any) (answer, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return answer{}, fmt.Errorf("%w: encode %s: %w", ErrUnavailable, path, err)
	}
	return c.do(ctx, call{method: http.MethodPost, path: path, body: data, effect: eff})
}

// read sends a call that changes nothing, with a JSON body, and decodes the
// answer into out.
func (c *Client) read(ctx context.Context, path string, body, out any) error {
	ans, err := c.post(ctx, path, reads, body)
	if err != nil {
		return err
	}
	if ans.status != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d", ErrUnavailable, path, ans.status)
	}
	if err := json.Unmarshal(ans.body, out); err != nil {
		return fmt.Errorf("%w: decode %s: %w", ErrUnavailable, path, err)
	}
	return nil
}

type tableClient struct{ c *Client }

func (t *tableClient) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var out RowsAnswer
	if err := t.c.read(ctx, PathGet, GetRequest{Keys: keys}, &out); err != nil {
		return nil, err
	}
	if len(out.Rows) != len(keys) {
		return nil, fmt.Errorf("%w: %d rows for %d keys", ErrUnavailable, len(out.Rows), len(keys))
	}
	return out.Rows, nil
}

func (t *tableClient) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var out RowsAnswer
	req := ScanRequest{Prefix: prefix, After: after, Limit: limit}
	if err := t.c.read(ctx, PathScan, req, &out); err != nil {
		return nil, err
	}
	return out.Rows, nil
}

func (t *tableClient) Commit(ctx context.Context, ws ...Write) error {
	ans, err := t.c.post(ctx, PathCommit, writes, CommitRequest{Writes: ws})
	if err != nil {
		return err
	}
	switch ans.status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return decodeConflict(ans.body)
	}
	return fmt.Errorf("%w: commit: status %d", ErrUnknown, ans.status)
}

// decodeConflict returns the *ConflictError in the body of a 409 answer.
func decodeConflict(body []byte) error {
	var conflict ConflictAnswer
	if err := json.Unmarshal(body, &conflict); err != nil {
		return fmt.Errorf("%w: decode conflict: %w", ErrUnavailable, err)
	}
	return &ConflictError{Key: conflict.Key, Want: conflict.Want, Have: conflict.Have}
}

type objectClient struct{ c *Client }

func (o *objectClient) Put(ctx context.Context, name string, value []byte) error {
	ans, err := o.c.do(ctx, call{
		method: http.MethodPut,
		path:   PathObject,
		query:  url.Values{ObjectNameParam: {name}},
		body:   value,
		effect: writes,
	})
	if err != nil {
		return err
	}
	if ans.status != http.StatusOK {
		return fmt.Errorf("%w: put: status %d", ErrUnknown, ans.status)
	}
	return nil
}

func (o *objectClient) Get(ctx context.Context, name string) ([]byte, bool, error) {
	ans, err := o.c.do(ctx, call{
		method: http.MethodGet,
		path:   PathObject,
		query:  url.Values{ObjectNameParam: {name}},
		effect: reads,
	})
	switch {
	case err != nil:
		return nil, false, err
	case ans.status == http.StatusNotFound:
		return nil, false, nil
	case ans.status != http.StatusOK:
		return nil, false, fmt.Errorf("%w: get object: status %d", ErrUnavailable, ans.status)
	}
	return ans.body, true, nil
}

func (o *objectClient) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var out NamesAnswer
	req := ScanRequest{Prefix: prefix, After: after, Limit: limit}
	if err := o.c.read(ctx, PathObjectList, req, &out); err != nil {
		return nil, err
	}
	return out.Names, nil
}

// IsConflict reports whether the error is or wraps a *ConflictError, and
// returns it.
func IsConflict(err error) (*ConflictError, bool) {
	var conflict *ConflictError
	ok := errors.As(err, &conflict)
	return conflict, ok
}
