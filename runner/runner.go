// Package runner is the agent process around the core of package run: its
// sessions with entries, and the calls to the backend server beside it.
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

// Backend carries out the orders to the backend server. Each call returns within
// a bound of its own; its error says why there was no answer.
type Backend interface {
	Start(ctx context.Context, incarnation string, call run.CallStart) (run.StartAnswered, error)
	Stop(ctx context.Context, incarnation string, call run.CallStop) (run.StopAnswered, error)
	Hold(ctx context.Context, incarnation string, call run.CallHold) (run.Event, error)
}

// Config describes an agent.
type Config struct {
	Self    ident.Incarnation
	Domain  ident.FailureDomain
	Terms   lease.Terms
	Backend Backend
	Log     *telemetry.Logger
	Metrics *Metrics
}

// Bounds of the agent.
const (
	// eventSize bounds the events that wait for the duty.
	eventSize = 4096
	// queueLimit is the most tasks that wait at the agent: entries send one more
	// than there is room for, each.
	queueLimit = 64
	// stallAfter is how long a run may show no progress. Progress comes in
	// hundredths, and the longest tasks take a few seconds.
	stallAfter = 400 * time.Millisecond
	// backfillAfter is how long a large task lets smaller ones pass: about the
	// time of a short task.
	backfillAfter = 100 * time.Millisecond
	// busyTick and idleTick are the pauses after which the core looks at the time.
	busyTick = 10 * time.Millisecond
	idleTick = 250 * time.Millisecond
	// roomPause bounds how often an entry is told of a change of the room that
	// concerns none of its runs.
	roomPause = 5 * time.Millisecond
)

// Runner is an agent.
type Runner struct {
	cfg      Config
	core     *run.Core
	events   chan any
	sessions map[ident.Incarnation]*entrySession
	view     operator.View
	own      uint64 // version of the rows that the agent read itself
	server   string // incarnation that calls are meant for
	idle     atomic.Bool
	attached atomic.Int64
	age      atomic.Int64 // when the view was confirmed, by the clock
	version  atomic.Uint64
	base     context.Context
	// rejected are the callers of Report and Left that found the duty busy.
	rejected atomic.Uint64
}

// New returns an agent that isn't running yet.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:      cfg,
		core:     run.New(run.Config{Terms: cfg.Terms, QueueLimit: queueLimit, StallAfter: stallAfter, BackfillAfter: backfillAfter}),
		events:   make(chan any, eventSize),
		sessions: map[ident.Incarnation]*entrySession{},
	}
	r.idle.Store(true)
	return r
}

// Start starts the duty of the agent, which ends with the context.
func (r *Runner) Start(ctx context.Context) {
	r.base = ctx
	go r.run(ctx)
}

// run is the duty of the agent: it owns the core.
func (r *Runner) run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			r.handle(e)
			r.drain()
		case <-timer.C:
			r.step(run.Tick{})
		}
		behind := r.flush()
		r.idle.Store(r.core.Idle())
		timer.Reset(r.tick(behind))
	}
}

// tick is the longest time until the core looks at the clock again. behind is true
// if an entry is still to be told of a change of the room.
func (r *Runner) tick(behind bool) time.Duration {
	switch {
	case behind:
		return roomPause
	case r.core.Idle():
		return idleTick
	}
	return busyTick
}

// drain handles what waits already, so that one message tells entries of all of it.
func (r *Runner) drain() {
	for range len(r.events) {
		r.handle(<-r.events)
	}
}

// Events of the duty besides those of the core.
type (
	attachEvent  struct{ session *entrySession }
	messageEvent struct {
		session *entrySession
		message *linkpb.ToAgent
	}
	detachEvent  struct{ session *entrySession }
	operatorRead struct {
		rows      operator.Rows
		confirmed time.Duration
	}
)

func (r *Runner) handle(e any) {
	switch e := e.(type) {
	case run.Event:
		r.step(e)
	case attachEvent:
		r.attach(e.session)
	case messageEvent:
		r.message(e)
	case detachEvent:
		r.detach(e.session)
	case operatorRead:
		r.own = e.rows.Version
		r.learn(e.rows, e.confirmed)
	}
}

// step gives one event to the core and carries out what it wants.
func (r *Runner) step(e run.Event) {
	if reported, ok := e.(run.ServerReported); ok {
		r.cfg.Log.Debug("backend server reports", telemetry.Backend(reported.Server.Incarnation))
	}
	for _, a := range r.core.Step(clock.Now(), e) {
		r.carryOut(a)
	}
}

func (r *Runner) carryOut(a run.Action) {
	switch a := a.(type) {
	case run.CallStart:
		r.cfg.Log.Info("start", telemetry.Run(a.Run.String()), telemetry.Expiry(a.Expiry), telemetry.Fence(a.Fence))
		go r.callStart(a, r.server)
	case run.CallStop:
		r.cfg.Log.Info("stop", telemetry.Run(a.Run.String()), telemetry.Fence(a.Fence))
		go r.callStop(a, r.server)
	case run.CallHold:
		go r.callHold(a, r.server)
	case run.Report:
		r.report(a)
	case run.ReportStalled:
		r.reportStalled(a)
	case run.Noted:
		r.noted(a)
	}
}

func (r *Runner) noted(a run.Noted) {
	if a.Incarnation != "" {
		r.server = a.Incarnation
	}
	r.cfg.Log.Info(a.Event, telemetry.Backend(a.Incarnation), telemetry.Age(a.Age))
}

func (r *Runner) callStart(a run.CallStart, server string) {
	began := time.Now()
	answer, err := r.cfg.Backend.Start(r.base, server, a)
	r.cfg.Metrics.called("start", time.Since(began), err)
	if answer.Reply != run.Started {
		r.cfg.Log.Warn("start not confirmed", telemetry.Run(a.Run.String()), telemetry.Result(answer.Reply.String()), telemetry.Err(err))
	}
	r.put(answer)
}

func (r *Runner) callStop(a run.CallStop, server string) {
	began := time.Now()
	answer, err := r.cfg.Backend.Stop(r.base, server, a)
	r.cfg.Metrics.called("stop", time.Since(began), err)
	if err != nil {
		r.cfg.Log.Warn("stop not answered", telemetry.Run(a.Run.String()), telemetry.Err(err))
	}
	r.put(answer)
}

func (r *Runner) callHold(a run.CallHold, server string) {
	began := time.Now()
	answer, err := r.cfg.Backend.Hold(r.base, server, a)
	r.cfg.Metrics.called("hold", time.Since(began), err)
	if err != nil {
		r.cfg.Log.Warn("lease call not answered", telemetry.Call(a.Call), telemetry.Err(err))
	}
	r.put(answer)
}

// put hands an event that must not be lost to the duty.
func (r *Runner) put(e any) {
	select {
	case r.events <- e:
	case <-r.base.Done():
	}
}

// offer hands an event to the duty unless it is busy.
func (r *Runner) offer(e any) bool {
	select {
	case r.events <- e:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Report implements the interface for backend servers' reports.
func (r *Runner) Report(e run.ServerReported) bool { return r.offer(e) }

// Left implements the interface for backend servers' reports.
func (r *Runner) Left(incarnation string) bool {
	return r.offer(run.ServerLeft{Incarnation: incarnation})
}

// Unreadable implements the interface for backend servers' reports.
func (r *Runner) Unreadable(incarnation string, err error) {
	r.cfg.Log.Warn("report of a backend server not usable", telemetry.Backend(incarnation), telemetry.Err(err))
}

// Close makes the agent take no more work. What runs is finished.
func (r *Runner) Close() { r.put(run.Closing{}) }

// Idle reports whether the agent holds no task.
func (r *Runner) Idle() bool { return r.idle.Load() && len(r.events) == 0 }

// Attached returns how many entries have a session with the agent.
func (r *Runner) Attached() int { return int(r.attached.Load()) }

// learn takes operators' rows, from an entry or from the store.
func (r *Runner) learn(rows operator.Rows, confirmed time.Duration) {
	changed := r.view.Learn(rows, confirmed)
	r.age.Store(int64(clock.Now() - r.view.Age(clock.Now())))
	if !changed {
		return
	}
	r.version.Store(r.view.Rows().Version)
	withdrawn := r.view.Rows().IsWithdrawn(r.cfg.Domain)
	r.cfg.Log.Info("operators' rows learnt", telemetry.RowsVersion(r.view.Rows().Version), telemetry.Withdrawn(withdrawn), telemetry.Age(clock.Now()-confirmed))
	r.step(run.DomainWithdrawn{Withdrawn: withdrawn})
}

// Learn takes operators' rows that the agent read itself.
func (r *Runner) Learn(rows operator.Rows, confirmed time.Duration) {
	r.put(operatorRead{rows: rows, confirmed: confirmed})
}

// OperatorAge returns how long ago the store is known to have confirmed the
// operators' rows.
func (r *Runner) OperatorAge() time.Duration { return clock.Now() - time.Duration(r.age.Load()) }
