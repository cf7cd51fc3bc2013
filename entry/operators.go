package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/control"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
)

// Timeouts and bounds of the operators' interface.
const (
	// operatorTimeout is the time limit of one request.
	operatorTimeout = 10 * time.Second
	// maxChangeBytes bounds the body of a change request. JSON escapes may double
	// the length of the text.
	maxChangeBytes = 4*document.MaxSectionBytes + 4096
	// refusalInterval is the time over which refused tokens of the same kind are
	// counted in one audit row.
	refusalInterval = 10 * time.Second
)

// errNoDocument means that the entry has not read the operators' document yet.
var errNoDocument = errors.New("the entry has no document yet; try another one")

// OperatorsConfig configures the operators' interface.
type OperatorsConfig struct {
	Self ident.Incarnation
	// Control is the entry's control plane.
	Control *control.Controller
	// BootstrapSHA256 is the hash of the bootstrap token, which is accepted as an
	// operator's until the operators team has a section. Empty means that there
	// is none.
	BootstrapSHA256 string
	// Tallies returns the counts of answers to callers in the last hour. It may
	// be nil.
	Tallies func() []api.JobTally
}

// OperatorsHandler is the HTTP handler of the operators' interface, which package
// api defines.
type OperatorsHandler struct {
	cfg   OperatorsConfig
	store *control.Store
	mux   *http.ServeMux
	// origin is when the handler was created; refusals are timed from it.
	origin   time.Time
	mu       sync.Mutex
	refusals *audit.Refusals
}

// operatorHandler handles a request of the operators' interface whose token was
// accepted. by is the identity of the operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, by document.Identity)

// NewOperatorsHandler returns the handler of the operators' interface.
func NewOperatorsHandler(cfg OperatorsConfig) *OperatorsHandler {
	o := &OperatorsHandler{
		cfg:      cfg,
		store:    cfg.Control.Store(),
		mux:      http.NewServeMux(),
		origin:   time.Now(),
		refusals: audit.NewRefusals(refusalInterval),
	}
	o.handle("GET "+api.PathDocument, o.document)
	o.handle("GET "+api.PathSection, o.section)
	o.handle("PUT "+api.PathSection, o.put)
	o.handle("DELETE "+api.PathSection, o.remove)
	o.handle("GET "+api.PathHistory, o.history)
	o.handle("POST "+api.PathCheck, o.check)
	o.handle("POST "+api.PathWithdraw, o.withdraw)
	o.handle("POST "+api.PathRestore, o.restore)
	o.handle("POST "+api.PathDrain, o.drain)
	o.handle("POST "+api.PathUndrain, o.undrain)
	o.handle("GET "+api.PathAudit, o.audit)
	o.handle("GET "+api.PathStatus, o.status)
	o.handle("GET "+api.PathReport, o.report)
	o.handle("POST "+api.PathForcePlacement, o.forcePlacement)
	return o
}

// ServeHTTP serves one request. A request without an operator's token gets the
// same answer at every path, so it doesn't reveal which paths exist.
func (o *OperatorsHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, status := o.identify(r); status != http.StatusOK {
		o.refuseAccess(w, r, status)
		return
	}
	o.mux.ServeHTTP(w, r)
}

func (o *OperatorsHandler) handle(pattern string, h operatorHandler) {
	o.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), operatorTimeout)
		defer stop()
		by, status := o.identify(r)
		if status != http.StatusOK {
			o.refuseAccess(w, r, status)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxChangeBytes)
		h(w, r.WithContext(ctx), by)
	})
}

// Run writes audit rows of refused tokens, once per second, until the context
// ends.
func (o *OperatorsHandler) Run(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			o.flushRefusals()
		case <-ctx.Done():
			return
		}
	}
}

func (o *OperatorsHandler) flushRefusals() {
	o.mu.Lock()
	rows := o.refusals.Flush(time.Since(o.origin))
	o.mu.Unlock()
	for _, r := range rows {
		o.store.RecordAudit(r)
	}
}

// identify returns the identity that the token of a request stands for, and
// status 200 if it is an operator's, otherwise the status to refuse the request
// with.
func (o *OperatorsHandler) identify(r *http.Request) (document.Identity, int) {
	token, ok := strings.CutPrefix(r.Header.Get(api.TokenHeader), "Bearer ")
	if !ok {
		return document.Identity{}, http.StatusUnauthorized
	}
	view := o.cfg.Control.View()
	if view == nil {
		return document.Identity{}, http.StatusServiceUnavailable
	}
	if !view.HasTeam(document.OperatorsTeam) && document.MatchesBootstrapHash(token, o.cfg.BootstrapSHA256) {
		return document.Identity{Team: document.OperatorsTeam, TokenID: "bootstrap", Role: document.RoleOperator}, http.StatusOK
	}
	by, err := view.Authenticate(token)
	switch {
	case err != nil:
		return document.Identity{}, http.StatusUnauthorized
	case by.Role != document.RoleOperator:
		return by, http.StatusForbidden
	}
	return by, http.StatusOK
}

// refuseAccess answers a request that identify didn't accept. A refused token is
// recorded for the audit trail.
func (o *OperatorsHandler) refuseAccess(w http.ResponseWriter, r *http.Request, status int) {
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
		refuse(w, status, audit.Unavailable, errNoDocument.Error())
		return
	}
	o.recordRefusal(r, status, "token refused at the operators' interface")
	if status == http.StatusForbidden {
		refuse(w, status, audit.Forbidden, "this token is not for operators")
		return
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	refuse(w, status, audit.Unauthorized, document.ErrInvalidToken.Error())
}

// RecordRefusedCaller records for the audit trail that the token of a request to
// the callers' interface was refused with the given HTTP status (401 or 403).
func (o *OperatorsHandler) RecordRefusedCaller(r *http.Request, status int) {
	o.recordRefusal(r, status, "token refused at the callers' interface")
}

func (o *OperatorsHandler) recordRefusal(r *http.Request, status int, detail string) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = "unknown"
	}
	outcome := audit.Unauthorized
	if status == http.StatusForbidden {
		outcome = audit.Forbidden
	}
	row := audit.Row{
		ID: control.NewID(), UnixMS: time.Now().UnixMilli(), Entry: o.cfg.Self, By: host,
		Action: audit.PresentToken, Outcome: outcome, Detail: detail,
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refusals.Add(time.Since(o.origin), row)
}
