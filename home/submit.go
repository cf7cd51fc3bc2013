package home

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// submit processes a job from an entry.
func (h *Home) submit(now time.Duration, e Submit) {
	if e.Age < -h.cfg.FreshSkew {
		// The caller's clock is too far ahead, so its first-attempt mark can't
		// be trusted.
		e.Fresh = false
	}
	r := h.records[e.Spec.Key]
	switch {
	case r == nil:
		h.submitUnknown(now, e, nil)
	case r.phase == phaseSealed:
		h.submitSealed(now, e, r)
	case r.digest != e.Spec.Digest():
		h.reply(e.Request, h.keyReused())
	case r.phase == phaseDone:
		h.stats.Attached++
		h.extendRetention(now, r)
		h.reply(e.Request, r.outcome)
	default:
		h.stats.Attached++
		r.resubmitted = r.resubmitted || !e.Fresh
		r.waiters = append(r.waiters, e.Request)
	}
}

func (h *Home) keyReused() job.Outcome {
	return h.withHome(job.Refuse(job.ReasonKeyReused, 0, "the key belongs to a job with another body"))
}

// submitSealed processes a job whose key was sealed for another home. This home
// asks for the key back only in a later epoch in which it owns the key again.
func (h *Home) submitSealed(now time.Duration, e Submit, r *record) {
	if h.ownsKey(e.Spec.Key) && h.placement.Epoch > r.sealEpoch {
		e.Fresh = false
		h.submitUnknown(now, e, r)
		return
	}
	h.redirectTo(e.Request, r.sealedTo, false)
}

// submitUnknown processes a job without an active record. If old is not nil it is
// a sealed record.
func (h *Home) submitUnknown(now time.Duration, e Submit, old *record) {
	if h.placement == nil {
		h.reply(e.Request, h.rejection(e.Fresh, job.ReasonNoHome, "the agent knows no placement yet"))
		return
	}
	if !h.mayAccept(e.Spec.Key, e.Fresh) {
		m, _ := h.placement.Home(e.Spec.Key)
		h.redirectTo(e.Request, m.Incarnation, e.Fresh)
		return
	}
	if e.Fresh && h.isTooOld(e.Age) {
		h.reply(e.Request, h.tooOld(true))
		return
	}
	if old == nil && len(h.records) >= h.cfg.MaxRecords {
		h.reply(e.Request, h.rejection(e.Fresh, job.ReasonOverloaded, "the home has no room for another record"))
		return
	}
	h.resolve(now, e, old)
}

// isTooOld reports whether a job of this age may no longer be started. A former
// home may still have its answer.
func (h *Home) isTooOld(age time.Duration) bool { return age > h.cfg.AcceptWindow }

func (h *Home) tooOld(fresh bool) job.Outcome {
	if fresh {
		return h.withHome(job.Refuse(job.ReasonTooOld, 0, "the first attempt is older than the accept window"))
	}
	return h.withHome(job.Fail(job.ReasonTooOld, 0, "the first attempt is older than the accept window and there is no record"))
}

// permitted reports whether a key may be accepted now. Invariant: a key is
// accepted only under a live permit that names the newest epoch known here.
// After a change of epoch the new permit arrives within a heartbeat, so a
// resolving job waits for it for up to ResolveLimit.
func (h *Home) permitted(now time.Duration) bool {
	return h.permit.Live(now) && h.permit.Epoch == h.placement.Epoch
}

func (h *Home) ownsKey(key ident.JobKey) bool {
	if h.placement == nil {
		return false
	}
	m, ok := h.placement.Home(key)
	return ok && m.Incarnation == h.cfg.Self
}

// mayAccept reports whether the newest epoch lets this agent accept the key: as
// its home, or as the second in rank if the job is fresh. A job that is not fresh
// is looked up at both before it starts, so the two never start the same job.
func (h *Home) mayAccept(key ident.JobKey, fresh bool) bool {
	if h.ownsKey(key) {
		return true
	}
	ranked := h.placement.Ranked(key)
	return fresh && len(ranked) > 1 && ranked[1].Incarnation == h.cfg.Self
}
