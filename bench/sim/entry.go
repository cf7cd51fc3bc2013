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
	// exchangeEvery is how often entries tell each other their demand.
	exchangeEvery = time.Second
	// callerTries is how often a refused caller submits a job in all.
	callerTries = 3
)

// entry stands for one entry around the real admission core.
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

func (e *entry) begin() {
	e.learnCapacity()
	e.step(admission.SetLimits{Limits: e.world.config.Limits})
	e.world.after(e.world.upTo(tickEvery), e.tick)
	e.world.after(e.world.upTo(exchangeEvery), e.exchange)
}

// learnCapacity takes what heartbeats say.
func (e *entry) learnCapacity() {
	c := admission.SetCapacity{Entries: len(e.world.entries)}
	var paces []time.Duration
	for _, a := range e.world.agents {
		c.Waiting += a.listed.Load.Queued + a.listedWaiting
		if !a.listed.Accepting {
			continue
		}
		c.Slots += a.listed.Slots
		c.Free += a.listed.Load.Free
		if a.listed.Load.Pace > 0 {
			paces = append(paces, a.listed.Load.Pace)
		}
	}
	if len(paces) > 0 {
		slices.Sort(paces)
		c.Pace = paces[len(paces)/2]
	}
	e.step(c)
}

func (e *entry) tick() {
	if e.world.over() {
		return
	}
	e.learnCapacity()
	e.step(admission.Tick{})
	e.world.noteBacklog()
	e.world.after(tickEvery, e.tick)
}

func (e *entry) exchange() {
	if e.world.over() {
		return
	}
	demand := admission.PeerDemand{Entry: e.self, Demand: e.core.Demand(e.world.events.Now())}
	for _, other := range e.world.entries {
		if other != e {
			e.world.after(e.world.config.Site.Across, func() { other.step(demand) })
		}
	}
	e.world.after(exchangeEvery, e.exchange)
}

func (e *entry) step(event admission.Event) {
	for _, action := range e.core.Step(e.world.events.Now(), event) {
		switch action := action.(type) {
		case admission.Admit:
			e.world.submit(e.world.waiting[action.ID-1], action.Handicap)
		case admission.Refuse:
			e.world.turnAway(e.world.waiting[action.ID-1], action)
		}
	}
}

// submit passes an admitted job on to its home.
func (w *world) submit(p *progress, handicap time.Duration) {
	w.report.Messages.Needed += messagesPerCall
	member, _ := w.placement.Home(p.job.Key)
	to := w.byID[member.Incarnation]
	spec := submission(p.job)
	spec.Handicap = handicap
	spec.Deadline -= w.events.Now() - p.started
	w.after(w.config.Site.Across, func() {
		to.stepHome(home.Submit{Request: p.request, Spec: spec, Fresh: true})
	})
	if p.job.CancelAfter > 0 {
		w.after(p.job.CancelAfter+w.config.Site.Across, func() {
			to.stepHome(home.Cancel{Request: cancelRequest, Key: p.job.Key})
		})
	}
}

// turnAway is a refusal by an entry. The caller comes back when it was told to,
// a few times.
func (w *world) turnAway(p *progress, r admission.Refuse) {
	w.open--
	w.report.TurnedAway++
	w.overload.lastRefusal = w.events.Now()
	if p.try >= callerTries || r.RetryAfter == 0 {
		w.report.Refused++
		return
	}
	w.arrivals++
	wait := r.RetryAfter + 2*w.config.Site.Caller
	w.after(wait, func() { w.arrive(p.job, p.try+1) })
}

// overloadLog measures what becomes of the middle fifth of the trace.
type overloadLog struct {
	lastRefusal time.Duration
	lastBacklog time.Duration
	// good is the run time of the tasks of complete jobs that ended in the
	// middle fifth.
	good time.Duration
}

func (w *world) noteBacklog() {
	for _, e := range w.entries {
		if e.core.Load().Queued > 0 {
			w.overload.lastBacklog = w.events.Now()
		}
	}
}

// noteEnd counts the work of a complete job.
func (l *overloadLog) noteEnd(w *world, p *progress, kind job.Kind) {
	fifth := w.config.Trace.Length / 5
	now := w.events.Now()
	if kind != job.Complete || now < 2*fifth || now >= 3*fifth {
		return
	}
	for i := range p.job.Tasks {
		l.good += p.job.Tasks[i].Run
	}
}

// report fills in the figures of the overload.
func (l *overloadLog) report(w *world, r *Report) {
	fifth := w.config.Trace.Length / 5
	capacity := fifth.Seconds() * float64(w.config.Site.TotalSlots())
	r.Goodput = l.good.Seconds() / capacity
	r.Recovery = max(0, max(l.lastRefusal, l.lastBacklog)-3*fifth)
}
