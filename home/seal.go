package home

import (
	"slices"
	"time"
)

// sealRequested answers the seal request of another home. Invariant: once it has
// answered Sealed, this home accepts the key only after the asking home has
// sealed the key in turn.
func (h *Home) sealRequested(now time.Duration, e SealRequested) {
	r := h.records[e.Key]
	switch {
	case r == nil && len(h.records) >= 2*h.cfg.MaxRecords:
		h.emit(AnswerSeal{Request: e.Request, Verdict: Unreachable})
	case r == nil:
		r = &record{key: e.Key}
		h.records[e.Key] = r
		h.seal(now, r, e)
	case r.phase == phaseSealed:
		h.seal(now, r, e)
	case r.phase == phaseResolving && h.yields(r, e):
		h.redirectJob(now, r, e.From)
		h.records[e.Key] = r
		h.seal(now, r, e)
	default:
		h.emit(AnswerSeal{Request: e.Request, Verdict: Held})
	}
}

// yields reports whether a job that is resolving here is left to the asking home:
// it is if the asking home names a newer epoch, or is the first in rank in the
// same epoch.
func (h *Home) yields(r *record, e SealRequested) bool {
	if h.placement.Epoch != e.Epoch {
		return h.placement.Epoch < e.Epoch
	}
	m, ok := h.placement.Home(r.key)
	return ok && m.Incarnation == e.From
}

func (h *Home) seal(now time.Duration, r *record, e SealRequested) {
	h.stats.Sealed++
	r.phase = phaseSealed
	if e.Epoch >= r.sealEpoch {
		r.sealedTo = e.From
		r.sealEpoch = e.Epoch
	}
	h.touch(now, r)
	h.emit(AnswerSeal{Request: e.Request, Verdict: Sealed, Vouches: slices.Clone(h.vouches)})
}
