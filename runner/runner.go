// Package runner is the agent process on the path where jobs are answered at their end.
// It runs the decision core of package run in one goroutine, the event loop, and does
// the I/O for it: the sessions with entries, and the calls to the backend server on the
// same VM. The agent process for jobs whose record an agent keeps is in package agent.
package runner

import (
	"context"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/telemetry"
)

// Backend sends calls to the backend server. Each call returns within a time-out of its
// own. The returned event is valid in any case; the error says why there was no usable
// answer.
type Backend interface {
	// Start and Stop send nothing unless the server at the address is the incarnation that
	// the call names.
	Start(ctx context.Context, call run.CallStart) (run.StartAnswered, error)
	Stop(ctx context.Context, call run.CallStop) (run.StopAnswered, error)
	Hold(ctx context.Context, call run.CallHold) (run.Event, error)
}

// Config holds the identity, the lease terms and the dependencies of an agent.
type Config struct {
	Self   ident.Incarnation
	Domain ident.FailureDomain
	Terms  lease.Terms
	// ReportInterval is the interval between the reports of the backend server.
	ReportInterval time.Duration
	Backend        Backend
	Log            *telemetry.Logger
	Metrics        *Metrics
	// Ignored counts messages from outside that can't be right.
	Ignored *telemetry.Ignored
}

// Limits and intervals of the agent.
const (
	// eventQueueSize is the maximum number of events that wait for the event loop.
	eventQueueSize = 4096
	// queueLimit is the maximum number of tasks that wait at the agent: each entry
	// sends one task more than there is free capacity for.
	queueLimit = 64
	// stallAfter is how long a run may make no progress before it counts as stalled.
	// Progress is reported in hundredths, and the longest tasks take a few seconds.
	stallAfter = 400 * time.Millisecond
	// backfillAfter is how long a waiting task lets smaller ones start before it:
	// about the run time of a short task.
	backfillAfter = 100 * time.Millisecond
	// busyTick and idleTick are the longest pauses between two steps of the core, with
	// and without tasks at the agent or an open question to its server.
	busyTick = 10 * time.Millisecond
	idleTick = 250 * time.Millisecond
	// roomUpdateInterval is the shortest pause between a message to an entry and a
	// following one that only updates the room.
	roomUpdateInterval = 5 * time.Millisecond
)

// Runner is an agent. Its event loop owns all fields but the channel, the atomic ones
// and those that are set before it starts.
type Runner struct {
	cfg      Config
	core     *run.Core
	events   chan any
	sessions map[ident.Incarnation]*entrySession
	// witnessed are the runs that went down with the backend server, by time.
	witnessed []witnessed
	// oddRow is the odd row of a backend server's lists that was logged last, at oddRowAt.
	oddRow   string
	oddRowAt time.Duration
	// view has no manifest, since agents decide nothing by it.
	view operator.View
	// ownRows are the operators' rows that the agent last read from the store itself,
	// with the manifest. Entries that can't reach the store may ask for them.
	ownRows         operator.Rows
	rowsWanted      chan struct{} // asks Presence to read the operators' rows
	idle            atomic.Bool
	attached        atomic.Int64 // entries with an open session
	attachedDomains atomic.Int64 // failure domains of those entries
	rowsAsOf        atomic.Int64 // when the store last confirmed the operators' rows, by package clock
	operatorVersion atomic.Uint64
	baseCtx         context.Context
	// rejected counts the calls of Report and Deregistered that found the event queue
	// full.
	rejected atomic.Uint64
	// speedMilli is the reported speed of the backend server, in thousandths.
	speedMilli atomic.Int64
}

// New returns an agent that isn't running yet.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:      cfg,
		core:     run.New(run.Config{Terms: cfg.Terms, QueueLimit: queueLimit, StallAfter: stallAfter, ReportInterval: cfg.ReportInterval, BackfillAfter: backfillAfter}),
		events:   make(chan any, eventQueueSize),
		sessions: map[ident.Incarnation]*entrySession{},

		rowsWanted: make(chan struct{}, 1),
	}
	r.idle.Store(true)
	return r
}

// Start starts the event loop of the agent, which ends with the context.
func (r *Runner) Start(ctx context.Context) {
	r.baseCtx = ctx
	go r.loop(ctx)
}

// loop is the event loop of the agent. It owns the core.
func (r *Runner) loop(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			r.idle.Store(false) // until its effect is known
			r.handle(e)
			r.handleQueued()
		case <-timer.C:
			r.step(run.Tick{})
		}
		roomPending := r.flush()
		r.idle.Store(r.core.Idle() && r.delivered(clock.Now()))
		timer.Reset(r.tick(roomPending))
	}
}

// tick returns the longest time until the next step of the core. roomPending is true if
// a change of the room has yet to be sent to an entry.
func (r *Runner) tick(roomPending bool) time.Duration {
	switch {
	case roomPending:
		return roomUpdateInterval
	case r.core.Idle() && !r.core.Asking():
		return idleTick
	}
	return busyTick
}

// handleQueued handles the events that are queued already, so that each entry gets one
// message for all of them.
func (r *Runner) handleQueued() {
	for range len(r.events) {
		r.handle(<-r.events)
	}
}

// Events of the event loop besides those of the core.
type (
	attachEvent  struct{ session *entrySession }
	messageEvent struct {
		session *entrySession
		message *linkpb.ToAgent
	}
	detachEvent       struct{ session *entrySession }
	operatorRowsEvent struct {
		rows      operator.Rows
		confirmed time.Duration
	}
)

func (r *Runner) handle(e any) {
	switch e := e.(type) {
	case run.HoldAnswered:
		r.logOddRows(e)
		r.step(e)
	case run.Event:
		r.step(e)
	case attachEvent:
		r.attach(e.session)
	case messageEvent:
		r.handleMessage(e)
	case detachEvent:
		r.detach(e.session)
	case operatorRowsEvent:
		r.ownRows = e.rows
		r.setOperatorRows(operator.Rows{Version: e.rows.Version, Withdrawn: e.rows.Withdrawn}, e.confirmed)
	}
}

// oddRowsInterval is the shortest pause between two lines about odd rows, sameOddRowsInterval
// that between two lines about the same ones, which a backend server may list with each answer.
const (
	oddRowsInterval     = time.Second
	sameOddRowsInterval = time.Minute
)

// logOddRows counts and logs that rows of a backend server's lists were ignored.
func (r *Runner) logOddRows(e run.HoldAnswered) {
	if e.OddRows > 0 {
		r.cfg.Ignored.Add(telemetry.IgnoredRunRow, e.OddRows)
	}
	interval := oddRowsInterval
	if e.OddRow == r.oddRow {
		interval = sameOddRowsInterval
	}
	if e.OddRows == 0 || r.oddRowAt > 0 && clock.Now()-r.oddRowAt < interval {
		return
	}
	r.oddRow, r.oddRowAt = e.OddRow, clock.Now()
	r.cfg.Log.Warn("odd rows in a backend server's lists ignored", telemetry.Count(e.OddRows), telemetry.ReasonText(e.OddRow))
}

// ownRowsAreNewest reports whether the agent has read the newest operators' rows that it
// knows of from the store itself, with the manifest.
func (r *Runner) ownRowsAreNewest() bool {
	return r.ownRows.Manifest != nil && r.ownRows.Version >= r.view.Rows().Version
}

// requestOwnRows asks Presence to read the operators' rows, unless the agent has read the
// newest ones already.
func (r *Runner) requestOwnRows() {
	if r.ownRowsAreNewest() {
		return
	}
	select {
	case r.rowsWanted <- struct{}{}:
	default: // requested already
	}
}

// step passes one event to the core and executes the resulting actions.
func (r *Runner) step(e run.Event) {
	if reported, ok := e.(run.ServerReported); ok {
		r.cfg.Log.Debug("backend server reports", telemetry.Backend(reported.Server.Incarnation))
	}
	for _, a := range r.core.Step(clock.Now(), e) {
		r.execute(a)
	}
}

func (r *Runner) execute(a run.Action) {
	switch a := a.(type) {
	case run.CallStart:
		r.cfg.Log.Info("start", telemetry.Run(a.Run.String()), telemetry.Expiry(a.Expiry), telemetry.FencingToken(a.Fence))
		go r.callStart(a)
	case run.CallStop:
		r.cfg.Log.Info("stop", telemetry.Run(a.Run.String()), telemetry.FencingToken(a.Fence))
		go r.callStop(a)
	case run.CallHold:
		go r.callHold(a)
	case run.Report:
		r.report(a)
	case run.ReportStalled:
		r.reportStalled(a)
	case run.LogMessage:
		r.logServerChange(a)
	}
}

func (r *Runner) logServerChange(a run.LogMessage) {
	if a.ReportIgnored {
		r.cfg.Ignored.Add(telemetry.IgnoredReport, 1)
	}
	r.cfg.Log.Info(a.Text, telemetry.Backend(a.Incarnation), telemetry.Age(a.Age), telemetry.Remaining(a.Remaining), telemetry.ReasonText(a.Reason))
}

func (r *Runner) callStart(a run.CallStart) {
	began := time.Now()
	answer, err := r.cfg.Backend.Start(r.baseCtx, a)
	r.cfg.Metrics.observeCall("start", time.Since(began), err)
	if answer.Reply != run.Started {
		r.cfg.Log.Warn("start not confirmed", telemetry.Run(a.Run.String()), telemetry.OutcomeText(answer.Reply.String()), telemetry.Err(err))
	}
	r.enqueue(answer)
}

func (r *Runner) callStop(a run.CallStop) {
	began := time.Now()
	answer, err := r.cfg.Backend.Stop(r.baseCtx, a)
	r.cfg.Metrics.observeCall("stop", time.Since(began), err)
	if err != nil {
		r.cfg.Log.Warn("stop not answered", telemetry.Run(a.Run.String()), telemetry.Err(err))
	}
	r.enqueue(answer)
}

func (r *Runner) callHold(a run.CallHold) {
	began := time.Now()
	answer, err := r.cfg.Backend.Hold(r.baseCtx, a)
	r.cfg.Metrics.observeCall("hold", time.Since(began), err)
	if err != nil {
		r.cfg.Log.Warn("lease call not answered", telemetry.Call(a.Call), telemetry.Err(err))
	}
	r.enqueue(answer)
}

// enqueue queues an event that must not be lost, and blocks while the queue is full.
func (r *Runner) enqueue(e any) {
	select {
	case r.events <- e:
	case <-r.baseCtx.Done():
	}
}

// tryEnqueue queues an event unless the queue is full. It reports whether it did.
func (r *Runner) tryEnqueue(e any) bool {
	select {
	case r.events <- e:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Report queues a heartbeat of a backend server. It returns false if the event queue is
// full. It implements platform.HeartbeatReceiver.
func (r *Runner) Report(e run.ServerReported) bool { return r.tryEnqueue(e) }

// Deregistered queues the news that a backend server has shut down as planned. It
// returns false if the event queue is full. It implements platform.HeartbeatReceiver.
func (r *Runner) Deregistered(incarnation string) bool {
	return r.tryEnqueue(run.ServerLeft{Incarnation: incarnation})
}

// InvalidHeartbeat logs a heartbeat that can't be used. It implements
// platform.HeartbeatReceiver.
func (r *Runner) InvalidHeartbeat(incarnation string, err error) {
	r.cfg.Ignored.Add(telemetry.IgnoredReport, 1)
	r.cfg.Log.Warn("invalid heartbeat of a backend server", telemetry.Backend(incarnation), telemetry.Err(err))
}

// Close makes the agent accept no more tasks. Running tasks are finished.
func (r *Runner) Close() { r.enqueue(run.Closing{}) }

// Idle reports whether the agent holds no task, and all entries that are not gone have
// acknowledged the results of their tasks.
func (r *Runner) Idle() bool { return r.idle.Load() && len(r.events) == 0 }

// Attached returns how many entries have a session with the agent.
func (r *Runner) Attached() int { return int(r.attached.Load()) }

// AttachedDomains returns in how many failure domains those entries are.
func (r *Runner) AttachedDomains() int { return int(r.attachedDomains.Load()) }

// setOperatorRows updates the view with operators' rows from an entry or from the store. confirmed is
// when the store confirmed them, by package clock.
func (r *Runner) setOperatorRows(rows operator.Rows, confirmed time.Duration) {
	changed := r.view.Update(rows, confirmed)
	r.rowsAsOf.Store(int64(clock.Now() - r.view.Age(clock.Now())))
	if !changed {
		return
	}
	r.operatorVersion.Store(r.view.Rows().Version)
	withdrawn := r.view.Rows().IsWithdrawn(r.cfg.Domain)
	r.cfg.Log.Info("operators' rows updated", telemetry.RowsVersion(r.view.Rows().Version), telemetry.Withdrawn(withdrawn), telemetry.Age(clock.Now()-confirmed))
	r.step(run.DomainWithdrawn{Withdrawn: withdrawn})
}

// SetOperatorRows queues operators' rows that the agent read from the store itself.
// confirmed is when the read was sent, by package clock.
func (r *Runner) SetOperatorRows(rows operator.Rows, confirmed time.Duration) {
	r.enqueue(operatorRowsEvent{rows: rows, confirmed: confirmed})
}

// OperatorAge returns the time since the store last confirmed the operators' rows, as
// far as the agent knows.
func (r *Runner) OperatorAge() time.Duration { return clock.Now() - time.Duration(r.rowsAsOf.Load()) }
