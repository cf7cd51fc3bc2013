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

// Sizes and intervals of a Controller.
const (
	inboxSize    = 1024
	tickInterval = 250 * time.Millisecond
	maxEntries   = 32
)

// Controller is the control plane of one entry. The goroutine of Run owns the
// decision logic and its state. Other goroutines read the platform and call other
// processes, and send the results to it as events.
type Controller struct {
	cfg      Config
	listener Listener
	origin   time.Time
	inbox    *mailbox.Box[event]
	// readNow makes readLoop read the platform immediately.
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

// entryState is what is known of another entry. Controller.entries keeps it by
// address.
type entryState struct {
	incarnation ident.Incarnation
	domain      ident.FailureDomain
	// applied is the state that the entry acts under.
	applied permit.State
	// heardAt is when the entry last answered; listedAt is when the table last
	// listed it or it last called this entry.
	heardAt, listedAt time.Duration
	heard             bool
	stop              context.CancelFunc
}

// New returns a Controller that does nothing until Run. It returns an error if the
// config is not valid.
func New(cfg Config, l Listener) (*Controller, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("controller: %w", err)
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

// now is the monotonic time since the Controller was created plus one hour, so that
// zero can stand for "never" in echoes and confirmations.
func (c *Controller) now() time.Duration { return time.Since(c.origin) + time.Hour }

// Run runs the Controller until the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.ctx = ctx
	for _, loop := range []func(context.Context){c.readLoop, c.resolveLoop, c.settleLoop, c.entriesLoop, c.cleanupLoop} {
		c.work.Add(1)
		go func() {
			defer c.work.Done()
			loop(ctx)
		}()
	}
	c.inbox.Run(ctx, tickInterval, c.step, c.tick)
	c.work.Wait()
}

// View returns the newest document view, or nil if none has been learned.
func (c *Controller) View() *document.View {
	if s := c.current.Load(); s != nil {
		return s.view
	}
	return nil
}

// Placement returns the newest placement, or nil if none has been learned.
func (c *Controller) Placement() *placement.Placement {
	if s := c.current.Load(); s != nil {
		return s.placement
	}
	return nil
}

// Ready reports whether the Controller has learned a state. An entry serves no
// callers before that.
func (c *Controller) Ready() bool { return c.current.Load() != nil }

// install applies a committed state whose document version and epoch are both at
// least as high as the current ones, and reports whether it did. Any other state
// is dropped, so that neither number ever goes back.
func (c *Controller) install(s *snapshot) bool {
	old := c.current.Load()
	if old != nil && !s.state().Covers(old.state()) {
		return false
	}
	if old != nil && s.state() == old.state() {
		// The content is the same, but only a snapshot from the table has the
		// row versions.
		if s.fromTable {
			c.current.Store(s)
		}
		return true
	}
	if !c.granter.Install(s.state(), s.view, s.members()) {
		return false
	}
	c.current.Store(s)
	if old == nil || s.view.Version > old.view.Version {
		c.cfg.Log.Info("new document version is in effect", telemetry.DocVersion(s.view.Version))
		c.listener.SetView(s.view)
		c.apply(c.tracker.Step(c.now(), membership.ViewChanged{View: s.view}))
	}
	if old == nil || s.placement.Epoch > old.placement.Epoch {
		c.cfg.Log.Info("new placement epoch is in effect", telemetry.Epoch(s.placement.Epoch))
		c.planner.Defer(c.now() + c.cfg.Membership.EpochGap)
		c.listener.SetPlacement(s.placement)
		c.apply(c.tracker.Step(c.now(), membership.Installed{Placement: s.placement}))
	}
	return true
}

// apply logs the tracker's actions and passes state changes to the listener.
func (c *Controller) apply(acts []membership.Action) {
	var changed []membership.Agent
	for _, a := range acts {
		switch a := a.(type) {
		case membership.Changed:
			c.cfg.Log.Info("agent is "+a.To.String(), telemetry.Peer(a.Agent.Incarnation), telemetry.Domain(a.Agent.Domain))
			changed = append(changed, a.Agent)
		case membership.Rejected:
			c.cfg.Log.Warn("agent rejected: the limit of tracked agents is reached", telemetry.Peer(a.Incarnation))
		case membership.LocalFaultChanged:
			c.logLocalFault(a.Active)
		}
	}
	if len(changed) > 0 {
		c.listener.SetAgents(changed)
	}
}

func (c *Controller) logLocalFault(active bool) {
	if active {
		c.cfg.Log.Warn("more than half of the agents are silent at once; none is suspected or declared gone")
		return
	}
	c.cfg.Log.Info("heartbeats of most agents arrive again")
}

func (c *Controller) tick() {
	now := c.now()
	c.apply(c.tracker.Step(now, membership.Tick{}))
	c.expireEntries(now)
	c.plan(now)
	c.listener.SetAgents(c.tracker.Agents())
	if mode := c.granter.Mode(now); mode != c.mode {
		c.cfg.Log.Info("permit mode is now " + mode.String())
		c.mode = mode
	}
}

// triggerRead makes readLoop read the platform immediately. It never blocks.
func (c *Controller) triggerRead() {
	select {
	case c.readNow <- struct{}{}:
	default:
	}
}
