// Package agent is the process beside a backend server. It runs two duties, the
// home of some jobs and the gate of its backend server, each in its own goroutine
// around its decision core, and connects them to the other processes.
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

// Sizes and intervals of the duties.
const (
	// boxSize is the number of events that may wait for one duty.
	boxSize = 4096
	// busyTick is how often a core with work lets time pass, idleTick how often
	// one without.
	busyTick = 10 * time.Millisecond
	idleTick = 250 * time.Millisecond
)

// Config is what an agent needs to know.
type Config struct {
	Self   ident.Incarnation
	Domain ident.FailureDomain
	// Address is the host:port of the internal listener that others are told.
	Address string
	Home    home.Config
	Gate    gate.Config
	Log     *telemetry.Logger
	// Intent takes the announcement of a change for the permit holder and
	// returns whether it is acknowledged.
	Intent func(context.Context, *dockpb.IntentRequest) bool
}

// Agent is one incarnation of the process. It lives from New to the end of Run.
type Agent struct {
	cfg     Config
	origin  time.Time
	log     *telemetry.Logger
	home    *homeDuty
	gate    *gateDuty
	peers   *peerBook
	calls   *caller
	permit  atomic.Pointer[permit.Permit]
	leaving atomic.Bool
	handler http.Handler
	// serving is when the first call of another process arrived. From then on
	// no earlier process can have served the address.
	serving     time.Time
	servingOnce sync.Once
}

// servedFor returns for how long this process has certainly served its address.
func (a *Agent) servedFor() time.Duration {
	a.servingOnce.Do(func() { a.serving = time.Now() })
	return time.Since(a.serving)
}

// New returns an agent that does nothing until Run.
func New(cfg Config) *Agent {
	a := &Agent{cfg: cfg, origin: time.Now(), log: cfg.Log, peers: newPeerBook()}
	a.permit.Store(&permit.Permit{})
	a.calls = newCaller(a)
	a.gate = newGateDuty(a)
	a.home = newHomeDuty(a, newPool(cfg.Self))
	mux := http.NewServeMux()
	mux.Handle(dockpbconnect.NewAgentServiceHandler(&server{agent: a}, rpc.HandlerOptions()))
	a.handler = mux
	return a
}

// tickOf returns the interval of a duty.
func tickOf(busy bool) time.Duration {
	if busy {
		return busyTick
	}
	return idleTick
}

// newPool returns the placement policy of the home.
func newPool(self ident.Incarnation) dispatch.Pool {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return dispatch.NewShortestQueue(dispatch.Config{Own: self, Random: random})
}

// Now returns the monotonic time since the agent's origin.
func (a *Agent) Now() time.Duration { return time.Since(a.origin) }

// Self returns the agent's incarnation.
func (a *Agent) Self() ident.Incarnation { return a.cfg.Self }

// Permitted reports whether the agent holds a live permit.
func (a *Agent) Permitted() bool { return a.permit.Load().Live(a.Now()) }

// Handler serves the AgentService.
func (a *Agent) Handler() http.Handler { return a.handler }

// Run runs the duties until the context ends.
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

// SetPermit hands over the newest permit; its times are on the agent's clock.
func (a *Agent) SetPermit(p permit.Permit) {
	a.permit.Store(&p)
	a.gate.box.Put(gate.SetPermit{Permit: p})
	a.home.box.Put(home.SetPermit{Permit: p})
	// The own executor depends on the permit and on the backend server, of
	// which no peer tells.
	a.publishExecutors()
}

// SetPlacement hands over a newer placement.
func (a *Agent) SetPlacement(p *placement.Placement) {
	a.peers.setPlacement(p)
	a.home.box.Put(home.SetPlacement{Placement: p})
}

// SetPeers hands over the state of all other agents of the cell.
func (a *Agent) SetPeers(peers []membership.Agent) {
	for _, gone := range a.peers.setPeers(peers) {
		a.home.box.Put(home.AgentGone{Agent: gone})
		a.calls.abort(gone)
	}
	a.publishExecutors()
}

// publishExecutors gives the home its view of all executors, this one included.
func (a *Agent) publishExecutors() {
	executors := a.peers.executors()
	own := a.gate.executor()
	own.Accepting = own.Accepting && !a.leaving.Load()
	a.home.box.Put(home.SetExecutors{Executors: append(executors, own)})
}

// Announcement is what the next heartbeat says.
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

// Leave begins a planned leave. No home places tasks here any more; jobs are
// accepted until the placement no longer lists this agent. Idle tells when the
// rest is finished.
func (a *Agent) Leave() {
	a.leaving.Store(true)
	a.publishExecutors()
}

// CloseGate stops the gate from starting anything. It is called once nobody
// sends work here any more.
func (a *Agent) CloseGate() { a.gate.box.Put(gate.StopStarting{}) }

// Idle reports whether a leaving agent has nothing left to do. An agent that
// was never a member of the placement has no records to hand over.
func (a *Agent) Idle(member bool) bool {
	h := a.home.load()
	g := a.gate.load()
	handed := h.HandedOver || !member
	return handed && h.Active == 0 && g.Running == 0 && g.Queued == 0 && a.calls.handovers() == 0
}
