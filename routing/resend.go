package routing

import (
	"time"

	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
)

// fallbackHome returns the member that replaces an unreachable home, if the job is
// fresh and has not been sent to any agent.
func (r *Routing) fallbackHome(p *pendingRequest) (placement.Member, bool) {
	if !p.fresh || p.maybeSent || r.placement == nil {
		return placement.Member{}, false
	}
	ranked := r.placement.Ranked(p.req.Key)
	if len(ranked) < 2 || ranked[0].Incarnation != p.target.Incarnation {
		return placement.Member{}, false
	}
	return ranked[1], true
}

// targetGone handles a target that has been replaced by another incarnation. A
// submission that may have reached it fails; any other request is retried.
func (r *Routing) targetGone(now time.Duration, p *pendingRequest) {
	if p.maybeSent && p.req.Op == OpSubmit {
		r.finish(p, job.Fail(job.ReasonHomeLost, 0, "the home that may have run the job is gone"))
		return
	}
	p.maybeSent = false
	r.scheduleRetry(now, p)
}

// tick makes the retries that are due, and ends the requests whose time is up.
func (r *Routing) tick(now time.Duration) {
	kept := r.order[:0]
	for _, id := range r.order {
		p := r.pending[id]
		if p == nil {
			continue
		}
		r.checkTimeouts(now, p)
		if r.pending[id] != nil {
			kept = append(kept, id)
		}
	}
	r.order = kept
}

func (r *Routing) checkTimeouts(now time.Duration, p *pendingRequest) {
	switch {
	case now >= p.replyDeadline:
		r.finish(p, r.noAnswerOutcome(p, job.ReasonDeadline, "the deadline passed"))
	case p.awaitingAnswer:
		return
	case r.retriesExhausted(now, p):
		r.finish(p, r.noAnswerOutcome(p, r.exhaustedReason(p), "the job's home does not answer"))
	case now >= p.retryAt:
		r.retry(now, p)
	}
}

// retriesExhausted reports whether the calls have failed for too long.
func (r *Routing) retriesExhausted(now time.Duration, p *pendingRequest) bool {
	if p.failingSince < 0 {
		return false
	}
	limit := r.cfg.UnreachableTimeout
	if p.maybeSent {
		limit = r.cfg.ListedHomeTimeout
		if r.placement != nil && !r.placement.Lists(p.target.Incarnation) {
			limit = r.cfg.UnlistedHomeTimeout
		}
	}
	return now-p.failingSince >= limit
}

func (r *Routing) exhaustedReason(p *pendingRequest) job.Reason {
	if p.maybeSent {
		return job.ReasonHomeLost
	}
	return job.ReasonNoHome
}

// retry calls the same incarnation if it may have the job, otherwise the home in the
// newest placement.
func (r *Routing) retry(now time.Duration, p *pendingRequest) {
	r.stats.Resends++
	if p.maybeSent {
		r.call(p, p.target)
		return
	}
	m, ok := r.home(p.req.Key)
	if !ok {
		r.scheduleRetry(now, p)
		return
	}
	r.call(p, m)
}

// noAnswerOutcome returns the outcome of a request that no home answered.
func (r *Routing) noAnswerOutcome(p *pendingRequest, reason job.Reason, detail string) job.Outcome {
	notSent := p.fresh && !p.maybeSent && !p.awaitingAnswer
	if p.req.Op == OpSubmit && notSent {
		return job.Refuse(reason, r.cfg.RetryAfter, detail)
	}
	return job.Fail(reason, r.cfg.RetryAfter, detail)
}
