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

// Sizes and intervals of the duty.
const (
	boxSize      = 1024
	tickInterval = 250 * time.Millisecond
	maxEntries   = 32
)

// Duty is the control duty of one entry. One goroutine owns its cores; the
// others read the platform, call other processes and report back.
type Duty struct {
	cfg      Config
	listener Listener
	origin   time.Time
	box      *mailbox.Box[event]
	// kick asks the reader to read at once.
	kick chan struct{}
	// unsettled passes intents to the resolver.
	unsettled chan string
	// settlements passes the outcomes of changes to the settler.
	settlements chan settlement
	current     atomic.Pointer[snapshot]
	work        sync.WaitGroup

	// The rest belongs to the goroutine of Run.
	ctx     context.Context
	granter *permit.Granter
	tracker *membership.Tracker
	planner *membership.Planner
	intents *intentBook
	entries map[string]*entryState
	// entriesAt is when the set of live entries last changed.
	entriesAt time.Duration
	// planning is set while a proposal is being committed.
	planning bool
	// forceNext lets the next epoch do without the members' word.
	forceNext bool
	mode      permit.Mode
}

// entryState is what the duty keeps of another entry, by address.
type entryState struct {
	incarnation ident.Incarnation
	domain      ident.FailureDomain
	known       permit.State
	// heardAt is when the entry last answered, listedAt when it was last
	// named by the table or showed itself.
	heardAt, listedAt time.Duration
	heard             bool
	stop              context.CancelFunc
}

// New returns a duty that does nothing until Run.
func New(cfg Config, l Listener) (*Duty, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("control duty: %w", err)
	}
	return &Duty{
		cfg:       cfg,
		listener:  l,
		origin:    time.Now(),
		box:       mailbox.New[event](boxSize),
		kick:      make(chan struct{}, 1),
		unsettled: make(chan string, maxIntents),

		settlements: make(chan settlement, maxIntents),
		granter:     permit.NewGranter(),
		tracker:     membership.NewTracker(cfg.Membership),
		planner:     membership.NewPlanner(cfg.Membership),
		intents:     newIntentBook(cfg.IntentExpiry),
		entries:     make(map[string]*entryState),
	}, nil
}

// now is the monotonic time since the duty's origin. It starts at one hour, so
// that zero can stand for "never" in echoes and confirmations.
func (d *Duty) now() time.Duration { return time.Since(d.origin) + time.Hour }

// Run runs the duty until the context ends.
func (d *Duty) Run(ctx context.Context) {
	d.ctx = ctx
	for _, loop := range []func(context.Context){d.readLoop, d.resolveLoop, d.settleLoop, d.entriesLoop, d.upkeepLoop} {
		d.work.Add(1)
		go func() {
			defer d.work.Done()
			loop(ctx)
		}()
	}
	d.box.Run(ctx, tickInterval, d.step, d.tick)
	d.work.Wait()
}

// View returns the newest document view, or nil before the first.
func (d *Duty) View() *document.View {
	if s := d.current.Load(); s != nil {
		return s.view
	}
	return nil
}

// Placement returns the newest placement, or nil before the first.
func (d *Duty) Placement() *placement.Placement {
	if s := d.current.Load(); s != nil {
		return s.placement
	}
	return nil
}

// Ready reports whether the duty has learned a state. An entry serves nobody
// before that.
func (d *Duty) Ready() bool { return d.current.Load() != nil }

// install takes a committed state that is at least as new in both numbers. A
// lower one is dropped: nothing ever reverts.
func (d *Duty) install(s *snapshot) bool {
	old := d.current.Load()
	if old != nil && !s.state().Covers(old.state()) {
		return false
	}
	if old != nil && s.state() == old.state() {
		// The same content; the table knows its row versions best.
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
		d.cfg.Log.Info("document in force here", telemetry.DocVersion(s.view.Version))
		d.listener.SetView(s.view)
		d.apply(d.tracker.Step(d.now(), membership.ViewChanged{View: s.view}))
	}
	if old == nil || s.placement.Epoch > old.placement.Epoch {
		d.cfg.Log.Info("placement in force here", telemetry.Epoch(s.placement.Epoch))
		d.planner.Defer(d.now() + d.cfg.Membership.EpochGap)
		d.listener.SetPlacement(s.placement)
		d.apply(d.tracker.Step(d.now(), membership.Installed{Placement: s.placement}))
	}
	return true
}

// apply carries out the tracker's actions.
func (d *Duty) apply(acts []membership.Action) {
	var changed []membership.Agent
	for _, a := range acts {
		switch a := a.(type) {
		case membership.Changed:
			d.cfg.Log.Info("agent is "+a.To.String(), telemetry.Peer(a.Agent.Incarnation), telemetry.Domain(a.Agent.Domain))
			changed = append(changed, a.Agent)
		case membership.Rejected:
			d.cfg.Log.Warn("no room for a further agent", telemetry.Peer(a.Incarnation))
		case membership.FaultOwn:
			d.logFault(a.Begins)
		}
	}
	if len(changed) > 0 {
		d.listener.SetAgents(changed)
	}
}

func (d *Duty) logFault(begins bool) {
	if begins {
		d.cfg.Log.Warn("most agents are silent at once, so nobody is suspected")
		return
	}
	d.cfg.Log.Info("most agents are heard again")
}

func (d *Duty) tick() {
	now := d.now()
	d.apply(d.tracker.Step(now, membership.Tick{}))
	d.expireEntries(now)
	d.plan(now)
	d.listener.SetAgents(d.tracker.Agents())
	if mode := d.granter.Mode(now); mode != d.mode {
		d.cfg.Log.Info("permits are now " + mode.String())
		d.mode = mode
	}
}

// kickReader makes the reader read at once. It never waits.
func (d *Duty) kickReader() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}
