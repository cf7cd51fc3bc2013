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

// maxAnswerBytes is the largest answer that a client reads, in bytes.
const maxAnswerBytes = 1 << 30

// apiRequest is one request to the callers' interface, without the entry's
// address.
type apiRequest struct {
	method string
	path   string
	query  string
	body   []byte
}

// RequestError means that the request itself was not accepted, such as a
// malformed one. Nothing of it was started, and sending it again unchanged is
// pointless.
type RequestError struct {
	// Status is the HTTP status, or 0 if the request was never sent.
	Status int
	// Field is the name of the invalid field, if the error is about one.
	Field string
	Err   error
}

// Error formats the error as one line.
func (e *RequestError) Error() string {
	switch {
	case e.Status == 0:
		return e.Err.Error()
	case e.Field == "":
		return fmt.Sprintf("request not accepted (%d): %v", e.Status, e.Err)
	default:
		return fmt.Sprintf("request not accepted (%d): %s: %v", e.Status, e.Field, e.Err)
	}
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

func isRequestError(err error) bool {
	var request *RequestError
	return errors.As(err, &request)
}

// send makes one attempt. If no answer arrives within the answer timeout or the
// connection fails, it closes all idle connections too, since they may be dead as
// well.
func (c *Client) send(ctx context.Context, entry *url.URL, x apiRequest) (*JobAnswer, error) {
	attempt, cancel := context.WithTimeout(ctx, c.answerTimeout)
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

func (c *Client) newRequest(ctx context.Context, entry *url.URL, x apiRequest) (*http.Request, error) {
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

// unavailableError means that an entry, or the load balancer before it, temporarily
// did not accept the request.
type unavailableError struct {
	status     int
	message    string
	retryAfter time.Duration // time after which to retry, or 0 if none was given
}

// Error formats the error as one line.
func (e *unavailableError) Error() string {
	if e.message == "" {
		return fmt.Sprintf("status %d without an answer about the job", e.status)
	}
	return fmt.Sprintf("status %d: %s", e.status, e.message)
}

// decodeAnswer returns an answer about a job, a *RequestError if the entry
// rejected the request itself, or an *unavailableError for any other answer,
// which may come from the load balancer.
func decodeAnswer(response *http.Response, body []byte) (*JobAnswer, error) {
	answer := &JobAnswer{}
	if err := json.Unmarshal(body, answer); err == nil && answer.Outcome != "" {
		return answer, nil
	}
	status := response.StatusCode
	problem := ErrorAnswer{}
	_ = json.Unmarshal(body, &problem) // problem stays empty if the body is not an ErrorAnswer
	if problem.Error != "" && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		return nil, &RequestError{Status: status, Field: problem.Field, Err: errors.New(problem.Error)}
	}
	return nil, &unavailableError{status: status, message: problem.Error, retryAfter: retryAfterHeader(response.Header)}
}

// retryAfterHeader returns the time in the Retry-After header if it is in
// seconds. The form with a date, which the system doesn't use, counts as no
// header.
func retryAfterHeader(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
