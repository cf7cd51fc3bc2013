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

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/platform"
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
	set       *platform.Settings
	path      string
	log       *telemetry.Logger
	self      ident.Incarnation
	terms     lease.Terms
	store     *platform.Store
	metrics   *telemetry.Metrics
	ignored   *telemetry.Ignored
	started   time.Time
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
	log = log.With(telemetry.Incarnation(self), telemetry.Domain(set.Domain))
	return &platformProcess{
		set: set, path: path, self: self, terms: terms, metrics: metrics, ignored: ignored, log: log,
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

// listen opens a listener and serves it in a goroutine. It does nothing if the
// address isn't valid, which means that the role has no such listener.
func (p *platformProcess) listen(name string, address netip.AddrPort, server *http.Server) error {
	if !address.IsValid() {
		return nil
	}
	l, err := listenWith(name, address, server)
	if err != nil {
		return err
	}
	p.serve(l)
	return nil
}

func (p *platformProcess) serve(l *listener) {
	p.listeners = append(p.listeners, l)
	go l.serve(p.failed)
}

// listenMetrics registers the metrics of the role and serves /metrics and the
// health checks.
func (p *platformProcess) listenMetrics(observed []telemetry.Observed, ready telemetry.Readiness) error {
	if _, err := telemetry.Observe(p.metrics.Meter(), observed); err != nil {
		return err
	}
	address := netip.AddrPortFrom(p.set.Address, MetricsPort)
	return p.listen("metrics", address, plainServer(telemetry.NewHandler(p.metrics, ready)))
}

// idleTimeout is how long a connection of a caller or a backend server may be idle.
const idleTimeout = 75 * time.Second

func plainServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
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
// the memory limit takes effect immediately; addresses and bounds take effect at the
// next start.
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
