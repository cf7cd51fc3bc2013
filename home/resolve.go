package home

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
)

// ask is one former home that has to seal a key.
type ask struct {
	peer    placement.Member
	state   askState
	retryAt time.Duration
}

type askState int

const (
	askOpen     askState = iota // asked, no answer yet
	askPaused                   // no answer could be had, to be asked again
	askSealed                   // sealed, or vouched for
	askVanished                 // gone for good, can't seal
)

// resolve makes a record and asks the other places that could have started the
// job. For a fresh one these are the places of epochs that a permit could still
// name after the caller's first attempt: before it the job did not exist.
func (h *Home) resolve(now time.Duration, e Submit, old *record) {
	r := &record{
		key:      e.Spec.Key,
		digest:   e.Spec.Digest(),
		spec:     e.Spec,
		phase:    phaseResolving,
		fresh:    e.Fresh,
		exists:   now - e.Age - h.cfg.FreshSkew,
		tooOld:   h.isTooOld(e.Age),
		waiters:  []ident.RequestID{e.Request},
		arrived:  now,
		deadline: now + e.Spec.Deadline,
		giveUp:   now + h.cfg.ResolveLimit,
	}
	if old != nil {
		r.sealedTo = old.sealedTo
		r.sealEpoch = old.sealEpoch
	}
	h.records[r.key] = r
	h.active = append(h.active, r)
	h.openAsks(r)
	h.settle(now, r)
}

// openAsks determines whom to ask and asks those that were not asked yet. It is
// repeated when the placement moves, since a home of an epoch in between may
// have accepted the key.
func (h *Home) openAsks(r *record) {
	asked := len(r.asks)
	var from ident.Epoch
	to := h.placement.Epoch
	if r.fresh {
		from = h.oldestLapsing(r.exists)
		to--
	}
	for _, m := range h.placement.Places(r.key, from, to) {
		h.addAsk(r, m)
	}
	if m, ok := h.placement.Member(r.sealedTo); ok {
		h.addAsk(r, m)
	}
	for i := asked; i < len(r.asks); i++ {
		h.ask(r, &r.asks[i])
	}
}

func (h *Home) addAsk(r *record, m placement.Member) {
	known := slices.ContainsFunc(r.asks, func(a ask) bool { return a.peer.Incarnation == m.Incarnation })
	if known || m.Incarnation == h.cfg.Self {
		return
	}
	r.asks = append(r.asks, ask{peer: m})
}

// ask sends one question, unless the peer handed its records over to this home.
func (h *Home) ask(r *record, a *ask) {
	if h.inherits(h.vouches, h.cfg.Self, a.peer.Incarnation, r.key) {
		a.state = askSealed
		return
	}
	a.state = askOpen
	h.emit(AskSeal{Peer: a.peer, Key: r.key, Epoch: h.placement.Epoch})
}

// oldestLapsing returns the oldest epoch that a permit could name after the
// given moment, or the newest known epoch if permits could name no other.
func (h *Home) oldestLapsing(moment time.Duration) ident.Epoch {
	for _, l := range h.lapsing {
		if l.until > moment {
			return l.epoch
		}
	}
	return h.placement.Epoch
}

// sealAnswered takes the answer of a former home.
func (h *Home) sealAnswered(now time.Duration, e SealAnswered) {
	r := h.records[e.Key]
	if r == nil || r.phase != phaseResolving {
		return
	}
	i := slices.IndexFunc(r.asks, func(a ask) bool { return a.peer.Incarnation == e.Peer })
	if i < 0 {
		return
	}
	switch e.Verdict {
	case Sealed:
		r.asks[i].state = askSealed
		h.applyVouches(r, e)
	case Held:
		h.passOn(now, r, e.Peer)
		return
	case Replaced:
		h.replaced(now, r, &r.asks[i], e.GoneFor)
	case Unreachable:
		h.unreachable(now, &r.asks[i])
	}
	h.settle(now, r)
}

// applyVouches marks peers as sealed whose records the answering peer inherited.
func (h *Home) applyVouches(r *record, e SealAnswered) {
	for i := range r.asks {
		if h.inherits(e.Vouches, e.Peer, r.asks[i].peer.Incarnation, r.key) {
			r.asks[i].state = askSealed
		}
	}
}

// replaced takes a peer that is gone. One that was gone before a fresh job existed
// can't have started it.
func (h *Home) replaced(now time.Duration, r *record, a *ask, goneFor time.Duration) {
	if r.fresh && now-goneFor <= r.exists {
		a.state = askSealed
		return
	}
	h.vanish(a)
}

func (h *Home) vanish(a *ask) {
	if a.state != askSealed {
		a.state = askVanished
	}
}

// unreachable notes a question without an answer. A peer that the placement no
// longer lists is taken for gone, any other is asked again.
func (h *Home) unreachable(now time.Duration, a *ask) {
	if a.state == askSealed {
		return
	}
	if !h.placement.Lists(a.peer.Incarnation) {
		a.state = askVanished
		return
	}
	a.state = askPaused
	a.retryAt = now + h.cfg.ResolveRetry
}

// passOn sends everybody who waits to the home that holds the record.
func (h *Home) passOn(now time.Duration, r *record, holder ident.Incarnation) {
	waiters := r.waiters
	r.waiters = nil
	h.retire(now, r)
	for _, req := range waiters {
		h.redirectTo(req, holder, false)
	}
}

// settleAll looks at every resolving job again.
func (h *Home) settleAll(now time.Duration) {
	for _, r := range slices.Clone(h.active) {
		h.settle(now, r)
	}
}

// settle starts or ends a resolving job as soon as the answers allow it.
func (h *Home) settle(now time.Duration, r *record) {
	if r.phase != phaseResolving {
		return
	}
	open, vanished := r.openAsks()
	switch {
	case !h.left && !h.permitted(now):
		// Wait for the permit, or for the time to give up.
	case open == 0 && vanished == 0:
		h.begin(now, r)
	case open == 0 && r.isFirst():
		// The caller may have resubmitted while this sending was on its way,
		// so the job can't start; on account of this sending it never has.
		h.discard(now, r, job.Refuse(job.ReasonHomeLost, h.cfg.RetryAfter, "a former home of the key was lost a moment ago"))
	case open == 0:
		h.conclude(now, r, job.Fail(job.ReasonHomeLost, 0, "a home that may have run the job is gone"))
	}
}

// openAsks counts the questions without an answer and those without a seal.
func (r *record) openAsks() (open, vanished int) {
	for i := range r.asks {
		switch r.asks[i].state {
		case askOpen, askPaused:
			open++
		case askVanished:
			vanished++
		}
	}
	return open, vanished
}

// retryResolve asks again and gives up in time.
func (h *Home) retryResolve(now time.Duration, r *record) {
	h.settle(now, r)
	if r.phase != phaseResolving {
		return
	}
	if now >= r.giveUp {
		h.giveUp(now, r)
		return
	}
	for i := range r.asks {
		a := &r.asks[i]
		if a.state == askPaused && now >= a.retryAt {
			h.ask(r, a)
		}
	}
}

// giveUp ends a job that could not be resolved in time.
func (h *Home) giveUp(now time.Duration, r *record) {
	if !h.permitted(now) {
		h.discard(now, r, h.turnAway(r.isFirst(), job.ReasonNoPermit, "the agent has no permit for the newest epoch"))
		return
	}
	h.discard(now, r, h.turnAway(r.isFirst(), job.ReasonUnresolved, "a former home of the job does not answer"))
}
