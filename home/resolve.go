package home

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
)

// sealRequest is the request for a seal to one former home of a key.
type sealRequest struct {
	peer    placement.Member
	state   sealState
	retryAt time.Duration
}

type sealState int

const (
	sealPending sealState = iota // sent, no answer yet
	sealPaused                   // the peer did not answer; retried at retryAt
	// sealGranted: the peer sealed the key, a vouch covers the peer, or the peer was
	// gone before the job was created.
	sealGranted
	sealImpossible // the peer is gone for good and can't seal
)

// resolve creates a record and asks the other incarnations that could have
// started the job. For a fresh job these are the homes of epochs that a permit
// could still name after the caller's first attempt, since the job did not exist
// before.
func (h *Home) resolve(now time.Duration, e Submit, old *record) {
	r := &record{
		key:          e.Spec.Key,
		digest:       e.Spec.Digest(),
		spec:         e.Spec,
		phase:        phaseResolving,
		fresh:        e.Fresh,
		createdAfter: now - e.Age - h.cfg.FreshSkew,
		tooOld:       h.isTooOld(e.Age),
		waiters:      []ident.RequestID{e.Request},
		arrived:      now,
		deadline:     now + e.Spec.Deadline,
		giveUpAt:     now + h.cfg.ResolveLimit,
	}
	if old != nil {
		r.sealedTo = old.sealedTo
		r.sealEpoch = old.sealEpoch
	}
	h.records[r.key] = r
	h.active = append(h.active, r)
	h.requestSeals(r)
	h.advanceResolve(now, r)
}

// requestSeals asks for a seal at each former home that has not been asked yet. It
// is called again when the placement changes, since a home of an epoch in between
// may have accepted the key.
func (h *Home) requestSeals(r *record) {
	asked := len(r.sealRequests)
	var from ident.Epoch
	to := h.placement.Epoch
	if r.fresh {
		from = h.oldestLapsing(r.createdAfter)
		to--
	}
	for _, m := range h.placement.PossibleHomes(r.key, from, to) {
		h.addSealRequest(r, m)
	}
	if m, ok := h.placement.Member(r.sealedTo); ok {
		h.addSealRequest(r, m)
	}
	for i := asked; i < len(r.sealRequests); i++ {
		h.sendSealRequest(r, &r.sealRequests[i])
	}
}

func (h *Home) addSealRequest(r *record, m placement.Member) {
	known := slices.ContainsFunc(r.sealRequests, func(s sealRequest) bool { return s.peer.Incarnation == m.Incarnation })
	if known || m.Incarnation == h.cfg.Self {
		return
	}
	r.sealRequests = append(r.sealRequests, sealRequest{peer: m})
}

// sendSealRequest sends one seal request, unless the peer's records of this key
// were handed over to this home.
func (h *Home) sendSealRequest(r *record, s *sealRequest) {
	if h.inherits(h.vouches, h.cfg.Self, s.peer.Incarnation, r.key) {
		s.state = sealGranted
		return
	}
	s.state = sealPending
	h.emit(RequestSeal{Peer: s.peer, Key: r.key, Epoch: h.placement.Epoch})
}

// oldestLapsing returns the oldest epoch that a permit could name after the given
// moment. This is the newest known epoch if all older ones had lapsed.
func (h *Home) oldestLapsing(moment time.Duration) ident.Epoch {
	for _, l := range h.lapsing {
		if l.until > moment {
			return l.epoch
		}
	}
	return h.placement.Epoch
}

// sealAnswered processes the answer of a former home.
func (h *Home) sealAnswered(now time.Duration, e SealAnswered) {
	r := h.records[e.Key]
	if r == nil || r.phase != phaseResolving {
		return
	}
	i := slices.IndexFunc(r.sealRequests, func(s sealRequest) bool { return s.peer.Incarnation == e.Peer })
	if i < 0 {
		return
	}
	switch e.Verdict {
	case Sealed:
		r.sealRequests[i].state = sealGranted
		h.applyVouches(r, e)
	case Held:
		h.redirectJob(now, r, e.Peer)
		return
	case Replaced:
		h.replaced(now, r, &r.sealRequests[i], e.GoneFor)
	case Unreachable:
		h.unreachable(now, &r.sealRequests[i])
	}
	h.advanceResolve(now, r)
}

// applyVouches marks as sealed the requests to peers whose records of this key
// the answering peer took over.
func (h *Home) applyVouches(r *record, e SealAnswered) {
	for i := range r.sealRequests {
		if h.inherits(e.Vouches, e.Peer, r.sealRequests[i].peer.Incarnation, r.key) {
			r.sealRequests[i].state = sealGranted
		}
	}
}

// replaced handles the answer that a peer was replaced by another incarnation. A
// peer that was gone before a fresh job was created can't have started it.
func (h *Home) replaced(now time.Duration, r *record, s *sealRequest, goneFor time.Duration) {
	if r.fresh && now-goneFor <= r.createdAfter {
		s.state = sealGranted
		return
	}
	h.markImpossible(s)
}

func (h *Home) markImpossible(s *sealRequest) {
	if s.state != sealGranted {
		s.state = sealImpossible
	}
}

// unreachable handles a seal request without an answer. A peer that the placement
// no longer lists is considered gone; any other is asked again.
func (h *Home) unreachable(now time.Duration, s *sealRequest) {
	if s.state == sealGranted {
		return
	}
	if !h.placement.Lists(s.peer.Incarnation) {
		s.state = sealImpossible
		return
	}
	s.state = sealPaused
	s.retryAt = now + h.cfg.ResolveRetry
}

// redirectJob redirects all waiting requests to the home that holds the record and
// retires the record here.
func (h *Home) redirectJob(now time.Duration, r *record, holder ident.Incarnation) {
	waiters := r.waiters
	r.waiters = nil
	h.retire(now, r)
	for _, req := range waiters {
		h.redirectTo(req, holder, false)
	}
}

// advanceAllResolving calls advanceResolve for every resolving job.
func (h *Home) advanceAllResolving(now time.Duration) {
	for _, r := range slices.Clone(h.active) {
		h.advanceResolve(now, r)
	}
}

// advanceResolve starts, refuses or fails a resolving job once the answers to its
// seal requests allow it.
func (h *Home) advanceResolve(now time.Duration, r *record) {
	if r.phase != phaseResolving {
		return
	}
	pending, impossible := r.countSealRequests()
	switch {
	case !h.leftPlacement && !h.permitted(now):
		// Wait for the permit, or until the record's giveUpAt time.
	case pending == 0 && impossible == 0:
		h.begin(now, r)
	case pending == 0 && r.isFirst():
		// The caller may have resubmitted while this request was delayed, and
		// the lost home may have run the resubmission, so the job can't start.
		// This request has started nothing, so the job is refused, not failed.
		h.discard(now, r, job.Refuse(job.ReasonHomeLost, h.cfg.RetryAfter, "a former home of the key was lost a moment ago"))
	case pending == 0:
		h.conclude(now, r, job.Fail(job.ReasonHomeLost, 0, "a home that may have run the job is gone"))
	}
}

// countSealRequests counts the seal requests without an answer and those that can
// never be answered.
func (r *record) countSealRequests() (pending, impossible int) {
	for i := range r.sealRequests {
		switch r.sealRequests[i].state {
		case sealPending, sealPaused:
			pending++
		case sealImpossible:
			impossible++
		}
	}
	return pending, impossible
}

// retryResolve repeats paused seal requests that are due, and ends the job once
// its giveUpAt time has passed.
func (h *Home) retryResolve(now time.Duration, r *record) {
	h.advanceResolve(now, r)
	if r.phase != phaseResolving {
		return
	}
	if now >= r.giveUpAt {
		h.giveUp(now, r)
		return
	}
	for i := range r.sealRequests {
		s := &r.sealRequests[i]
		if s.state == sealPaused && now >= s.retryAt {
			h.sendSealRequest(r, s)
		}
	}
}

// giveUp ends a job that could not be resolved within ResolveLimit.
func (h *Home) giveUp(now time.Duration, r *record) {
	if !h.permitted(now) {
		h.discard(now, r, h.rejection(r.isFirst(), job.ReasonNoPermit, "the agent has no permit for the newest epoch"))
		return
	}
	h.discard(now, r, h.rejection(r.isFirst(), job.ReasonUnresolved, "a former home of the job does not answer"))
}
