package sim

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtaildock.example/dock/admission"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

const (
	// exchangeInterval is the interval at which entries send each other their
	// demand.
	exchangeInterval = time.Second
	// callerAttempts is the maximum number of times a caller submits a job that
	// entries refuse.
	callerAttempts = 3
)

// entry simulates the entry process around the real admission core.
type entry struct {
	world *world
	self  ident.Incarnation
	core  *admission.Admission
}

func newEntry(w *world, n int) *entry {
	e := &entry{world: w, self: ident.Incarnation(rune('A' + n))}
	random := rand.New(rand.NewPCG(w.config.Seed, 1000+uint64(n)))
	e.core = admission.New(admission.Config{Random: random})
	return e
}

func (e *entry) start() {
	e.updateCapacity()
	e.step(admission.SetLimits{Limits: e.world.config.Limits})
	e.world.after(e.world.randomUpTo(tickInterval), e.tick)
	e.world.after(e.world.randomUpTo(exchangeInterval), e.exchange)
}

// updateCapacity computes the capacity from the latest heartbeats and passes it
// to the core.
func (e *entry) updateCapacity() {
	c := admission.SetCapacity{Entries: len(e.world.entries)}
	var paces []time.Duration
	for _, a := range e.world.agents {
		c.Waiting += a.announced.Load.Queued + a.announcedWaiting
		if !a.announced.Accepting {
			continue
		}
		c.Slots += a.announced.Slots
		c.Free += a.announced.Load.Free
		if a.announced.Load.Pace > 0 {
			paces = append(paces, a.announced.Load.Pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		c.Pace = paces[len(paces)/2]
	}
	e.step(c)
}

func (e *entry) tick() {
	if e.world.finished() {
		return
	}
	e.updateCapacity()
	e.step(admission.Tick{})
	e.world.recordBacklog()
	e.world.after(tickInterval, e.tick)
}

func (e *entry) exchange() {
	if e.world.finished() {
		return
	}
	demand := admission.PeerDemand{Entry: e.self, Demand: e.core.Demand(e.world.events.Now())}
	for _, other := range e.world.entries {
		if other != e {
			e.world.after(e.world.config.Site.LatencyAcrossDomains, func() { other.step(demand) })
		}
	}
	e.world.after(exchangeInterval, e.exchange)
}

func (e *entry) step(event admission.Event) {
	for _, action := range e.core.Step(e.world.events.Now(), event) {
		switch action := action.(type) {
		case admission.Admit:
			e.world.submit(e.world.requests[action.ID-1], action.Handicap)
		case admission.Refuse:
			e.world.refusedByEntry(e.world.requests[action.ID-1], action)
		}
	}
}

// submit sends an admitted job to its home.
func (w *world) submit(p *jobProgress, handicap time.Duration) {
	w.report.Messages.Needed += messagesPerCall
	member, _ := w.placement.Home(p.job.Key)
	to := w.byID[member.Incarnation]
	spec := submission(p.job)
	spec.Handicap = handicap
	spec.Deadline -= w.events.Now() - p.started
	w.after(w.config.Site.LatencyAcrossDomains, func() {
		to.stepHome(home.Submit{Request: p.request, Spec: spec, Fresh: true})
	})
	if p.job.CancelAfter > 0 {
		w.after(p.job.CancelAfter+w.config.Site.LatencyAcrossDomains, func() {
			to.stepHome(home.Cancel{Request: cancelRequest, Key: p.job.Key})
		})
	}
}

// refusedByEntry processes a refusal by an entry. The caller submits the job
// again after the time that the entry gave it, up to callerAttempts in all.
func (w *world) refusedByEntry(p *jobProgress, r admission.Refuse) {
	w.unanswered--
	w.report.RefusedByEntries++
	w.overload.lastRefusal = w.events.Now()
	if p.attempt >= callerAttempts || r.RetryAfter == 0 {
		w.report.Refused++
		return
	}
	w.remainingArrivals++
	wait := r.RetryAfter + 2*w.config.Site.CallerLatency
	w.after(wait, func() { w.arrive(p.job, p.attempt+1) })
}

// overloadStats measures the effects of the overload in the middle fifth of the
// trace.
type overloadStats struct {
	lastRefusal time.Duration
	lastBacklog time.Duration
	// goodputTime is the total run time of the tasks of the jobs that completed
	// in the middle fifth.
	goodputTime time.Duration
}

// recordBacklog records the time if a job waits at an entry.
func (w *world) recordBacklog() {
	for _, e := range w.entries {
		if e.core.Load().Queued > 0 {
			w.overload.lastBacklog = w.events.Now()
		}
	}
}

// recordOutcome adds the run time of a job that completed in the middle fifth.
func (l *overloadStats) recordOutcome(w *world, p *jobProgress, kind job.Kind) {
	fifth := w.config.Trace.Length / 5
	now := w.events.Now()
	if kind != job.Complete || now < 2*fifth || now >= 3*fifth {
		return
	}
	for i := range p.job.Tasks {
		l.goodputTime += p.job.Tasks[i].Run
	}
}

// report sets the figures of the overload in r.
func (l *overloadStats) report(w *world, r *Report) {
	fifth := w.config.Trace.Length / 5
	capacity := fifth.Seconds() * float64(w.config.Site.TotalSlots())
	r.Goodput = l.goodputTime.Seconds() / capacity
	r.Recovery = max(0, max(l.lastRefusal, l.lastBacklog)-3*fifth)
}
