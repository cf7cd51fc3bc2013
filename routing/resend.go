package routing

import (
	"time"

	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
)

// second returns the member that stands in for an unreachable home, if the job
// is fresh and was sent nowhere.
func (r *Routing) second(f *flight) (placement.Member, bool) {
	if !f.fresh || f.maybeSent || r.placement == nil {
		return placement.Member{}, false
	}
	ranked := r.placement.Ranked(f.req.Key)
	if len(ranked) < 2 || ranked[0].Incarnation != f.target.Incarnation {
		return placement.Member{}, false
	}
	return ranked[1], true
}

// targetGone ends or redirects a request whose target is gone for good.
func (r *Routing) targetGone(now time.Duration, f *flight) {
	if f.maybeSent && f.req.Op == OpSubmit {
		r.finish(f, job.Fail(job.ReasonHomeLost, 0, "the home that may have run the job is gone"))
		return
	}
	f.maybeSent = false
	r.wait(now, f)
}

// tick resends, aims again and ends requests whose time is up.
func (r *Routing) tick(now time.Duration) {
	kept := r.order[:0]
	for _, id := range r.order {
		f := r.flights[id]
		if f == nil {
			continue
		}
		r.check(now, f)
		if r.flights[id] != nil {
			kept = append(kept, id)
		}
	}
	r.order = kept
}

func (r *Routing) check(now time.Duration, f *flight) {
	switch {
	case now >= f.giveUp:
		r.finish(f, r.unsettled(f, job.ReasonDeadline, "the deadline passed"))
	case f.open:
		return
	case r.exhausted(now, f):
		r.finish(f, r.unsettled(f, r.exhaustedReason(f), "the job's home does not answer"))
	case now >= f.retryAt:
		r.retry(now, f)
	}
}

// exhausted reports whether the present target has failed for too long.
func (r *Routing) exhausted(now time.Duration, f *flight) bool {
	if f.troubled < 0 {
		return false
	}
	limit := r.cfg.GiveUpUnsent
	if f.maybeSent {
		limit = r.cfg.GiveUpSilent
		if r.placement != nil && !r.placement.Lists(f.target.Incarnation) {
			limit = r.cfg.GiveUpGone
		}
	}
	return now-f.troubled >= limit
}

func (r *Routing) exhaustedReason(f *flight) job.Reason {
	if f.maybeSent {
		return job.ReasonHomeLost
	}
	return job.ReasonNoHome
}

// retry calls the same incarnation if it may have the job, else the newest home.
func (r *Routing) retry(now time.Duration, f *flight) {
	r.stats.Resends++
	if f.maybeSent {
		r.call(f, f.target)
		return
	}
	m, ok := r.home(f.req.Key)
	if !ok {
		r.wait(now, f)
		return
	}
	r.call(f, m)
}

// unsettled is the outcome of a request that got no answer from any home.
func (r *Routing) unsettled(f *flight, reason job.Reason, detail string) job.Outcome {
	notRun := f.fresh && !f.maybeSent && !f.open
	if f.req.Op == OpSubmit && notRun {
		return job.Refuse(reason, r.cfg.RetryAfter, detail)
	}
	return job.Fail(reason, r.cfg.RetryAfter, detail)
}
