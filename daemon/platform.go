package daemon

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/metric"
	"golang.org/x/net/netutil"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/intake"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/shutdown"
	"foxtaildock.example/dock/telemetry"
)

// MetricsPort is the port of the metrics listener on the users' platform, whose
// settings file has no field for it.
const MetricsPort = 9464

// heapShare is the fraction of the process's memory limit that is set as the
// memory limit of the Go runtime. The rest is for stacks, buffers of the operating
// system and memory that isn't yet returned to it.
const heapShare = 0.65

// limitMemory sets the memory limit of the Go runtime, if the process has a limit.
func limitMemory(limits platform.Limits) {
	if limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryBytes) * heapShare))
	}
}

// platformProcess contains what the entry and the agent process on the users' platform
// have in common.
type platformProcess struct {
	set     *platform.Settings
	path    string
	log     *telemetry.Logger
	self    ident.Incarnation
	terms   lease.Terms
	store   *platform.Store
	metrics *telemetry.Metrics
	ignored *telemetry.Ignored
	shed    metric.Int64Counter
	started time.Time
	// callers are the connections of callers; nil in an agent.
	callers   *connections
	listeners []*listener
	failed    chan error
}

// newPlatformProcess creates the process of a role and sets its memory limit. It opens
// no listener.
func newPlatformProcess(role telemetry.Role, set *platform.Settings, path string, log *telemetry.Logger) (*platformProcess, error) {
	limitMemory(set.Limits)
	terms, err := lease.New(set.Bounds.ResendDelay, set.Bounds.LeaseMax, set.Bounds.StopTime)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	self := newIncarnation()
	metrics, err := telemetry.NewMetrics(role, set.Domain, self)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	ignored, err := telemetry.NewIgnored(metrics.Meter())
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	shed, err := newShedCounter(metrics.Meter())
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	log = log.With(telemetry.Incarnation(self), telemetry.Domain(set.Domain))
	return &platformProcess{
		set: set, path: path, self: self, terms: terms, metrics: metrics, ignored: ignored, shed: shed, log: log,
		store: platform.NewStore(set, reportOddRows(log, ignored)), started: time.Now(), failed: make(chan error, 8),
	}, nil
}

// reportOddRows returns a function that logs and counts the rows of a read of the store that
// can't be used.
func reportOddRows(log *telemetry.Logger, ignored *telemetry.Ignored) func(table string, count int, first error) {
	return func(table string, count int, first error) {
		ignored.Add(telemetry.IgnoredStoreRow, count)
		log.Warn("odd rows in the store ignored", telemetry.Dependency("store: "+table), telemetry.Count(count), telemetry.Err(first))
	}
}

func (p *platformProcess) serve(l *listener) {
	p.listeners = append(p.listeners, l)
	go l.serve(p.failed)
}

// sideLimits are what the clients of a listener may occupy that isn't for callers: one backend
// server, the platform's balancer and a few who read metrics.
var sideLimits = intake.Limits{Connections: 64, Bytes: 4 << 20, ReceiveBuffer: 64 << 10}

// listenInternal opens the listener for other processes of the system, whose number of connections
// is bounded, and serves it in a goroutine.
func (p *platformProcess) listenInternal(h http.Handler) error {
	l, err := listenWith("internal", p.set.Internal, rpc.NewServer(h))
	if err != nil {
		return err
	}
	l.socket = netutil.LimitListener(l.socket, intake.OwnSockets(p.set.Limits.Descriptors))
	p.serve(l)
	return nil
}

// listenSide opens a listener for few clients, whose connections and requests are bounded, and
// serves it in a goroutine. It does nothing if the address isn't valid, which means that the role
// has no such listener.
func (p *platformProcess) listenSide(name string, address netip.AddrPort, h http.Handler) error {
	if !address.IsValid() {
		return nil
	}
	_, _, err := p.listenTracked(name, address, h, sideLimits, func() intake.Rules { return intake.DefaultRules })
	return err
}

// listenTracked opens a listener whose connections are tracked, and serves it in a goroutine.
func (p *platformProcess) listenTracked(name string, address netip.AddrPort, h http.Handler, limits intake.Limits, rules func() intake.Rules) (*listener, *connections, error) {
	l, err := listenBuffered(name, address, &http.Server{Handler: h}, limits.ReceiveBuffer)
	if err != nil {
		return nil, nil, err
	}
	tracked := newConnections(limits, rules, newShedLog(name, p.log, p.shed))
	l.socket = tracked.track(l.server, l.socket)
	p.serve(l)
	return l, tracked, nil
}

// listenMetrics registers the metrics of the role and serves /metrics and the
// health checks.
func (p *platformProcess) listenMetrics(observed []telemetry.Observed, ready telemetry.Readiness) error {
	if _, err := telemetry.Observe(p.metrics.Meter(), observed); err != nil {
		return err
	}
	address := netip.AddrPortFrom(p.set.Address, MetricsPort)
	return p.listenSide("metrics", address, telemetry.NewHandler(p.metrics, ready))
}

// close closes all listeners.
func (p *platformProcess) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	shutdownAll(ctx, p.listeners)
}

// closeTimeout is how long close waits for the last responses to be sent.
const closeTimeout = 100 * time.Millisecond

// watchSettings reloads the settings file at each SIGHUP and logs the result. Only
// the limits of memory and descriptors take effect immediately; addresses and bounds take
// effect at the next start.
func (p *platformProcess) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			p.reload()
		}
	}
}

func (p *platformProcess) reload() {
	set, err := platform.LoadSettings(p.path)
	if err != nil {
		p.log.Error("settings not reloaded; keeping the previous ones", telemetry.Err(err))
		return
	}
	limitMemory(set.Limits)
	if p.callers != nil {
		p.callers.setLimits(callerLimits(set.Limits))
	}
	p.log.Info("settings reloaded", telemetry.Count(len(set.Seeds)))
}

// stopPollInterval is the interval at which a stopping process checks whether it
// is idle.
const stopPollInterval = 20 * time.Millisecond

// finish waits until the process is idle, and at most until the limit of its grace period.
func (p *platformProcess) finish(idle func() bool) {
	began := clock.Now()
	limit := shutdown.Limit(p.set.Bounds.Grace)
	for clock.Now()-began < limit {
		if idle() {
			return
		}
		pause.For(context.Background(), stopPollInterval)
	}
	p.log.Warn("grace period ended with work still in flight", telemetry.Elapsed(clock.Now()-began))
}

// await blocks until the context ends, or returns the error of a failed listener.
func (p *platformProcess) await(ctx context.Context) error {
	select {
	case <-ctx.Done():
		p.log.Info("stop requested", telemetry.Elapsed(time.Since(p.started)))
		return nil
	case err := <-p.failed:
		return err
	}
}

func (p *platformProcess) seeds() []string {
	var seeds []string
	for _, s := range p.set.Seeds {
		seeds = append(seeds, s.String())
	}
	return seeds
}
