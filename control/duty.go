package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/mailbox"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/telemetry"
)

// Sizes and intervals of a Duty.
const (
	inboxSize    = 1024
	tickInterval = 250 * time.Millisecond
	maxEntries   = 32
)

// Controller is the control duty of one entry. The goroutine of Run owns the decision
// logic and its state. Other goroutines read the platform and call other
// processes, and send the results to it as events.
type Controller struct {
	cfg      Config
	listener Listener
	origin   time.Time
	inbox    *mailbox.Box[event]
	// readNow makes readLoop read the platform at once.
	readNow chan struct{}
	// unsettled passes the ids of unsettled intents to resolveLoop.
	unsettled chan string
	// settlements passes the outcomes of changes to settleLoop.
	settlements chan settlement
	current     atomic.Pointer[snapshot]
	work        sync.WaitGroup

	// The fields below are accessed only by the goroutine of Run.
	ctx     context.Context
	granter *permit.Granter
	tracker *membership.Tracker
	planner *membership.Planner
	intents *intentTracker
	entries map[string]*entryState
	// entriesChangedAt is when the set of live entries last changed.
	entriesChangedAt time.Duration
	// epochCommitRunning is set while a proposed epoch is being committed.
	epochCommitRunning bool
	// forceNextEpoch lets the next epoch be committed without acknowledgements
	// of the members.
	forceNextEpoch bool
	mode           permit.Mode
}

// entryState is what is known of another entry. Duty.entries keeps it by address.
type entryState struct {
	incarnation ident.Incarnation
	domain      ident.FailureDomain
	known       permit.State
	// heardAt is when the entry last answered; listedAt is when the table last
	// listed it or it last called this entry.
	heardAt, listedAt time.Duration
	heard             bool
	stop              context.CancelFunc
}

// New returns a Duty that does nothing until Run. It returns an error if the
// config is not valid.
func New(cfg Config, l Listener) (*Controller, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("control duty: %w", err)
	}
	return &Controller{
		cfg:       cfg,
		listener:  l,
		origin:    time.Now(),
		inbox:     mailbox.New[event](inboxSize),
		readNow:   make(chan struct{}, 1),
		unsettled: make(chan string, maxIntents),

		settlements: make(chan settlement, maxIntents),
		granter:     permit.NewGranter(),
		tracker:     membership.NewTracker(cfg.Membership),
		planner:     membership.NewPlanner(cfg.Membership),
		intents:     newIntentTracker(cfg.IntentExpiry),
		entries:     make(map[string]*entryState),
	}, nil
}

// now is the monotonic time since the Duty was created plus one hour, so that
// zero can stand for "never" in echoes and confirmations.
func (d *Controller) now() time.Duration { return time.Since(d.origin) + time.Hour }

// Run runs the Duty until the context ends.
func (d *Controller) Run(ctx context.Context) {
	d.ctx = ctx
	for _, loop := range []func(context.Context){d.readLoop, d.resolveLoop, d.settleLoop, d.entriesLoop, d.cleanupLoop} {
		d.work.Add(1)
		go func() {
			defer d.work.Done()
			loop(ctx)
		}()
	}
	d.inbox.Run(ctx, tickInterval, d.step, d.tick)
	d.work.Wait()
}

// View returns the newest document view, or nil if none has been learned.
func (d *Controller) View() *document.View {
	if s := d.current.Load(); s != nil {
		return s.view
	}
	return nil
}

// Placement returns the newest placement, or nil if none has been learned.
func (d *Controller) Placement() *placement.Placement {
	if s := d.current.Load(); s != nil {
		return s.placement
	}
	return nil
}

// Ready reports whether the Duty has learned a state. An entry serves no callers
// before that.
func (d *Controller) Ready() bool { return d.current.Load() != nil }

// install applies a committed state whose document version and epoch are both at
// least as high as the current ones, and reports whether it did. Any other state
// is dropped, so that neither number ever goes back.
func (d *Controller) install(s *snapshot) bool {
	old := d.current.Load()
	if old != nil && !s.state().Covers(old.state()) {
		return false
	}
	if old != nil && s.state() == old.state() {
		// The content is the same, but only a snapshot from the table has the
		// row versions.
		if s.fromTable {
			d.current.Store(s)
		}
		return true
	}
	if !d.granter.Install(s.state(), s.view, s.members()) {
		return false
	}
	d.current.Store(s)
	if old == nil || s.view.Version > old.view.Version {
		d.cfg.Log.Info("new document version is in effect", telemetry.DocVersion(s.view.Version))
		d.listener.SetView(s.view)
		d.apply(d.tracker.Step(d.now(), membership.ViewChanged{View: s.view}))
	}
	if old == nil || s.placement.Epoch > old.placement.Epoch {
		d.cfg.Log.Info("new placement epoch is in effect", telemetry.Epoch(s.placement.Epoch))
		d.planner.Defer(d.now() + d.cfg.Membership.EpochGap)
		d.listener.SetPlacement(s.placement)
		d.apply(d.tracker.Step(d.now(), membership.Installed{Placement: s.placement}))
	}
	return true
}

// apply logs the tracker's actions and passes state changes to the listener.
func (d *Controller) apply(acts []membership.Action) {
	var changed []membership.Agent
	for _, a := range acts {
		switch a := a.(type) {
		case membership.Changed:
			d.cfg.Log.Info("agent is "+a.To.String(), telemetry.Peer(a.Agent.Incarnation), telemetry.Domain(a.Agent.Domain))
			changed = append(changed, a.Agent)
		case membership.Rejected:
			d.cfg.Log.Warn("agent rejected: the limit of tracked agents is reached", telemetry.Peer(a.Incarnation))
		case membership.LocalFaultChanged:
			d.logLocalFault(a.Active)
		}
	}
	if len(changed) > 0 {
		d.listener.SetAgents(changed)
	}
}

func (d *Controller) logLocalFault(begins bool) {
	if begins {
		d.cfg.Log.Warn("more than half of the agents are silent at once; none is suspected or declared gone")
		return
	}
	d.cfg.Log.Info("heartbeats of most agents arrive again")
}

func (d *Controller) tick() {
	now := d.now()
	d.apply(d.tracker.Step(now, membership.Tick{}))
	d.expireEntries(now)
	d.plan(now)
	d.listener.SetAgents(d.tracker.Agents())
	if mode := d.granter.Mode(now); mode != d.mode {
		d.cfg.Log.Info("permit mode is now " + mode.String())
		d.mode = mode
	}
}

// triggerRead makes readLoop read the platform at once. It never blocks.
func (d *Controller) triggerRead() {
	select {
	case d.readNow <- struct{}{}:
	default:
	}
}
