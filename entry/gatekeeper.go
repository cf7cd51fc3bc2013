package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Limiter bounds the jobs that each team may have admitted; see package
// admission.
type Limiter interface {
	// Admit admits a job and counts it against the limits of its team, waiting
	// until the limits allow it. If ok is false, refusal says why and when to
	// retry; otherwise done must be called once the job has its outcome.
	Admit(ctx context.Context, spec *job.Spec) (done func(), refusal job.Outcome, ok bool)
}

// DocumentAccessPolicy is the AccessPolicy that follows the operators' document:
// tokens are in the team sections, and the service sections say which teams may
// use a service. It leaves the limits of teams to a Limiter.
type DocumentAccessPolicy struct {
	view    atomic.Pointer[document.View]
	limiter Limiter
}

// noDocumentRetry is the time after which callers may retry at an entry that has
// just started and has no document yet.
const noDocumentRetry = 500 * time.Millisecond

// NewDocumentAccessPolicy returns a policy that authorizes and admits nothing until
// SetView has given it a document.
func NewDocumentAccessPolicy(l Limiter) *DocumentAccessPolicy {
	return &DocumentAccessPolicy{limiter: l}
}

// SetView sets the document, unless the current one is as new or newer.
func (p *DocumentAccessPolicy) SetView(v *document.View) {
	if old := p.view.Load(); old == nil || old.Version < v.Version {
		p.view.Store(v)
	}
}

// Authorize reports whether the token is a valid token of the team.
func (p *DocumentAccessPolicy) Authorize(team ident.Team, token string) bool {
	v := p.view.Load()
	if v == nil {
		return false
	}
	id, err := v.Authenticate(token)
	return err == nil && id.Team == team
}

// Admit implements AccessPolicy. It refuses a job whose team may not use its
// service, and leaves the rest to the Limiter.
func (p *DocumentAccessPolicy) Admit(ctx context.Context, spec *job.Spec) (func(), job.Outcome, bool) {
	v := p.view.Load()
	if v == nil {
		return nil, job.Refuse(job.ReasonPlatformUnavailable, noDocumentRetry, "the entry has no document yet"), false
	}
	if !v.MaySubmit(spec.Key.Team, spec.Service) {
		detail := fmt.Sprintf("team %s may not use service %s", spec.Key.Team, spec.Service)
		return nil, job.Refuse(job.ReasonUnauthorized, 0, detail), false
	}
	return p.limiter.Admit(ctx, spec)
}
