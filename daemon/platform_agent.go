package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/platform"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/runner"
	"foxtaildock.example/dock/telemetry"
)

var errNoEntry = errors.New("no entry has a session with this agent")

// RunPlatformAgent runs an agent on the users' platform until the context ends, then
// stops gracefully. The path is that of the settings file, which is reloaded at
// SIGHUP. It returns an error if the process can't start or a listener fails.
func RunPlatformAgent(ctx context.Context, set *platform.Settings, path string, log *telemetry.Logger) error {
	p, err := newPlatformProcess(telemetry.RoleAgent, set, path, log)
	if err != nil {
		return err
	}
	counters, err := runner.NewMetrics(p.metrics.Meter())
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	r := runner.New(runner.Config{
		Self: p.self, Domain: set.Domain, Terms: p.terms, ReportInterval: set.ReportInterval,
		Backend: platform.NewBackend(set), Log: p.log, Metrics: counters, Ignored: p.ignored,
	})
	running, stop := context.WithCancel(context.Background())
	defer stop()
	r.Start(running)
	if err := p.serveAgent(r); err != nil {
		return err
	}
	go p.watchSettings(running)
	presence := runner.Presence{
		Runner: r, Seeds: p.seeds(), Store: p.store, Table: p.store.Members(), Log: p.log,
		Self: directory.Member{
			Incarnation: p.self, Role: directory.RoleAgent, Address: set.Internal.String(), Domain: set.Domain,
		},
	}
	go presence.Run(running)
	p.log.Info("agent started", buildField(), telemetry.Address(set.Internal), telemetry.Elapsed(time.Since(p.started)))
	err = p.await(ctx)
	r.Close()
	p.finish(r.Idle)
	p.close()
	p.log.Info("agent ended", telemetry.Elapsed(time.Since(p.started)))
	return err
}

func (p *platformProcess) serveAgent(r *runner.Runner) error {
	internal := http.NewServeMux()
	internal.Handle(linkpbconnect.NewAgentLinkHandler(r, rpc.HandlerOptions()))
	if err := p.listenInternal(internal); err != nil {
		return err
	}
	if err := p.listenSide("reports", p.set.Control, platform.NewHeartbeatHandler(p.set.Backend, r)); err != nil {
		return err
	}
	return p.listenMetrics(r.Observed(), func() error {
		if r.Attached() == 0 {
			return errNoEntry
		}
		return nil
	})
}
