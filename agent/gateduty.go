package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/mailbox"
)

// gateDuty runs the gate core and does what it says.
type gateDuty struct {
	agent   *Agent
	core    *gate.Gate
	box     *mailbox.Box[gate.Event]
	ids     requestIDs
	answers *pending[gate.Answer]
	backend *backend

	mu    sync.Mutex
	state gate.Load
	known backendState
	stats gate.Stats
}

// localRequest marks the requests of the home in this process.
const localRequest ident.RequestID = 1 << 63

// backendState is what the backend server announced last.
type backendState struct {
	services []ident.Service
	slots    int
}

func newGateDuty(a *Agent) *gateDuty {
	g := &gateDuty{
		agent:   a,
		core:    gate.New(a.cfg.Gate),
		box:     mailbox.New[gate.Event](boxSize),
		answers: newPending[gate.Answer](),
	}
	g.backend = newBackend(g)
	return g
}

func (g *gateDuty) run(ctx context.Context) {
	g.box.RunAdaptive(ctx, g.interval, g.step, func() { g.step(gate.Tick{}) })
}

func (g *gateDuty) interval() time.Duration {
	l := g.core.Load()
	return tickOf(l.Running+l.Queued > 0)
}

func (g *gateDuty) step(e gate.Event) {
	g.noteBackend(e)
	for _, action := range g.core.Step(g.agent.Now(), e) {
		g.perform(action)
	}
	g.noteLoad(g.core.Load())
}

// noteLoad keeps the gate's state for others and tells the home in this process
// of a change. The home can do without, so a full box drops it.
func (g *gateDuty) noteLoad(l gate.Load) {
	g.mu.Lock()
	changed := l.Free != g.state.Free || l.Queued != g.state.Queued
	g.state = l
	g.stats = g.core.Stats()
	g.mu.Unlock()
	if changed {
		g.agent.home.box.Offer(home.GateLoad{Load: l.Load})
	}
}

func (g *gateDuty) noteBackend(e gate.Event) {
	b, ok := e.(gate.SetBackend)
	if !ok {
		return
	}
	g.mu.Lock()
	g.known = backendState{services: b.Services, slots: b.Slots}
	g.mu.Unlock()
}

func (g *gateDuty) perform(action gate.Action) {
	switch action := action.(type) {
	case gate.Send:
		go g.backend.run(action)
	case gate.Answer:
		g.answer(action)
	}
}

// answer passes an answer to the stream of another agent, or to the home in
// this process.
func (g *gateDuty) answer(a gate.Answer) {
	if a.Request&localRequest == 0 {
		g.answers.answer(a.Request, a)
		return
	}
	e := home.Answered{
		Agent:   g.agent.cfg.Self,
		Task:    a.Task,
		Attempt: a.Attempt,
		Verdict: a.Verdict,
		Body:    a.Body,
		Reason:  a.Reason,
		Detail:  a.Detail,
		Load:    a.Load,
		Ran:     a.Ran,
	}
	g.agent.home.deliver(e)
}

// executeLocal hands tasks of the home in this process to the gate.
func (g *gateDuty) executeLocal(e home.Execute) bool {
	return g.box.Offer(gate.Execute{
		Request:  g.ids.next() | localRequest,
		Home:     g.agent.cfg.Self,
		Key:      e.Key,
		Service:  e.Service,
		Tasks:    e.Tasks,
		Deadline: e.Deadline,
		Rank:     e.Rank,
	})
}

func (g *gateDuty) load() gate.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// executor describes this agent to the dispatch policy of its own home.
func (g *gateDuty) executor() dispatch.Executor {
	g.mu.Lock()
	defer g.mu.Unlock()
	return dispatch.Executor{
		Incarnation: g.agent.cfg.Self,
		Domain:      g.agent.cfg.Domain,
		Services:    slices.Clone(g.known.services),
		Slots:       g.known.slots,
		Load:        g.state.Load,
		Accepting:   g.known.slots > 0 && g.inService(),
	}
}

// inService reports whether the newest permit lets this gate start tasks.
func (g *gateDuty) inService() bool {
	p := g.agent.permit.Load()
	return p.InService && p.Live(g.agent.Now())
}

// announceTimeout is the silence after which a backend server that announced
// itself is taken for absent.
const announceTimeout = 5 * time.Second

func (g *gateDuty) counters() gate.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}
