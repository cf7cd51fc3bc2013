package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/agent"
	"foxtaildock.example/dock/control/agentlink"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/settings"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

// idlePollInterval is the interval at which a draining agent checks whether it
// is idle.
const idlePollInterval = 20 * time.Millisecond

// errNoBackend and errNoPermit are the reasons for which an agent isn't ready.
var (
	errNoBackend = errors.New("no backend server has announced itself")
	errNoPermit  = errors.New("no entry has granted a permit")
)

// agentProcess is the process of an agent. It outlives the agent's incarnations: its
// listeners stay open when a new incarnation starts.
type agentProcess struct {
	set      *settings.Agent
	log      *telemetry.Logger
	internal swappableHandler
	local    swappableHandler
	current  atomic.Pointer[agentIncarnation]
}

// agentIncarnation is one incarnation of the agent with its link to the entries, which
// calls its methods with updates from the entries.
type agentIncarnation struct {
	agent   *agent.Agent
	link    *agentlink.Link
	listed  atomic.Bool
	removed chan struct{}
}

// RunAgent runs an agent until the context ends, then drains it and returns. It
// returns an error if the process can't start or a listener fails.
func RunAgent(ctx context.Context, set *settings.Agent, log *telemetry.Logger) error {
	p := &agentProcess{set: set, log: log.With(telemetry.Domain(set.Process.FailureDomain))}
	metrics, err := telemetry.NewMetrics(telemetry.RoleAgent, set.Process.FailureDomain, newIncarnation())
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	listeners, err := p.listen(metrics)
	if err != nil {
		return err
	}
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go l.serve(failed)
	}
	err = p.runIncarnations(ctx, failed, metrics)
	p.close(listeners)
	return err
}

func (p *agentProcess) listen(m *telemetry.Metrics) ([]*listener, error) {
	internal, err := listenWith("internal", p.set.Listen.Internal, rpc.NewServer(&p.internal))
	if err != nil {
		return nil, err
	}
	local, err := listen("local", p.set.Listen.Local, &p.local)
	if err != nil {
		return nil, err
	}
	metrics, err := listen("metrics", p.set.Listen.Metrics, telemetry.NewHandler(m, p.ready))
	if err != nil {
		return nil, err
	}
	return []*listener{internal, local, metrics}, nil
}

func (p *agentProcess) close(listeners []*listener) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	shutdownAll(ctx, listeners)
}

// ready returns nil if the agent can start tasks, else the reason why not.
func (p *agentProcess) ready() error {
	l := p.current.Load()
	if l == nil {
		return errNoPermit
	}
	switch n := l.agent.Announcement(); {
	case n.Slots == 0:
		return errNoBackend
	case !l.agent.Permitted():
		return errNoPermit
	}
	return nil
}

// runIncarnations runs incarnations, one after the other, until the context ends.
func (p *agentProcess) runIncarnations(ctx context.Context, failed <-chan error, m *telemetry.Metrics) error {
	for {
		again, err := p.runIncarnation(ctx, failed, m)
		if err != nil || !again {
			return err
		}
	}
}

// runIncarnation runs one incarnation. It returns true if that was removed from the
// placement, so that the process must continue under a new one.
func (p *agentProcess) runIncarnation(ctx context.Context, failed <-chan error, m *telemetry.Metrics) (bool, error) {
	l, err := p.newAgentIncarnation()
	if err != nil {
		return false, err
	}
	unregister, err := l.agent.RegisterMetrics(m.Meter())
	if err != nil {
		return false, err
	}
	defer unregister()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	ended := l.start(running)
	p.internal.set(l.agent.Handler())
	p.local.set(l.agent.LocalHandler())
	p.current.Store(l)
	p.log.Info("agent started", telemetry.Incarnation(l.agent.Self()), telemetry.Domain(p.set.Process.FailureDomain))
	again, err := p.await(ctx, l, failed)
	p.drain(l)
	stop()
	<-ended
	p.log.Info("agent ended", telemetry.Incarnation(l.agent.Self()))
	return again, err
}

// await blocks until the incarnation must end. It returns true if a new one must
// follow.
func (p *agentProcess) await(ctx context.Context, l *agentIncarnation, failed <-chan error) (bool, error) {
	select {
	case <-ctx.Done():
		return false, nil
	case err := <-failed:
		return false, err
	case <-l.removed:
		p.log.Warn("removed from the placement; restarting under a new incarnation", telemetry.Incarnation(l.agent.Self()))
		return true, nil
	}
}

// drain waits, at most for the grace period, until the work in flight is finished
// and the records are handed over.
func (p *agentProcess) drain(l *agentIncarnation) {
	l.agent.StartDraining()
	deadline := time.Now().Add(p.set.Shutdown.Grace)
	for time.Now().Before(deadline) {
		if l.agent.Idle(l.listed.Load()) {
			l.agent.CloseGate()
			return
		}
		time.Sleep(idlePollInterval)
	}
	p.log.Warn("grace period ended with work still in flight", telemetry.Incarnation(l.agent.Self()))
}

func (p *agentProcess) newAgentIncarnation() (*agentIncarnation, error) {
	self := newIncarnation()
	l := &agentIncarnation{removed: make(chan struct{})}
	l.agent = agent.New(agent.Config{
		Self:    self,
		Domain:  p.set.Process.FailureDomain,
		Address: p.set.Listen.Internal.String(),
		Home:    p.homeConfig(self),
		Gate:    p.gateConfig(),
		Log:     p.log.With(telemetry.Incarnation(self)),
		Intent:  l.intent,
	})
	link, err := agentlink.New(p.linkConfig(self), l)
	if err != nil {
		return nil, fmt.Errorf("link to the entries: %w", err)
	}
	l.link = link
	return l, nil
}

func (p *agentProcess) homeConfig(self ident.Incarnation) home.Config {
	c := home.DefaultConfig(self)
	c.MaxRecords = p.set.Records.MaxJobs
	c.MaxResultBytes = int(p.set.Records.MaxResultBytes)
	return c
}

func (p *agentProcess) gateConfig() gate.Config {
	c := gate.DefaultConfig()
	c.QueueLimit = p.set.Gate.QueueLimit
	return c
}

func (p *agentProcess) linkConfig(self ident.Incarnation) agentlink.Config {
	c := agentlink.DefaultConfig()
	c.Self = self
	c.Cell = p.set.Process.Cell
	c.Table = store.NewClient(p.set.Platform.Address.String(), p.set.Platform.Timeout).Table()
	c.NewClient = rpc.NewClient
	c.Log = p.log.With(telemetry.Incarnation(self))
	for _, s := range p.set.Entries.Seeds {
		c.Seeds = append(c.Seeds, s.String())
	}
	return c
}

// start runs the agent's loops and the link in goroutines and returns a channel that
// is closed when all of them have ended.
func (l *agentIncarnation) start(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	linkEnded := make(chan struct{})
	go func() {
		defer close(linkEnded)
		l.link.Run(ctx)
	}()
	go func() {
		defer close(ended)
		l.agent.Run(ctx)
		<-linkEnded
	}()
	return ended
}

// The methods below are called by the link to the entries.

// Now returns the time on the clock by which permits are granted.
func (l *agentIncarnation) Now() time.Duration { return l.agent.Now() }

// Announcement returns the content of the next heartbeat.
func (l *agentIncarnation) Announcement() membership.Announcement { return l.agent.Announcement() }

// SetPermit passes a permit to the agent.
func (l *agentIncarnation) SetPermit(p permit.Permit) { l.agent.SetPermit(p) }

// SetPeers passes the state of some other agents to the agent.
func (l *agentIncarnation) SetPeers(peers []membership.Agent) { l.agent.SetPeers(peers) }

// SetPlacement passes the placement to the agent and records once it lists this
// incarnation as a member.
func (l *agentIncarnation) SetPlacement(p *placement.Placement) {
	if _, ok := p.Member(l.agent.Self()); ok {
		l.listed.Store(true)
	}
	l.agent.SetPlacement(p)
}

// Removed ends this incarnation, since the placement no longer lists it. Further
// calls have no effect.
func (l *agentIncarnation) Removed() {
	select {
	case <-l.removed:
	default:
		close(l.removed)
	}
}

func (l *agentIncarnation) intent(ctx context.Context, r *dockpb.IntentRequest) bool {
	return l.link.Intent(ctx, r)
}
