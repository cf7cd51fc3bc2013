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

// Limiter bounds what a team may start; see package admission.
type Limiter interface {
	// Admit takes a job into account, waiting for its turn if it has to. If it
	// returns false, the outcome says why and when to come back; otherwise the
	// caller calls done once the job has its outcome.
	Admit(ctx context.Context, spec *job.Spec) (done func(), refusal job.Outcome, ok bool)
}

// DocumentGatekeeper lets callers in by the operators' document: by the tokens of
// the team sections, the teams of the service sections, and the limits.
type DocumentGatekeeper struct {
	view    atomic.Pointer[document.View]
	limiter Limiter
}

// noDocumentRetry is when callers come back to an entry that has just started.
const noDocumentRetry = 500 * time.Millisecond

// NewDocumentGatekeeper returns a gatekeeper that lets nobody in until it has a
// document.
func NewDocumentGatekeeper(l Limiter) *DocumentGatekeeper { return &DocumentGatekeeper{limiter: l} }

// SetView hands over a newer document. An older one is ignored.
func (g *DocumentGatekeeper) SetView(v *document.View) {
	if old := g.view.Load(); old == nil || old.Version < v.Version {
		g.view.Store(v)
	}
}

// Authorize reports whether the token belongs to the team.
func (g *DocumentGatekeeper) Authorize(team ident.Team, token string) bool {
	v := g.view.Load()
	if v == nil {
		return false
	}
	id, err := v.Authenticate(token)
	return err == nil && id.Team == team
}

// Admit checks the service and the team's limits.
func (g *DocumentGatekeeper) Admit(ctx context.Context, spec *job.Spec) (func(), job.Outcome, bool) {
	v := g.view.Load()
	if v == nil {
		return nil, job.Refuse(job.ReasonPlatformUnavailable, noDocumentRetry, "the entry has no document yet"), false
	}
	if !v.MaySubmit(spec.Key.Team, spec.Service) {
		detail := fmt.Sprintf("team %s may not use service %s", spec.Key.Team, spec.Service)
		return nil, job.Refuse(job.ReasonUnauthorized, 0, detail), false
	}
	return g.limiter.Admit(ctx, spec)
}
