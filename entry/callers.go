package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/routing"
	"foxtaildock.example/dock/telemetry"
)

// Reasons why an entry accepts no work. Callers and the load balancer get them as
// texts.
var (
	errStopping    = errors.New("the entry is stopping")
	errNoPlacement = errors.New("no agent is known yet")
	errBusy        = errors.New("the entry is too busy")
)

// Timeouts of the callers' interface.
const (
	// stateTimeout is the time limit of a state request or a cancellation.
	stateTimeout = 5 * time.Second
	// busyRetry is the time after which callers may retry at an entry that is
	// overloaded.
	busyRetry = time.Second
)

// callersHandler serves the callers' HTTP interface, which package api defines.
type callersHandler struct {
	entry *Entry
	mux   *http.ServeMux
}

func newCallersHandler(e *Entry) *callersHandler {
	c := &callersHandler{entry: e, mux: http.NewServeMux()}
	c.mux.HandleFunc("POST "+api.PathJobs, c.submit)
	c.mux.HandleFunc("GET "+api.PathJob, c.get)
	c.mux.HandleFunc("DELETE "+api.PathJob, c.cancel)
	return c
}

// ServeHTTP serves one request.
func (c *callersHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

// submit accepts a job and answers with its final outcome.
func (c *callersHandler) submit(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	size := bodySize(r)
	if !c.reserve(w, size) {
		return
	}
	defer c.release(size)
	token, ok := c.authenticate(w, r)
	if !ok {
		return
	}
	c.setBodyDeadline(w)
	spec, attempt, problem := api.DecodeJob(r.Body, time.Now())
	if problem != nil {
		c.writeProblem(w, problem)
		return
	}
	if !c.authorize(w, r, spec.Key.Team, token) {
		return
	}
	o := c.run(r.Context(), spec, attempt)
	c.finish(r.Context(), w, spec.Key, &o, time.Since(began))
}

// bodySize returns the bytes that a request counts against Limits.BytesInFlight.
// A request without a Content-Length counts as api.MaxBodyBytes.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return api.MaxBodyBytes
	}
	return min(r.ContentLength, api.MaxBodyBytes)
}

// run admits a job, routes it and returns its outcome.
func (c *callersHandler) run(ctx context.Context, spec *job.Spec, attempt api.AttemptInfo) job.Outcome {
	done, refusal, ok := c.entry.cfg.AccessPolicy.Admit(ctx, spec)
	if !ok {
		return admissionOutcome(refusal, attempt)
	}
	defer done()
	action, err := c.entry.route(ctx, routing.Request{
		Op:           routing.OpSubmit,
		Key:          spec.Key,
		Spec:         spec,
		First:        attempt.First,
		FirstAttempt: attempt.FirstAt,
		Deadline:     spec.Deadline,
	})
	return outcomeOf(action, err, attempt.First)
}

// admissionOutcome returns the outcome of a job that was not admitted. A first
// attempt is refused, which says that nothing was started. A resubmission fails
// as unresolved instead, since an earlier attempt may have run.
func admissionOutcome(refusal job.Outcome, attempt api.AttemptInfo) job.Outcome {
	if attempt.First {
		return refusal
	}
	return job.Fail(job.ReasonUnresolved, refusal.RetryAfter, string(refusal.Reason)+": "+refusal.Detail)
}

func outcomeOf(action routing.Action, err error, first bool) job.Outcome {
	if reply, ok := action.(routing.Reply); ok {
		return reply.Outcome
	}
	if errors.Is(err, errBusy) {
		return admissionOutcome(job.Refuse(job.ReasonOverloaded, busyRetry, errBusy.Error()), api.AttemptInfo{First: first})
	}
	return job.Fail(job.ReasonUnresolved, busyRetry, "the caller hung up")
}

// get answers with the state of a job, or with ?wait=1 with its outcome.
func (c *callersHandler) get(w http.ResponseWriter, r *http.Request) {
	op := routing.OpState
	deadline := stateTimeout
	if r.URL.Query().Get("wait") == "1" {
		op = routing.OpWait
		deadline = job.MaxDeadline
	}
	c.routeByKey(w, r, op, deadline)
}

// cancel cancels a job.
func (c *callersHandler) cancel(w http.ResponseWriter, r *http.Request) {
	c.routeByKey(w, r, routing.OpCancel, stateTimeout)
}

// routeByKey routes a state request, wait or cancellation of a job that was
// submitted before.
func (c *callersHandler) routeByKey(w http.ResponseWriter, r *http.Request, op routing.Op, deadline time.Duration) {
	key, problem := api.CheckKey(r.PathValue("team"), r.PathValue("key"))
	if problem != nil {
		c.writeProblem(w, problem)
		return
	}
	token, ok := c.authenticate(w, r)
	if !ok || !c.authorize(w, r, key.Team, token) || !c.reserve(w, 0) {
		return
	}
	defer c.release(0)
	action, err := c.entry.route(r.Context(), routing.Request{Op: op, Key: key, Deadline: deadline})
	if s, ok := action.(routing.ReplyState); ok {
		c.writeState(w, key, s)
		return
	}
	o := outcomeOf(action, err, false)
	_ = api.WriteOutcome(w, key, &o)
}

func (c *callersHandler) writeState(w http.ResponseWriter, key ident.JobKey, s routing.ReplyState) {
	_ = api.WriteState(w, &api.JobAnswer{
		Team:       string(key.Team),
		Key:        key.Key,
		Outcome:    api.OutcomeRunning,
		MayHaveRun: s.Started > 0,
		Total:      s.Total,
		Started:    s.Started,
		Finished:   s.Finished,
	})
}

// reserve counts a request and the size of its body against the entry's limits,
// until release. If the entry is stopping or a limit is exceeded, it refuses the
// request before the body is read, so nothing of it can have been started here.
func (c *callersHandler) reserve(w http.ResponseWriter, size int64) bool {
	e := c.entry
	jobs := e.inFlight.Add(1)
	bytes := e.bytes.Add(size)
	switch {
	case e.stopping.Load():
		c.refuseUnavailable(w, size, errStopping)
		return false
	case jobs > e.cfg.Limits.JobsInFlight || bytes > e.cfg.Limits.BytesInFlight:
		c.refuseUnavailable(w, size, errBusy)
		return false
	}
	return true
}

func (c *callersHandler) release(size int64) {
	c.entry.bytes.Add(-size)
	c.entry.inFlight.Add(-1)
}

func (c *callersHandler) refuseUnavailable(w http.ResponseWriter, size int64, cause error) {
	c.release(size)
	w.Header().Set("Retry-After", "1")
	c.writeProblem(w, &api.Problem{Status: http.StatusServiceUnavailable, Reason: job.ReasonOverloaded, Message: cause.Error() + "; the request was not read"})
}

// setBodyDeadline bounds the time that a caller may take to send the request
// body.
func (c *callersHandler) setBodyDeadline(w http.ResponseWriter) {
	if t := c.entry.cfg.Limits.BodyTimeout; t > 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(t))
	}
}

// authenticate returns the token of a request if it is a valid token of any team.
// Other requests are refused before the body is read.
func (c *callersHandler) authenticate(w http.ResponseWriter, r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get(api.TokenHeader), "Bearer ")
	team, _, _ := strings.Cut(token, "/")
	if !ok || !c.entry.cfg.AccessPolicy.Authorize(ident.Team(team), token) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		c.refuseToken(w, r, http.StatusUnauthorized, "missing or wrong token")
		return "", false
	}
	return token, true
}

// authorize refuses a request whose token belongs to another team.
func (c *callersHandler) authorize(w http.ResponseWriter, r *http.Request, team ident.Team, token string) bool {
	if !c.entry.cfg.AccessPolicy.Authorize(team, token) {
		c.refuseToken(w, r, http.StatusForbidden, "the token does not belong to the team")
		return false
	}
	return true
}

func (c *callersHandler) refuseToken(w http.ResponseWriter, r *http.Request, status int, message string) {
	if c.entry.cfg.TokenRefused != nil {
		c.entry.cfg.TokenRefused(r, status)
	}
	c.writeProblem(w, &api.Problem{Status: status, Reason: job.ReasonUnauthorized, Message: message})
}

func (c *callersHandler) writeProblem(w http.ResponseWriter, p *api.Problem) {
	_ = api.WriteProblem(w, p)
}

// finish records the outcome for metrics, logs it and writes the answer.
func (c *callersHandler) finish(ctx context.Context, w http.ResponseWriter, key ident.JobKey, o *job.Outcome, took time.Duration) {
	e := c.entry
	if e.cfg.RecordOutcome != nil {
		e.cfg.RecordOutcome(ctx, key.Team, o, took)
	}
	if e.log.DebugEnabled() || o.Kind != job.Complete {
		e.log.Info("job answered", telemetry.Job(key), telemetry.Outcome(*o), telemetry.Elapsed(took))
	}
	_ = api.WriteOutcome(w, key, o)
}
