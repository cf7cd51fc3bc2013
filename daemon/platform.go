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

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/telemetry"
)

// MetricsPort is the port of the metrics listener on the users' platform, where
// settings name none.
const MetricsPort = 9464

// memoryShare is the part of the process's memory limit that the runtime's heap
// may take. The rest is for stacks, buffers of the system and what isn't yet
// returned to it.
const memoryShare = 0.65

// limitMemory tells the runtime how much memory the process has.
func limitMemory(limits platform.Limits) {
	if limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(limits.MemoryBytes) * memoryShare))
	}
}

// process is what the two roles share on the users' platform.
type process struct {
	set     *platform.Settings
	path    string
	log     *telemetry.Logger
	self    ident.Incarnation
	terms   lease.Terms
	store   *platform.Store
	metrics *telemetry.Metrics
	started time.Time
	ears    []*listener
	failed  chan error
}

// newProcess prepares a role.
func newProcess(role telemetry.Role, set *platform.Settings, path string, log *telemetry.Logger) (*process, error) {
	limitMemory(set.Limits)
	terms, err := lease.New(set.Bounds.Resend, set.Bounds.LeaseMax, set.Bounds.StopTime)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	self := newIncarnation()
	metrics, err := telemetry.NewMetrics(role, set.Domain, self)
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	return &process{
		set: set, path: path, self: self, terms: terms, metrics: metrics,
		log:   log.With(telemetry.Incarnation(self), telemetry.Domain(set.Domain)),
		store: platform.NewStore(set), started: time.Now(), failed: make(chan error, 8),
	}, nil
}

// listen opens a listener and serves it. An address that isn't valid is skipped.
func (p *process) listen(name string, address netip.AddrPort, server *http.Server) error {
	if !address.IsValid() {
		return nil
	}
	l, err := listenWith(name, address, server)
	if err != nil {
		return err
	}
	p.ears = append(p.ears, l)
	go l.serve(p.failed)
	return nil
}

// listenMetrics serves the metrics, with the numbers of the role.
func (p *process) listenMetrics(observed []telemetry.Observed, ready telemetry.Readiness) error {
	if _, err := telemetry.Observe(p.metrics.Meter(), observed); err != nil {
		return err
	}
	address := netip.AddrPortFrom(p.set.Address, MetricsPort)
	return p.listen("metrics", address, plainServer(telemetry.NewHandler(p.metrics, ready)))
}

// idleTimeout is how long a connection of a caller or a backend server may idle.
const idleTimeout = 75 * time.Second

func plainServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// close ends the listeners.
func (p *process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	for _, l := range p.ears {
		l.shutdown(ctx)
	}
}

// closeTime is kept for the last answers to be sent.
const closeTime = 100 * time.Millisecond

// watchSettings reads the settings file again at each SIGHUP, says what it finds,
// and tells what changed. Addresses and bounds are in force from the next start.
func (p *process) watchSettings(ctx context.Context) {
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

func (p *process) reload() {
	set, err := platform.LoadSettings(p.path)
	if err != nil {
		p.log.Error("settings not reloaded; the former ones hold", telemetry.Err(err))
		return
	}
	limitMemory(set.Limits)
	p.log.Info("settings reloaded", telemetry.Count(len(set.Seeds)))
}

// stopPoll is how often a stopping process looks whether it is finished.
const stopPoll = 20 * time.Millisecond

// finish waits until the work is done, at least for the given time, and at the
// most until shortly before the process is killed.
func (p *process) finish(atLeast time.Duration, idle func() bool) {
	began := time.Now()
	limit := p.set.Bounds.Grace - exitMargin
	for time.Since(began) < limit {
		if time.Since(began) >= atLeast && idle() {
			return
		}
		pause.For(context.Background(), stopPoll)
	}
	p.log.Warn("the grace period ended before all work did", telemetry.Elapsed(time.Since(began)))
}

// exitMargin is kept of the grace period for the process's own end.
const exitMargin = 250 * time.Millisecond

// await returns when the process is told to stop, or with the error of a listener.
func (p *process) await(ctx context.Context) error {
	select {
	case <-ctx.Done():
		p.log.Info("told to stop", telemetry.Elapsed(time.Since(p.started)))
		return nil
	case err := <-p.failed:
		return err
	}
}

func (p *process) seeds() []string {
	var seeds []string
	for _, s := range p.set.Seeds {
		seeds = append(seeds, s.String())
	}
	return seeds
}
