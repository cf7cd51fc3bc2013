// Package agent is the agent process beside a backend server, for jobs whose
// record an agent keeps. It runs two decision cores, each in an event loop of
// its own: the home of some jobs (package home) and the gate of its backend
// server (package gate). It serves the AgentService and makes the calls to
// other agents. The agent process for jobs that are answered at their end is in
// package runner.
package agent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
	"foxtaildock.example/dock/telemetry"
)

// Sizes and intervals of the event loops.
const (
	// mailboxSize is the number of events that may wait for one event loop.
	mailboxSize = 4096
	// busyTick is the tick interval of a core that has work, idleTick that of
	// one without.
	busyTick = 10 * time.Millisecond
	idleTick = 250 * time.Millisecond
)

// Config holds the settings of an agent.
type Config struct {
	Self   ident.Incarnation
	Domain ident.FailureDomain
	// Address is the host:port of the internal listener, as announced to the
	// other processes.
	Address string
	Home    home.Config
	Gate    gate.Config
	Log     *telemetry.Logger
	// Intent passes the announcement of a change to the permit holder and
	// returns whether it is acknowledged. If it is nil, the Intent call is
	// answered as unimplemented.
	Intent func(context.Context, *dockpb.IntentRequest) bool
}

// Agent is one incarnation of the agent process. It lives from New to the end of
// Run.
type Agent struct {
	cfg     Config
	origin  time.Time
	log     *telemetry.Logger
	home    *homeLoop
	gate    *gateLoop
	peers   *peerTable
	calls   *peerClient
	permit  atomic.Pointer[permit.Permit]
	leaving atomic.Bool
	handler http.Handler
	// servingSince is when the first call from another process arrived. From then
	// on no earlier process can have served the address.
	servingSince time.Time
	servingOnce  sync.Once
}

// servedFor returns the minimum time for which this process has served its
// address.
func (a *Agent) servedFor() time.Duration {
	a.servingOnce.Do(func() { a.servingSince = time.Now() })
	return time.Since(a.servingSince)
}

// New returns an agent whose event loops do not run before Run.
func New(cfg Config) *Agent {
	a := &Agent{cfg: cfg, origin: time.Now(), log: cfg.Log, peers: newPeerTable()}
	a.permit.Store(&permit.Permit{})
	a.calls = newPeerClient(a)
	a.gate = newGateLoop(a)
	a.home = newHomeLoop(a, newPool(cfg.Self))
	mux := http.NewServeMux()
	mux.Handle(dockpbconnect.NewAgentServiceHandler(&server{agent: a}, rpc.HandlerOptions()))
	a.handler = mux
	return a
}

// tickInterval returns the tick interval of an event loop.
func tickInterval(busy bool) time.Duration {
	if busy {
		return busyTick
	}
	return idleTick
}

// newPool returns the policy by which the home chooses executors for tasks.
func newPool(self ident.Incarnation) dispatch.Pool {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return dispatch.NewShortestQueue(dispatch.Config{Own: self, Random: random})
}

// Now returns the monotonic time since New, which is the clock of both cores.
func (a *Agent) Now() time.Duration { return time.Since(a.origin) }

// Self returns the agent's incarnation.
func (a *Agent) Self() ident.Incarnation { return a.cfg.Self }

// Permitted reports whether the agent holds a permit that has not expired.
func (a *Agent) Permitted() bool { return a.permit.Load().Live(a.Now()) }

// Handler returns the HTTP handler of the AgentService.
func (a *Agent) Handler() http.Handler { return a.handler }

// Run runs the event loops until the context ends, then waits for the calls to
// other agents to end.
func (a *Agent) Run(ctx context.Context) {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.gate.run(ctx)
	}()
	a.home.run(ctx)
	<-stopped
	a.calls.wait()
}

// SetPermit installs the newest permit. Its times are on the agent's clock (see
// Now).
func (a *Agent) SetPermit(p permit.Permit) {
	a.permit.Store(&p)
	a.gate.box.Put(gate.SetPermit{Permit: p})
	a.home.box.Put(home.SetPermit{Permit: p})
	// Whether the agent's own executor accepts tasks depends on the permit and
	// on its backend server. Updates of the peers do not include it.
	a.publishExecutors()
}

// SetPlacement installs a newer placement.
func (a *Agent) SetPlacement(p *placement.Placement) {
	a.peers.setPlacement(p)
	a.home.box.Put(home.SetPlacement{Placement: p})
}

// SetPeers installs the state of all other agents of the cell. Calls to agents
// that are newly gone are ended.
func (a *Agent) SetPeers(peers []membership.Agent) {
	for _, gone := range a.peers.setPeers(peers) {
		a.home.box.Put(home.AgentGone{Agent: gone})
		a.calls.abort(gone)
	}
	a.publishExecutors()
}

// publishExecutors sends the home the list of all executors, this agent included.
func (a *Agent) publishExecutors() {
	executors := a.peers.executors()
	own := a.gate.executor()
	own.Accepting = own.Accepting && !a.leaving.Load()
	a.home.box.Put(home.SetExecutors{Executors: append(executors, own)})
}

// Announcement returns the agent's own state as the next heartbeat reports it.
func (a *Agent) Announcement() membership.Announcement {
	own := a.gate.executor()
	g := a.gate.load()
	h := a.home.load()
	return membership.Announcement{
		Incarnation: a.cfg.Self,
		Address:     a.cfg.Address,
		Domain:      a.cfg.Domain,
		Services:    own.Services,
		Slots:       own.Slots,
		Free:        g.Free,
		Queued:      g.Queued,
		Waiting:     h.Waiting,
		Pace:        g.Pace,
		Running:     g.Running,
		Jobs:        h.Active,
		Leaving:     a.leaving.Load(),
	}
}

// StartDraining starts draining the agent, which is about to leave the cell. Homes send
// no more tasks here. Jobs are still accepted until the placement no longer lists this agent.
// Idle reports when the remaining work is finished.
func (a *Agent) StartDraining() {
	a.leaving.Store(true)
	a.publishExecutors()
}

// CloseGate stops the gate from starting tasks. It is called once no process
// sends work here any more.
func (a *Agent) CloseGate() { a.gate.box.Put(gate.StopStarting{}) }

// Idle reports whether a draining agent has nothing left to do. member says
// whether the agent was ever a member of the placement; if not, it has no
// records to hand over.
func (a *Agent) Idle(member bool) bool {
	h := a.home.load()
	g := a.gate.load()
	handed := h.HandedOver || !member
	return handed && h.Active == 0 && g.Running == 0 && g.Queued == 0 && a.calls.handovers() == 0
}
