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
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/claim"
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
	// AnswerWithin is the time from the signal to stop until all jobs are answered.
	AnswerWithin time.Duration
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
	waiters map[work.JobID][]chan schedule.Answer
	// held has the IDs of the jobs in the core, for other goroutines.
	held          sync.Map
	stoppingSince atomic.Int64 // clock.Now when the process was told to stop, 0 before
	closing       atomic.Bool  // the process closes the connections of its callers
	stats         atomic.Pointer[schedule.Stats]
	cancels       cancelRelay
	// cancelsMissed has an element if others have to be asked for cancels.
	cancelsMissed chan struct{}
	// settled is closed once the entry knows the others, and the cancels that they remember.
	settled     chan struct{}
	settledOnce sync.Once
	claims      *claim.Claims
	register    *claim.Register // of the jobs whose arbiter this entry is
	createdAt   time.Duration   // by package clock
}

// New returns an entry. Start runs it.
func New(cfg Config) *Dispatcher {
	d := &Dispatcher{
		cfg:     cfg,
		core:    schedule.New(schedule.Config{Terms: cfg.Terms, RemoteFactor: cfg.RemoteFactor}),
		events:  make(chan any, eventQueueSize),
		waiters: map[work.JobID][]chan schedule.Answer{},

		settled: make(chan struct{}),

		cancelsMissed: make(chan struct{}, 1),
		claims:        claim.NewClaims(cfg.Self.Incarnation, cfg.Self.Address),
		register:      claim.NewRegister(maxRegistered),
		createdAt:     clock.Now(),
	}
	d.links = newLinks(d)
	d.cancels.queues = map[string][]undelivered{}
	d.cancels.telling = make(chan struct{}, maxCancelsAtOnce)
	d.cancels.tellingGone = make(chan struct{}, maxCancelsAtOnce)
	d.stats.Store(&schedule.Stats{})
	return d
}

// Start starts the goroutines of the entry, which end with the context.
func (d *Dispatcher) Start(ctx context.Context) {
	d.base = ctx
	go d.run(ctx)
	go d.watchOperator(ctx)
	go d.watchMembers(ctx)
	go d.watchPeers(ctx)
	go d.watchCancels(ctx)
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
		d.links.updateWaiting(clock.Now())
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
		// claimedAt is when the calls began by which this entry has got the job.
		claimedAt time.Duration
		// mayBeLate is true if the core takes the job also long after that.
		mayBeLate bool
		answer    chan schedule.Answer
		// taken gets whether the core has taken the job.
		taken chan bool
	}
	callerGone struct {
		id     work.JobID
		answer chan schedule.Answer
		reason string
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
	case attachment:
		d.handleAttachment(e)
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
	case schedule.Resumed:
		d.askForCancels()
		for _, id := range a.Jobs {
			go d.claimAgain(d.base, id)
		}
	case schedule.AdmittedLate:
		d.cfg.Log.Info("job admitted as late", append(basisFields(&a.Basis), telemetry.JobID(string(a.ID)))...)
	case schedule.LogMessage:
		d.cfg.Log.Info(a.Text, telemetry.Peer(a.Agent), telemetry.Run(a.Run.String()), telemetry.ReasonText(a.Reason), telemetry.Age(a.Age), telemetry.Crashes(a.Crashes), telemetry.Speed(a.Speed))
	}
}

// enqueue hands an event to the core goroutine. It waits while the queue is full, so
// that the event is not lost.
func (d *Dispatcher) enqueue(e any) {
	select {
	case d.events <- e:
	case <-d.base.Done():
	}
}

// BeginShutdown tells the entry that its process is stopping. From then on it is not
// ready, and within Config.AnswerWithin it answers all jobs.
func (d *Dispatcher) BeginShutdown() {
	now := clock.Now()
	d.stoppingSince.Store(int64(now))
	d.enqueue(schedule.EntryDraining{AnswerBy: now + d.cfg.AnswerWithin})
}

// BeginClose tells the entry that its process now closes the connections of its callers.
func (d *Dispatcher) BeginClose() { d.closing.Store(true) }

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

// Reasons for which an entry is not ready. The texts are bodies of HTTP answers.
var (
	errStopping   = errors.New("the process stops")
	errNoManifest = errors.New("no manifest is known")
	errNoAgents   = errors.New("no agent can be reached")
	errNotSettled = errors.New("the other entries aren't known yet")
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
	case !d.isSettled():
		return errNotSettled
	}
	return nil
}

// Manifest returns the newest known manifest, nil if there is none.
func (d *Dispatcher) Manifest() *operator.Manifest { return d.view.manifest() }
