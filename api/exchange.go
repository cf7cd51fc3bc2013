package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxAnswerBytes bounds the answers that a client reads.
const maxAnswerBytes = 1 << 30

// exchange is one request of the callers' interface.
type exchange struct {
	method string
	path   string
	query  string
	body   []byte
}

// RequestError says that the request itself was not taken. Sending it again
// unchanged is pointless, and nothing of it was started.
type RequestError struct {
	// Status is the HTTP status, or 0 if the request was never sent.
	Status int
	// Field names the offending field, if one was named.
	Field string
	Err   error
}

// Error formats the error as one line.
func (e *RequestError) Error() string {
	switch {
	case e.Status == 0:
		return e.Err.Error()
	case e.Field == "":
		return fmt.Sprintf("not taken (%d): %v", e.Status, e.Err)
	default:
		return fmt.Sprintf("not taken (%d): %s: %v", e.Status, e.Field, e.Err)
	}
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

func isFinal(err error) bool {
	var request *RequestError
	return errors.As(err, &request)
}

// send makes one attempt. A connection that stays silent beyond the patience of
// the client is given up with all idle ones, since they may be silent too.
func (c *Client) send(ctx context.Context, entry *url.URL, x exchange) (*JobAnswer, error) {
	attempt, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	request, err := c.newRequest(attempt, entry, x)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.http.CloseIdleConnections()
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		c.http.CloseIdleConnections()
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	return decodeAnswer(response, body)
}

func (c *Client) newRequest(ctx context.Context, entry *url.URL, x exchange) (*http.Request, error) {
	target := entry.JoinPath(x.path)
	target.RawQuery = x.query
	request, err := http.NewRequestWithContext(ctx, x.method, target.String(), bytes.NewReader(x.body))
	if err != nil {
		return nil, err
	}
	if x.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		request.Header.Set(TokenHeader, "Bearer "+c.token)
	}
	return request, nil
}

// turnedAwayError says that something on the way, an entry or the balancer, did
// not take the request now.
type turnedAwayError struct {
	status  int
	message string
	after   time.Duration // when to come back, if it was said
}

// Error formats the error as one line.
func (e *turnedAwayError) Error() string {
	if e.message == "" {
		return fmt.Sprintf("status %d without an answer about the job", e.status)
	}
	return fmt.Sprintf("status %d: %s", e.status, e.message)
}

// decodeAnswer tells an answer about a job from one about the request, and both
// from what something between the two ends may have sent.
func decodeAnswer(response *http.Response, body []byte) (*JobAnswer, error) {
	answer := &JobAnswer{}
	if err := json.Unmarshal(body, answer); err == nil && answer.Outcome != "" {
		return answer, nil
	}
	status := response.StatusCode
	problem := ErrorAnswer{}
	_ = json.Unmarshal(body, &problem) // a body of another kind leaves it empty
	if problem.Error != "" && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		return nil, &RequestError{Status: status, Field: problem.Field, Err: errors.New(problem.Error)}
	}
	return nil, &turnedAwayError{status: status, message: problem.Error, after: retryAfter(response.Header)}
}

// retryAfter reads the header in whole seconds; the form with a date is not
// used by the system and read as nothing.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
