package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/dispatcher"
	"foxtaildock.example/dock/intake"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/shutdown"
	"foxtaildock.example/dock/telemetry"
)

// platformBalancerDelay is how long the balancer may still send new connections to an
// entry that is no longer ready: two of its checks, which it makes once a second,
// and the duration of one.
const platformBalancerDelay = 3 * time.Second

// sessionsPerCore is the number of agents that an entry may use for each core that it
// has. A session of a busy agent takes about 0.3 % of a core, so that half of the
// processor is left for jobs.
const sessionsPerCore = 200

// maxSessions returns the largest number of agents that an entry with that many cores
// uses; 0, for no limit, if the cores aren't known.
func maxSessions(cores float64) int { return int(sessionsPerCore * cores) }

// RunPlatformEntry runs an entry on the users' platform until the context ends, then
// stops gracefully. The path is that of the settings file, which is reloaded at
// SIGHUP. It returns an error if the process can't start or a listener fails.
func RunPlatformEntry(ctx context.Context, set *platform.Settings, path string, log *telemetry.Logger) error {
	p, err := newPlatformProcess(telemetry.RoleEntry, set, path, log)
	if err != nil {
		return err
	}
	counters, err := dispatcher.NewMetrics(p.metrics.Meter())
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	plan := shutdown.NewPlan(set.Bounds.Grace, platformBalancerDelay)
	d := dispatcher.New(dispatcher.Config{
		Self: directory.Member{
			Incarnation: p.self, Role: directory.RoleEntry, Address: set.Internal.String(), Domain: set.Domain,
		},
		Terms: p.terms, RemoteFactor: set.Bounds.RemoteFactor, AnswerWithin: plan.AnswerBy, Seeds: p.seeds(),
		MaxSessions: maxSessions(set.Limits.Cores),
		Store:       p.store, Members: p.store.Members(), Log: p.log, Metrics: counters,
	})
	running, stop := context.WithCancel(context.Background())
	defer stop()
	d.Start(running)
	callers, err := p.serveEntry(d)
	if err != nil {
		return err
	}
	go p.watchSettings(running)
	p.log.Info("entry started", buildField(), telemetry.Address(set.Callers), telemetry.Elapsed(time.Since(p.started)))
	err = p.await(ctx)
	stopEntry(d, callers, plan, p.log)
	p.close()
	p.log.Info("entry ended", telemetry.Elapsed(time.Since(p.started)))
	return err
}

// serveEntry opens the listeners of an entry. It returns the one for callers.
func (p *platformProcess) serveEntry(d *dispatcher.Dispatcher) (*callerListener, error) {
	internal := http.NewServeMux()
	internal.Handle(linkpbconnect.NewEntryPeerHandler(dispatcher.Peer{Dispatcher: d}, rpc.HandlerOptions()))
	if err := p.listenInternal(internal); err != nil {
		return nil, err
	}
	callers, err := p.listenCallers(d)
	if err != nil {
		return nil, err
	}
	if err := p.listenSide("readiness", p.set.Readiness, platform.NewReadinessHandler(d)); err != nil {
		return nil, err
	}
	return callers, p.listenMetrics(append(d.Observed(), callers.connections.observed()...), d.Ready)
}

func (p *platformProcess) listenCallers(d *dispatcher.Dispatcher) (*callerListener, error) {
	if !p.set.Callers.IsValid() {
		return nil, errNoCallersAddress
	}
	limits := callerLimits(p.set.Limits)
	rules := func() intake.Rules { return requestRules(d.Manifest()) }
	l, tracked, err := p.listenTracked("callers", p.set.Callers, platform.NewCallerHandler(d), limits, rules)
	if err != nil {
		return nil, err
	}
	p.callers = tracked
	p.log.Info("callers are bounded", telemetry.OpenConnections(limits.Connections), telemetry.Bytes(limits.Bytes))
	return &callerListener{listener: l, connections: tracked}, nil
}

// callerLimits returns what callers may occupy in a process with the limits of its settings.
func callerLimits(l platform.Limits) intake.Limits {
	return intake.LimitsFor(l.MemoryBytes, l.Descriptors)
}

// requestRules returns the limits of a request in the manifest, which is nil as long as none is
// known.
func requestRules(m *operator.Manifest) intake.Rules {
	if m == nil {
		return intake.DefaultRules
	}
	return intake.Rules{
		MaxHeaderBytes: int64(m.Limits.MaxHeaderBytes),
		HeaderTimeout:  m.Limits.HeaderTimeout,
		IdleTimeout:    m.Limits.IdleTimeout,
	}
}

var errNoCallersAddress = errors.New("settings: found no listen address for callers; an entry needs one")
