package daemon

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"foxtaildock.example/dock/admission"
	"foxtaildock.example/dock/control"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/entry"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/routing"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
	"foxtaildock.example/dock/settings"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

// balancerDelay is how long a stopping entry answers "not ready" before it closes
// its listeners, so that the balancer stops sending it new connections.
const balancerDelay = 500 * time.Millisecond

// errNoState is the reason for which an entry that has just started isn't ready.
var errNoState = errors.New("no document version and placement is known yet")

// entryProcess is the process of an entry.
type entryProcess struct {
	set          *settings.Entry
	log          *telemetry.Logger
	self         ident.Incarnation
	entry        *entry.Entry
	accessPolicy *entry.DocumentAccessPolicy
	admitter     *entry.Admitter
	control      *control.Controller
	answers      *answerCounter
	// operatorsHandler serves the operators' API.
	operatorsHandler *entry.OperatorsHandler
}

// RunEntry runs an entry until the context ends, then stops gracefully. It returns
// an error if the process can't start or a listener fails.
func RunEntry(ctx context.Context, set *settings.Entry, log *telemetry.Logger) error {
	self := newIncarnation()
	p := &entryProcess{set: set, log: log.With(telemetry.Incarnation(self), telemetry.Domain(set.Process.FailureDomain)), self: self}
	metrics, err := telemetry.NewMetrics(telemetry.RoleEntry, set.Process.FailureDomain, self)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	if err := p.build(metrics); err != nil {
		return err
	}
	listeners, err := p.listen(metrics)
	if err != nil {
		return err
	}
	return p.run(ctx, listeners)
}

func (p *entryProcess) build(m *telemetry.Metrics) error {
	jobs, err := telemetry.NewJobMetrics(m.Meter())
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	p.answers = newAnswerCounter(jobs)
	p.admitter = entry.NewAdmitter()
	p.accessPolicy = entry.NewDocumentAccessPolicy(p.admitter)
	p.entry = entry.New(entry.Config{
		Self:          p.self,
		Domain:        p.set.Process.FailureDomain,
		Routing:       routing.DefaultConfig(),
		Limits:        p.limits(),
		AccessPolicy:  p.accessPolicy,
		Log:           p.log,
		RecordOutcome: p.answers.record,
		TokenRefused:  func(r *http.Request, status int) { p.operatorsHandler.RecordRefusedCaller(r, status) },
	})
	if err := p.entry.RegisterMetrics(m.Meter()); err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	p.control, err = control.New(p.controlConfig(), p)
	if err != nil {
		return fmt.Errorf("build the entry: %w", err)
	}
	p.operatorsHandler = entry.NewOperatorsHandler(entry.OperatorsConfig{
		Self:            p.self,
		Control:         p.control,
		BootstrapSHA256: p.set.Operators.BootstrapSHA256,
		Tallies:         p.answers.tallies,
	})
	return nil
}

func (p *entryProcess) limits() entry.Limits {
	return entry.Limits{
		JobsInFlight:  int64(p.set.Limits.MaxJobsInFlight),
		BytesInFlight: p.set.Limits.MaxBytesInFlight,
		BodyTimeout:   p.set.Limits.BodyTimeout,
	}
}

func (p *entryProcess) controlConfig() control.Config {
	client := store.NewClient(p.set.Platform.Address.String(), p.set.Platform.Timeout)
	c := control.DefaultConfig()
	c.Self = p.self
	c.Cell = p.set.Process.Cell
	c.Address = p.set.Listen.Internal.String()
	c.Domain = p.set.Process.FailureDomain
	c.Table = client.Table()
	c.Objects = client.Objects()
	c.Client = rpc.NewClient()
	c.Log = p.log
	return c
}

func (p *entryProcess) listen(m *telemetry.Metrics) ([]*listener, error) {
	mux := http.NewServeMux()
	mux.Handle(dockpbconnect.NewEntryServiceHandler(p.control.Service(), rpc.HandlerOptions()))
	internal, err := listenWith("internal", p.set.Listen.Internal, rpc.NewServer(mux))
	if err != nil {
		return nil, err
	}
	callers, err := listen("callers", p.set.Listen.Callers, p.entry.Handler())
	if err != nil {
		return nil, err
	}
	operators, err := listen("operators", p.set.Listen.Operators, p.operatorsHandler)
	if err != nil {
		return nil, err
	}
	metrics, err := listen("metrics", p.set.Listen.Metrics, telemetry.NewHandler(m, p.ready))
	if err != nil {
		return nil, err
	}
	return []*listener{internal, callers, operators, metrics}, nil
}

// ready returns nil if the entry accepts jobs, else the reason why not.
func (p *entryProcess) ready() error {
	if !p.control.Ready() {
		return errNoState
	}
	return p.entry.Ready()
}

// run serves until the context ends or a listener fails.
func (p *entryProcess) run(ctx context.Context, listeners []*listener) error {
	running, stop := context.WithCancel(context.Background())
	ended := p.start(running)
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		go l.serve(failed)
	}
	p.log.Info("entry started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	p.shutdown(listeners)
	stop()
	<-ended
	p.log.Info("entry ended")
	return err
}

// start runs the controller and the entry's loops in goroutines. It returns a
// channel that is closed when the controller and the entry's own loop have ended.
func (p *entryProcess) start(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	controlEnded := make(chan struct{})
	go func() {
		defer close(controlEnded)
		p.control.Run(ctx)
	}()
	go p.operatorsHandler.Run(ctx)
	go p.admitter.Run(ctx)
	go func() {
		defer close(ended)
		p.entry.Run(ctx)
		<-controlEnded
	}()
	return ended
}

// shutdown makes the entry not ready, keeps serving until the balancer has noticed,
// stops accepting jobs, and waits at most for the grace period for the requests in
// flight.
func (p *entryProcess) shutdown(listeners []*listener) {
	p.entry.MarkUnready()
	for _, l := range listeners {
		l.server.SetKeepAlivesEnabled(false)
	}
	time.Sleep(balancerDelay)
	p.entry.StopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), p.set.Shutdown.Grace)
	defer cancel()
	internal, others := listeners[0], listeners[1:]
	shutdownAll(ctx, others)
	internal.shutdown(ctx) // last, since requests in progress need it
}

// The methods below are called by the controller.

// SetView passes a newer version of the operators' document to the entry.
func (p *entryProcess) SetView(v *document.View) {
	p.accessPolicy.SetView(v)
	p.admitter.SetView(v)
}

// SetPlacement passes a newer placement to the entry.
func (p *entryProcess) SetPlacement(pl *placement.Placement) {
	p.answers.placement.Store(pl)
	p.entry.SetPlacement(pl)
}

// SetAgents passes the state of the agents to the admission control, which uses
// their load. Routing uses the placement only.
func (p *entryProcess) SetAgents(agents []membership.Agent) { p.admitter.SetAgents(agents) }

// SetDemand passes the demand at another entry to the admission control. A nil
// demand removes that entry.
func (p *entryProcess) SetDemand(from ident.Incarnation, demand []control.Demand) {
	if demand == nil {
		p.admitter.SetDemand(from, nil)
		return
	}
	theirs := make([]admission.Demand, len(demand))
	for i, d := range demand {
		theirs[i] = admission.Demand{Team: d.Team, StartsPerSecond: float64(d.StartsPerSecond)}
	}
	p.admitter.SetDemand(from, theirs)
}

// Demand returns the demand of each team at this entry, in starts per second,
// rounded up.
func (p *entryProcess) Demand() []control.Demand {
	var demand []control.Demand
	for _, d := range p.admitter.Demand() {
		rate := int(math.Ceil(d.StartsPerSecond))
		demand = append(demand, control.Demand{Team: d.Team, StartsPerSecond: rate})
	}
	return demand
}
