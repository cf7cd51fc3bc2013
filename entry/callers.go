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

// Why an entry takes no work.
var (
	errStopping    = errors.New("the entry is stopping")
	errNoPlacement = errors.New("no agent is known yet")
	errBusy        = errors.New("the entry is too busy")
)

// Times of the callers' interface.
const (
	// stateTimeout bounds a state request or cancellation.
	stateTimeout = 5 * time.Second
	// busyRetry is when callers come back to an entry that is full.
	busyRetry = time.Second
)

// callers serves the callers' interface.
type callers struct {
	entry *Entry
	mux   *http.ServeMux
}

func newCallers(e *Entry) *callers {
	c := &callers{entry: e, mux: http.NewServeMux()}
	c.mux.HandleFunc("POST "+api.PathJobs, c.submit)
	c.mux.HandleFunc("GET "+api.PathJob, c.get)
	c.mux.HandleFunc("DELETE "+api.PathJob, c.cancel)
	return c
}

// ServeHTTP serves one request.
func (c *callers) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

// submit takes a job and answers with its final outcome.
func (c *callers) submit(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	size := bodySize(r)
	if !c.enter(w, size) {
		return
	}
	defer c.leave(size)
	token, ok := c.bearer(w, r)
	if !ok {
		return
	}
	c.limitBody(w)
	spec, mark, problem := api.DecodeJob(r.Body, time.Now())
	if problem != nil {
		c.problem(w, problem)
		return
	}
	if !c.authorize(w, r, spec.Key.Team, token) {
		return
	}
	o := c.run(r.Context(), spec, mark)
	c.finish(r.Context(), w, spec.Key, &o, time.Since(began))
}

// bodySize is the size that a request may have. One that does not name its length
// counts as the largest.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return api.MaxBodyBytes
	}
	return min(r.ContentLength, api.MaxBodyBytes)
}

// run admits a job, routes it and returns its outcome.
func (c *callers) run(ctx context.Context, spec *job.Spec, mark api.Mark) job.Outcome {
	done, refusal, ok := c.entry.cfg.Gatekeeper.Admit(ctx, spec)
	if !ok {
		return admissionOutcome(refusal, mark)
	}
	defer done()
	action, err := c.entry.route(ctx, routing.Request{
		Op:           routing.OpSubmit,
		Key:          spec.Key,
		Spec:         spec,
		First:        mark.First,
		FirstAttempt: mark.FirstAt,
		Deadline:     spec.Deadline,
	})
	return outcomeOf(action, err, mark.First)
}

// admissionOutcome is the outcome of a job that was not admitted. A resubmission
// may have run earlier, so it is not told that it has not.
func admissionOutcome(refusal job.Outcome, mark api.Mark) job.Outcome {
	if mark.First {
		return refusal
	}
	return job.Fail(job.ReasonUnresolved, refusal.RetryAfter, string(refusal.Reason)+": "+refusal.Detail)
}

func outcomeOf(action routing.Action, err error, first bool) job.Outcome {
	if reply, ok := action.(routing.Reply); ok {
		return reply.Outcome
	}
	if errors.Is(err, errBusy) {
		return admissionOutcome(job.Refuse(job.ReasonOverloaded, busyRetry, errBusy.Error()), api.Mark{First: first})
	}
	return job.Fail(job.ReasonUnresolved, busyRetry, "the caller hung up")
}

// get answers with the state of a job, or with ?wait=1 with its outcome.
func (c *callers) get(w http.ResponseWriter, r *http.Request) {
	op := routing.OpState
	deadline := stateTimeout
	if r.URL.Query().Get("wait") == "1" {
		op = routing.OpWait
		deadline = job.MaxDeadline
	}
	c.ask(w, r, op, deadline)
}

// cancel ends a job.
func (c *callers) cancel(w http.ResponseWriter, r *http.Request) {
	c.ask(w, r, routing.OpCancel, stateTimeout)
}

// ask routes a request about a job that was submitted before.
func (c *callers) ask(w http.ResponseWriter, r *http.Request, op routing.Op, deadline time.Duration) {
	key, problem := api.CheckKey(r.PathValue("team"), r.PathValue("key"))
	if problem != nil {
		c.problem(w, problem)
		return
	}
	token, ok := c.bearer(w, r)
	if !ok || !c.authorize(w, r, key.Team, token) || !c.enter(w, 0) {
		return
	}
	defer c.leave(0)
	action, err := c.entry.route(r.Context(), routing.Request{Op: op, Key: key, Deadline: deadline})
	if s, ok := action.(routing.ReplyState); ok {
		c.state(w, key, s)
		return
	}
	o := outcomeOf(action, err, false)
	_ = api.EncodeOutcome(w, key, &o)
}

func (c *callers) state(w http.ResponseWriter, key ident.JobKey, s routing.ReplyState) {
	_ = api.EncodeState(w, &api.JobAnswer{
		Team:       string(key.Team),
		Key:        key.Key,
		Outcome:    api.OutcomeRunning,
		MayHaveRun: s.Started > 0,
		Total:      s.Total,
		Started:    s.Started,
		Finished:   s.Finished,
	})
}

// enter takes a request into account. A full or stopping entry turns it away
// unread, before anything of it can have been started here.
func (c *callers) enter(w http.ResponseWriter, size int64) bool {
	e := c.entry
	jobs := e.inFlight.Add(1)
	bytes := e.bytes.Add(size)
	switch {
	case e.stopping.Load():
		c.turnAway(w, size, errStopping)
		return false
	case jobs > e.cfg.Limits.JobsInFlight || bytes > e.cfg.Limits.BytesInFlight:
		c.turnAway(w, size, errBusy)
		return false
	}
	return true
}

func (c *callers) leave(size int64) {
	c.entry.bytes.Add(-size)
	c.entry.inFlight.Add(-1)
}

func (c *callers) turnAway(w http.ResponseWriter, size int64, cause error) {
	c.leave(size)
	w.Header().Set("Retry-After", "1")
	c.problem(w, &api.Problem{Status: http.StatusServiceUnavailable, Reason: job.ReasonOverloaded, Message: cause.Error() + "; the request was not read"})
}

// limitBody bounds the time that a caller may take to send its request.
func (c *callers) limitBody(w http.ResponseWriter) {
	if t := c.entry.cfg.Limits.BodyTimeout; t > 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(t))
	}
}

// bearer returns the token of a request if it is that of any team. A stranger is
// turned away before the body is read.
func (c *callers) bearer(w http.ResponseWriter, r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get(api.TokenHeader), "Bearer ")
	team, _, _ := strings.Cut(token, "/")
	if !ok || !c.entry.cfg.Gatekeeper.Authorize(ident.Team(team), token) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		c.refuseToken(w, r, http.StatusUnauthorized, "missing or wrong token")
		return "", false
	}
	return token, true
}

// authorize turns a request away if its token is that of another team.
func (c *callers) authorize(w http.ResponseWriter, r *http.Request, team ident.Team, token string) bool {
	if !c.entry.cfg.Gatekeeper.Authorize(team, token) {
		c.refuseToken(w, r, http.StatusForbidden, "the token does not belong to the team")
		return false
	}
	return true
}

func (c *callers) refuseToken(w http.ResponseWriter, r *http.Request, status int, message string) {
	if c.entry.cfg.TokenRefused != nil {
		c.entry.cfg.TokenRefused(r, status)
	}
	c.problem(w, &api.Problem{Status: status, Reason: job.ReasonUnauthorized, Message: message})
}

func (c *callers) problem(w http.ResponseWriter, p *api.Problem) { _ = api.WriteProblem(w, p) }

// finish writes the outcome, counts it and logs it.
func (c *callers) finish(ctx context.Context, w http.ResponseWriter, key ident.JobKey, o *job.Outcome, took time.Duration) {
	e := c.entry
	if e.cfg.Record != nil {
		e.cfg.Record(ctx, key.Team, o, took)
	}
	if e.log.DebugEnabled() || o.Kind != job.Complete {
		e.log.Info("job answered", telemetry.Job(key), telemetry.Outcome(*o), telemetry.Elapsed(took))
	}
	_ = api.EncodeOutcome(w, key, o)
}
