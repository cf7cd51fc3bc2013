// Package dispatcher is the entry process around the decision core in package
// schedule, for jobs that are answered at their end. It connects the core with callers
// that wait for answers, sessions with agents, other entries, and the operators' rows.
// The entry process for jobs whose record an agent keeps is in package entry.
//
// One goroutine, the core goroutine, owns the core. All other goroutines hand it
// events through a queue.
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

// Config configures an entry.
type Config struct {
	Self  directory.Member
	Terms lease.Terms
	// RemoteFactor is the factor by which a task takes longer away from its data.
	RemoteFactor float64
	// Grace is the time from the signal to stop until the process is killed.
	Grace time.Duration
	// Seeds are internal addresses of entries. They may be out of date.
	Seeds []string
	// MaxSessions is the largest number of agents that the entry's processor allows it to
	// use; 0 means that there is no limit.
	MaxSessions int
	Store       OperatorStore
	Members     directory.Table
	Log         *telemetry.Logger
	Metrics     *Metrics
}

// OperatorStore is the store of the operators' rows.
type OperatorStore interface {
	// Operator reads all rows.
	Operator(ctx context.Context) (operator.Rows, error)
	// OperatorChanged waits for a change after the version. It returns false if none
	// came within the store's waiting time. After an error the rows have to be read
	// again.
	OperatorChanged(ctx context.Context, after uint64) (version uint64, changed bool, err error)
}

// Event queue and tick intervals of the entry.
const (
	eventQueueSize = 8192
	// tick is the interval at which the core gets a Tick: a tenth of the delay that
	// is acceptable for a short job.
	tick = 10 * time.Millisecond
	// idleTick is the interval while the entry has no job.
	idleTick = 100 * time.Millisecond
)

// Dispatcher is an entry. It implements platform.Dispatcher, the callers' interface.
type Dispatcher struct {
	cfg    Config
	core   *schedule.Core
	events chan any
	base   context.Context

	links        *links
	view         operatorView
	rowsRequests rowsRequests
	// listedMembers is true once the table of members has been read.
	listedMembers atomic.Bool
	// subsetWanted and subsetUsable are the figures of the last choice of agents.
	subsetWanted atomic.Int64
	subsetUsable atomic.Int64
	// waiters are the callers that wait for each job, owned by the core goroutine.
	waiters       map[work.JobID][]chan schedule.Answer
	stoppingSince atomic.Int64 // clock.Now when the process was told to stop, 0 before
	stats         atomic.Pointer[schedule.Stats]
}

// New returns an entry. Start runs it.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:     cfg,
		core:    schedule.New(schedule.Config{Terms: cfg.Terms, RemoteFactor: cfg.RemoteFactor}),
		events:  make(chan any, eventQueueSize),
		waiters: map[work.JobID][]chan schedule.Answer{},
	}
	d.links = newLinks(d)
	d.stats.Store(&schedule.Stats{})
	return d
}

// Start starts the goroutines of the entry, which end with the context.
func (d *Dispatcher) Start(ctx context.Context) {
	d.base = ctx
	go d.run(ctx)
	go d.watchOperator(ctx)
	go d.watchMembers(ctx)
}

// run is the core goroutine.
func (d *Dispatcher) run(ctx context.Context) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	choose := time.NewTicker(chooseInterval)
	defer choose.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			d.handle(e)
		case <-choose.C:
			d.chooseSubset()
		case <-d.links.changed:
			d.chooseSubset()
		case <-timer.C:
			d.step(schedule.Tick{})
			timer.Reset(d.tickInterval())
		}
		stats := d.core.Stats()
		d.stats.Store(&stats)
	}
}

func (d *Dispatcher) tickInterval() time.Duration {
	if d.core.Stats().Jobs == 0 {
		return idleTick
	}
	return tick
}

// Events for the core goroutine besides those of the core.
type (
	submission struct {
		job schedule.Job
		// timeout counts from the time at which the core goroutine gets the job.
		timeout time.Duration
		answer  chan schedule.Answer
	}
	callerGone struct {
		id     work.JobID
		answer chan schedule.Answer
	}
	coreQuery struct{ run func(*schedule.Core) }
)

func (d *Dispatcher) handle(e any) {
	switch e := e.(type) {
	case schedule.OperatorChanged:
		d.rowsRequests.updated()
		d.step(e)
	case schedule.Event:
		d.step(e)
	case submission:
		d.handleSubmission(e)
	case callerGone:
		d.handleCallerGone(e)
	case agentMessage:
		d.handleAgentMessage(e)
	case coreQuery:
		e.run(d.core)
	}
}

func (d *Dispatcher) step(e schedule.Event) {
	for _, a := range d.core.Step(clock.Now(), e) {
		d.perform(a)
	}
}

func (d *Dispatcher) perform(a schedule.Action) {
	switch a := a.(type) {
	case schedule.SendOffers:
		d.links.sendOffers(a)
	case schedule.SendStops:
		d.links.sendStops(a)
	case schedule.Answer:
		d.answer(a)
	case schedule.LogMessage:
		d.cfg.Log.Info(a.Text, telemetry.Peer(a.Agent), telemetry.Run(a.Run.String()), telemetry.ReasonText(a.Reason), telemetry.Age(a.Age))
	}
}

func (d *Dispatcher) handleSubmission(e submission) {
	e.job.Deadline = clock.Now() + e.timeout
	d.waiters[e.job.ID] = append(d.waiters[e.job.ID], e.answer)
	d.cfg.Log.Info("job arrived", telemetry.JobID(string(e.job.ID)), telemetry.Route(e.job.Route.Name), telemetry.Count(e.job.Tasks()), telemetry.Elapsed(e.timeout))
	d.step(schedule.JobArrived{Job: e.job})
}

// handleCallerGone removes a caller that no longer waits. The job is dropped when its
// last caller has left.
func (d *Dispatcher) handleCallerGone(e callerGone) {
	remaining := d.waiters[e.id]
	for i, w := range remaining {
		if w == e.answer {
			remaining = append(remaining[:i:i], remaining[i+1:]...)
			break
		}
	}
	if len(remaining) > 0 {
		d.waiters[e.id] = remaining
		return
	}
	delete(d.waiters, e.id)
	d.step(schedule.JobDropped{ID: e.id, Reason: "caller left"})
}

func (d *Dispatcher) answer(a schedule.Answer) {
	fields := []telemetry.Field{
		telemetry.JobID(string(a.ID)), telemetry.OutcomeText(a.Verdict.String()), telemetry.ReasonText(a.Reason),
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
	d.cfg.Metrics.recordAnswer(a)
	for _, w := range d.waiters[a.ID] {
		w <- a
	}
	delete(d.waiters, a.ID)
}

// enqueue hands an event to the core goroutine. It waits while the queue is full, so
// that the event is not lost.
func (d *Dispatcher) enqueue(e any) {
	select {
	case d.events <- e:
	case <-d.base.Done():
	}
}

// Submit submits the job and waits for its answer. The job times out after the given
// time, and is dropped if the context ends and no other caller waits for it.
func (d *Dispatcher) Submit(ctx context.Context, job schedule.Job, timeout time.Duration) schedule.Answer {
	if reason := d.refusalReason(timeout); reason != "" {
		return d.turnAway(job.ID, reason)
	}
	answer := make(chan schedule.Answer, 1)
	select {
	case d.events <- submission{job: job, timeout: timeout, answer: answer}:
	default:
		return d.turnAway(job.ID, "entry busy")
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		d.enqueue(callerGone{job.ID, answer})
		return schedule.Answer{ID: job.ID, Verdict: schedule.Dropped, Reason: "caller left"}
	case <-d.base.Done():
		return schedule.Answer{ID: job.ID, Verdict: schedule.Interrupted, Reason: "entry stopped", FirstStart: -1}
	}
}

// retryElsewhereAfter is the retry delay for callers rejected because this entry is
// busy or stopping. It is short, since other entries admit the job at once.
const retryElsewhereAfter = time.Second

func (d *Dispatcher) turnAway(id work.JobID, reason string) schedule.Answer {
	a := schedule.Answer{ID: id, Verdict: schedule.Rejected, Reason: reason, RetryAfter: retryElsewhereAfter, FirstStart: -1}
	d.cfg.Log.Info("job answered", telemetry.JobID(string(id)), telemetry.OutcomeText(a.Verdict.String()), telemetry.ReasonText(reason))
	d.cfg.Metrics.recordAnswer(a)
	return a
}

// answerMargin is how long before the end of the grace period the last answer is due:
// shortly before the process stops waiting for its work to end.
const answerMargin = 300 * time.Millisecond

// refusalReason returns why a job with the timeout is rejected, or "". After the signal
// to stop, jobs are still admitted if they are certain to be answered before the process
// is killed.
func (d *Dispatcher) refusalReason(timeout time.Duration) string {
	since := d.stoppingSince.Load()
	if since == 0 {
		return ""
	}
	if clock.Now()+timeout > time.Duration(since)+d.cfg.Grace-answerMargin {
		return "entry stops"
	}
	return ""
}

// BeginShutdown tells the entry that its process is stopping. From then on it is not ready.
func (d *Dispatcher) BeginShutdown() { d.stoppingSince.Store(int64(clock.Now())) }

// ShuttingDown reports whether the process is stopping.
func (d *Dispatcher) ShuttingDown() bool { return d.stoppingSince.Load() != 0 }

// Idle reports whether the entry has no jobs and no queued events.
func (d *Dispatcher) Idle() bool { return d.stats.Load().Jobs == 0 && len(d.events) == 0 }

// queryCore runs f on the core goroutine and waits until it has returned or the entry
// has ended.
func (d *Dispatcher) queryCore(f func(*schedule.Core)) {
	done := make(chan struct{})
	d.enqueue(coreQuery{func(c *schedule.Core) {
		f(c)
		close(done)
	}})
	select {
	case <-done:
	case <-d.base.Done():
	}
}

// HasJob reports whether this entry has the job.
func (d *Dispatcher) HasJob(id work.JobID) (found bool) {
	d.queryCore(func(c *schedule.Core) { found = c.HasJob(id) })
	return found
}

// Pending returns the number of jobs of a route of which no task was offered yet.
func (d *Dispatcher) Pending(route string) (n int) {
	d.queryCore(func(c *schedule.Core) { n = c.Pending(route) })
	return n
}

// cancelLocal cancels a job if this entry has it, and reports whether it does.
func (d *Dispatcher) cancelLocal(id work.JobID) bool {
	if !d.HasJob(id) {
		return false
	}
	d.enqueue(schedule.JobDropped{ID: id, Reason: "cancelled"})
	return true
}

// Cancel cancels a job at this entry or, if it does not have it, at the other entries. It
// reports whether an entry had the job.
func (d *Dispatcher) Cancel(ctx context.Context, id work.JobID) bool {
	found := d.cancelLocal(id)
	if !found {
		found = d.links.cancelOnPeers(ctx, id)
	}
	d.cfg.Log.Info("job cancelled", telemetry.JobID(string(id)), telemetry.OutcomeText(foundText(found)))
	return found
}

func foundText(found bool) string {
	if found {
		return "found"
	}
	return "not found"
}

// Reasons for which an entry is not ready. The texts are bodies of HTTP answers.
var (
	errStopping   = errors.New("the process stops")
	errNoManifest = errors.New("no manifest is known")
	errNoAgents   = errors.New("no agent can be reached")
)

// Ready returns why the entry is not ready for jobs, nil if it is ready.
func (d *Dispatcher) Ready() error {
	switch {
	case d.ShuttingDown():
		return errStopping
	case d.Manifest() == nil:
		return errNoManifest
	case d.stats.Load().Agents == 0:
		return errNoAgents
	}
	return nil
}

// Manifest returns the newest known manifest, nil if there is none.
func (d *Dispatcher) Manifest() *operator.Manifest { return d.view.manifest() }
