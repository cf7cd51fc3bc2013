// Package dispatcher is the entry process around the core of package schedule:
// callers who wait for answers, sessions with agents, and what operators want.
package dispatcher

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// Config describes an entry.
type Config struct {
	Self         directory.Member
	Terms        lease.Terms
	RemoteFactor float64
	// Grace is the time from the order to stop until the process is killed.
	Grace time.Duration
	// Seeds are internal addresses of entries, which may be stale.
	Seeds   []string
	Store   OperatorStore
	Members directory.Table
	Log     *telemetry.Logger
	Metrics *Metrics
}

// OperatorStore is where operators' rows are kept.
type OperatorStore interface {
	// Operator reads all rows.
	Operator(ctx context.Context) (operator.Rows, error)
	// OperatorChanged waits for a change after the version. An error means that
	// the rows have to be read again.
	OperatorChanged(ctx context.Context, after uint64) (version uint64, changed bool, err error)
}

// Bounds of the entry.
const (
	eventSize = 8192
	// tick is the pause after which the core looks at the time: a tenth of the
	// time that a short job may lose.
	tick     = 10 * time.Millisecond
	idleTick = 100 * time.Millisecond
)

// Dispatcher is an entry.
type Dispatcher struct {
	cfg    Config
	core   *schedule.Core
	events chan any
	base   context.Context

	links *links
	view  beliefs
	// waiters are the callers of each job; the duty owns them.
	waiters map[work.JobID][]chan schedule.Answer
	leaving atomic.Int64 // clock when the process was told to stop, 0 before
	stats   atomic.Pointer[schedule.Stats]
}

// New returns an entry that isn't running yet.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:     cfg,
		core:    schedule.New(schedule.Config{Terms: cfg.Terms, RemoteFactor: cfg.RemoteFactor}),
		events:  make(chan any, eventSize),
		waiters: map[work.JobID][]chan schedule.Answer{},
	}
	d.links = newLinks(d)
	d.stats.Store(&schedule.Stats{})
	return d
}

// Start starts the duties of the entry, which end with the context.
func (d *Dispatcher) Start(ctx context.Context) {
	d.base = ctx
	go d.run(ctx)
	go d.followOperator(ctx)
	go d.followMembers(ctx)
}

// run is the duty that owns the core.
func (d *Dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			d.handle(e)
		case <-timer.C:
			d.step(schedule.Tick{})
			timer.Reset(d.pause())
		}
		stats := d.core.Stats()
		d.stats.Store(&stats)
	}
}

func (d *Dispatcher) pause() time.Duration {
	if d.core.Stats().Jobs == 0 {
		return idleTick
	}
	return tick
}

// Events of the duty besides those of the core.
type (
	arrival struct {
		job schedule.Job
		// patience is counted from the time when the duty takes the job.
		patience time.Duration
		answer   chan schedule.Answer
	}
	departure struct {
		id     work.JobID
		answer chan schedule.Answer
	}
	query struct{ ask func(*schedule.Core) }
)

func (d *Dispatcher) handle(e any) {
	switch e := e.(type) {
	case schedule.Event:
		d.step(e)
	case arrival:
		d.arrive(e)
	case departure:
		d.depart(e)
	case received:
		d.received(e)
	case query:
		e.ask(d.core)
	}
}

func (d *Dispatcher) step(e schedule.Event) {
	for _, a := range d.core.Step(clock.Now(), e) {
		d.carryOut(a)
	}
}

func (d *Dispatcher) carryOut(a schedule.Action) {
	switch a := a.(type) {
	case schedule.SendOffers:
		d.links.offers(a)
	case schedule.SendStops:
		d.links.stops(a)
	case schedule.Answer:
		d.answer(a)
	case schedule.Noted:
		d.cfg.Log.Info(a.Event, telemetry.Peer(a.Agent), telemetry.Run(a.Run.String()), telemetry.Why(a.Reason), telemetry.Age(a.Age))
	}
}

func (d *Dispatcher) arrive(e arrival) {
	e.job.Deadline = clock.Now() + e.patience
	d.waiters[e.job.ID] = append(d.waiters[e.job.ID], e.answer)
	d.cfg.Log.Info("job arrived", telemetry.Request(string(e.job.ID)), telemetry.Route(e.job.Route.Name), telemetry.Count(e.job.Tasks()), telemetry.Elapsed(e.patience))
	d.step(schedule.JobArrived{Job: e.job})
}

// depart takes a caller that has left. The job ends with its last caller.
func (d *Dispatcher) depart(e departure) {
	left := d.waiters[e.id]
	for i, w := range left {
		if w == e.answer {
			left = append(left[:i:i], left[i+1:]...)
			break
		}
	}
	if len(left) > 0 {
		d.waiters[e.id] = left
		return
	}
	delete(d.waiters, e.id)
	d.step(schedule.JobDropped{ID: e.id, Reason: "caller left"})
}

func (d *Dispatcher) answer(a schedule.Answer) {
	fields := []telemetry.Field{
		telemetry.Request(string(a.ID)), telemetry.Result(a.Verdict.String()), telemetry.Why(a.Reason),
		telemetry.Elapsed(a.Waited), telemetry.Runs(a.Runs), telemetry.RowsVersion(a.Basis.RowsVersion),
	}
	if a.FirstStart >= 0 {
		fields = append(fields, telemetry.FirstStart(a.FirstStart))
	}
	if a.Verdict == schedule.Rejected {
		fields = append(fields, telemetry.RetryAfter(a.RetryAfter), telemetry.ExpectedWait(a.Basis.ExpectedWait),
			telemetry.AllowedWait(a.Basis.AllowedWait), telemetry.HeadWait(a.Basis.HeadWait), telemetry.Capacity(a.Basis.CapacityMilli), telemetry.Agents(a.Basis.Agents))
	}
	d.cfg.Log.Info("job answered", fields...)
	d.cfg.Metrics.answered(a)
	for _, w := range d.waiters[a.ID] {
		w <- a
	}
	delete(d.waiters, a.ID)
}

// put hands an event that must not be lost to the duty.
func (d *Dispatcher) put(e any) {
	select {
	case d.events <- e:
	case <-d.base.Done():
	}
}

// Submit implements the callers' interface.
func (d *Dispatcher) Submit(ctx context.Context, job schedule.Job, patience time.Duration) schedule.Answer {
	if reason := d.closed(patience); reason != "" {
		return d.turnAway(job.ID, reason)
	}
	answer := make(chan schedule.Answer, 1)
	select {
	case d.events <- arrival{job: job, patience: patience, answer: answer}:
	default:
		return d.turnAway(job.ID, "entry busy")
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		d.put(departure{job.ID, answer})
		return schedule.Answer{ID: job.ID, Verdict: schedule.Dropped, Reason: "caller left"}
	case <-d.base.Done():
		return schedule.Answer{ID: job.ID, Reason: "entry stopped"}
	}
}

// retryElsewhere is when a caller should come back that this entry turned away
// for itself: other entries take it at once.
const retryElsewhere = time.Second

func (d *Dispatcher) turnAway(id work.JobID, reason string) schedule.Answer {
	a := schedule.Answer{ID: id, Verdict: schedule.Rejected, Reason: reason, RetryAfter: retryElsewhere, FirstStart: -1}
	d.cfg.Log.Info("job answered", telemetry.Request(string(id)), telemetry.Result(a.Verdict.String()), telemetry.Why(reason))
	d.cfg.Metrics.answered(a)
	return a
}

// answerMargin is how long before the end of the grace period the last answer is
// due: a little before the process gives up waiting for work to end.
const answerMargin = 300 * time.Millisecond

// closed returns why no job is taken, or "". After the order to stop, jobs are
// taken for as long as they can surely be answered before the end.
func (d *Dispatcher) closed(patience time.Duration) string {
	left := d.leaving.Load()
	if left == 0 {
		return ""
	}
	if clock.Now()+patience > time.Duration(left)+d.cfg.Grace-answerMargin {
		return "entry stops"
	}
	return ""
}

// Leave tells the entry that its process ends. It isn't ready any more.
func (d *Dispatcher) Leave() { d.leaving.Store(int64(clock.Now())) }

// Leaving implements the callers' interface.
func (d *Dispatcher) Leaving() bool { return d.leaving.Load() != 0 }

// Idle reports whether no job is under way.
func (d *Dispatcher) Idle() bool { return d.stats.Load().Jobs == 0 && len(d.events) == 0 }

// ask runs a question on the duty and waits for it.
func (d *Dispatcher) ask(f func(*schedule.Core)) {
	done := make(chan struct{})
	d.put(query{func(c *schedule.Core) {
		f(c)
		close(done)
	}})
	select {
	case <-done:
	case <-d.base.Done():
	}
}

// Holds implements the callers' interface.
func (d *Dispatcher) Holds(id work.JobID) (holds bool) {
	d.ask(func(c *schedule.Core) { holds = c.Holds(id) })
	return holds
}

// Pending implements the callers' interface.
func (d *Dispatcher) Pending(route string) (n int) {
	d.ask(func(c *schedule.Core) { n = c.Pending(route) })
	return n
}

// cancelHere ends a job that this entry works on.
func (d *Dispatcher) cancelHere(id work.JobID) bool {
	if !d.Holds(id) {
		return false
	}
	d.put(schedule.JobDropped{ID: id, Reason: "cancelled"})
	return true
}

// Cancel implements the callers' interface.
func (d *Dispatcher) Cancel(ctx context.Context, id work.JobID) bool {
	found := d.cancelHere(id)
	if !found {
		found = d.links.cancelElsewhere(ctx, id)
	}
	d.cfg.Log.Info("job cancelled", telemetry.Request(string(id)), telemetry.Result(foundText(found)))
	return found
}

func foundText(found bool) string {
	if found {
		return "found"
	}
	return "not found"
}

// Reasons for which an entry isn't ready.
var (
	errLeaving    = errors.New("the process stops")
	errNoManifest = errors.New("no manifest is known")
	errNoAgents   = errors.New("no agent can be reached")
)

// Ready implements the callers' interface.
func (d *Dispatcher) Ready() error {
	switch {
	case d.Leaving():
		return errLeaving
	case d.Manifest() == nil:
		return errNoManifest
	case d.stats.Load().Agents == 0:
		return errNoAgents
	}
	return nil
}

// Manifest implements the callers' interface.
func (d *Dispatcher) Manifest() *operator.Manifest { return d.view.manifest() }
