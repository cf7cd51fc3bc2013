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
	"strings"
	"time"

	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/pause"
)

// Timeouts and bounds of OperatorsClient.
const (
	operatorAnswerTimeout = 12 * time.Second
	operatorAttempts      = 4
	operatorRetryPause    = 500 * time.Millisecond
)

// OperatorsClient is a client of the operators' interface. It repeats requests
// whose answer was lost or that an entry could not carry out. That is safe, since
// the change id makes a change idempotent. Methods return a *RefusedError if an
// entry refused the request, else the error of the last attempt.
type OperatorsClient struct {
	entries []*url.URL
	token   string
	http    *http.Client
}

// NewOperatorsClient returns a client for one or more entries, given the
// addresses of their operators' interfaces. A nil transport means the default. It
// returns an error if no entry is given or the address of one is malformed.
func NewOperatorsClient(entries []string, token string, transport http.RoundTripper) (*OperatorsClient, error) {
	if len(entries) == 0 {
		return nil, errors.New("no entry given")
	}
	if transport == nil {
		transport = newTransport()
	}
	c := &OperatorsClient{token: token, http: &http.Client{Transport: transport}}
	for _, e := range entries {
		u, err := parseEntry(e)
		if err != nil {
			return nil, err
		}
		c.entries = append(c.entries, u)
	}
	return c, nil
}

// RefusedError means that an entry did not carry out a request. Status is the
// HTTP status of the answer.
type RefusedError struct {
	Status  int
	Refusal ChangeRefusal
}

// Error formats the refusal as one line.
func (e *RefusedError) Error() string {
	if e.Refusal.Error == "" {
		return fmt.Sprintf("status %d", e.Status)
	}
	return fmt.Sprintf("%s: %s", e.Refusal.Outcome, e.Refusal.Error)
}

// isRetryable reports whether another attempt may succeed. A change whose
// announcement was not acknowledged is not retried, since the operator must
// decide about that.
func (e *RefusedError) isRetryable() bool {
	return e.Status >= http.StatusInternalServerError && e.Refusal.Outcome != audit.Unannounced
}

// Document returns the whole document.
func (c *OperatorsClient) Document(ctx context.Context) (*DocumentAnswer, error) {
	return operatorRequest[DocumentAnswer](ctx, c, http.MethodGet, PathDocument, nil, nil)
}

// Section returns one section of the document.
func (c *OperatorsClient) Section(ctx context.Context, n document.Name) (*document.Section, error) {
	return operatorRequest[document.Section](ctx, c, http.MethodGet, sectionPath(n), nil, nil)
}

// History returns up to limit versions of a section, newest first.
func (c *OperatorsClient) History(ctx context.Context, n document.Name, limit int) (*HistoryAnswer, error) {
	return operatorRequest[HistoryAnswer](ctx, c, http.MethodGet, sectionPath(n)+"/history", url.Values{"limit": {strconv.Itoa(limit)}}, nil)
}

// Check returns what a change would do, without making it.
func (c *OperatorsClient) Check(ctx context.Context, n document.Name, r ChangeRequest) (*CheckAnswer, error) {
	return operatorRequest[CheckAnswer](ctx, c, http.MethodPost, PathCheck, url.Values{"section": {string(n)}}, &r)
}

// Apply updates or creates a section.
func (c *OperatorsClient) Apply(ctx context.Context, n document.Name, r ChangeRequest) (*ChangeAnswer, error) {
	return operatorRequest[ChangeAnswer](ctx, c, http.MethodPut, sectionPath(n), nil, &r)
}

// Delete removes a section.
func (c *OperatorsClient) Delete(ctx context.Context, n document.Name, r ChangeRequest) (*ChangeAnswer, error) {
	return operatorRequest[ChangeAnswer](ctx, c, http.MethodDelete, sectionPath(n), nil, &r)
}

// Withdraw takes a failure domain out of service.
func (c *OperatorsClient) Withdraw(ctx context.Context, domain string, r ChangeRequest) (*ChangeAnswer, error) {
	return operatorRequest[ChangeAnswer](ctx, c, http.MethodPost, fillPath(PathWithdraw, "{domain}", domain), nil, &r)
}

// Restore returns a failure domain to service.
func (c *OperatorsClient) Restore(ctx context.Context, domain string, r ChangeRequest) (*ChangeAnswer, error) {
	return operatorRequest[ChangeAnswer](ctx, c, http.MethodPost, fillPath(PathRestore, "{domain}", domain), nil, &r)
}

// Drain takes a backend server out of service.
func (c *OperatorsClient) Drain(ctx context.Context, server string, r ChangeRequest) (*ChangeAnswer, error) {
	return operatorRequest[ChangeAnswer](ctx, c, http.MethodPost, fillPath(PathDrain, "{server}", server), nil, &r)
}

// Undrain returns a backend server to service.
func (c *OperatorsClient) Undrain(ctx context.Context, server string, r ChangeRequest) (*ChangeAnswer, error) {
	return operatorRequest[ChangeAnswer](ctx, c, http.MethodPost, fillPath(PathUndrain, "{server}", server), nil, &r)
}

// Audit returns rows of the audit trail, newest first.
func (c *OperatorsClient) Audit(ctx context.Context, q audit.Query) (*AuditAnswer, error) {
	v := url.Values{"by": {q.By}, "section": {q.Section}, "outcome": {string(q.Outcome)}, "limit": {strconv.Itoa(q.Limit)}}
	if !q.Since.IsZero() {
		v.Set("since", q.Since.UTC().Format(time.RFC3339))
	}
	return operatorRequest[AuditAnswer](ctx, c, http.MethodGet, PathAudit, v, nil)
}

// Status returns the state of the cell as one entry sees it.
func (c *OperatorsClient) Status(ctx context.Context) (*StatusAnswer, error) {
	return operatorRequest[StatusAnswer](ctx, c, http.MethodGet, PathStatus, nil, nil)
}

// Report returns the report of changes and job outcomes since the given time.
func (c *OperatorsClient) Report(ctx context.Context, since time.Time) (*ReportAnswer, error) {
	return operatorRequest[ReportAnswer](ctx, c, http.MethodGet, PathReport, url.Values{"since": {since.UTC().Format(time.RFC3339)}}, nil)
}

// ForcePlacement lets one entry commit its next placement epoch without the
// acknowledgements of agents, which agents that are off for good can't give.
func (c *OperatorsClient) ForcePlacement(ctx context.Context) (*ChangeAnswer, error) {
	return operatorRequest[ChangeAnswer](ctx, c, http.MethodPost, PathForcePlacement, nil, nil)
}

func sectionPath(n document.Name) string {
	path := fillPath(PathSection, "{kind}", string(n.Kind()))
	return fillPath(path, "{subject}", n.Subject())
}

func fillPath(pattern, name, value string) string {
	return strings.ReplaceAll(pattern, name, url.PathEscape(value))
}

// operatorRequest sends a request to one entry after another until it is
// answered, it is refused for good, or operatorAttempts are used up.
func operatorRequest[A any](ctx context.Context, c *OperatorsClient, method, path string, query url.Values, r *ChangeRequest) (*A, error) {
	var body []byte
	if r != nil {
		var err error
		if body, err = json.Marshal(r); err != nil {
			return nil, fmt.Errorf("encode the request: %w", err)
		}
	}
	var err error
	for try := range operatorAttempts {
		if try > 0 && !pause.For(ctx, operatorRetryPause) {
			return nil, err
		}
		answer := new(A)
		target := c.entries[try%len(c.entries)].JoinPath(path)
		target.RawQuery = query.Encode()
		if err = c.send(ctx, method, target.String(), body, answer); err == nil {
			return answer, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) && !refused.isRetryable() {
			return nil, err
		}
	}
	return nil, err
}

// send makes one attempt and decodes the body of a 200 answer into answer.
func (c *OperatorsClient) send(ctx context.Context, method, target string, body []byte, answer any) error {
	ctx, stop := context.WithTimeout(ctx, operatorAnswerTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(TokenHeader, "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		c.http.CloseIdleConnections()
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		refused := &RefusedError{Status: response.StatusCode}
		_ = json.Unmarshal(data, &refused.Refusal) // Refusal stays empty if the body is not a ChangeRefusal
		return refused
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	return nil
}
