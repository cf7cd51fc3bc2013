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

// gateLoop runs the gate core in an event loop and performs its actions.
type gateLoop struct {
	agent   *Agent
	core    *gate.Gate
	box     *mailbox.Box[gate.Event]
	ids     requestIDs
	answers *pending[gate.Answer]
	backend *backend

	mu          sync.Mutex
	lastLoad    gate.Load
	lastBackend backendState
	lastStats   gate.Stats
}

// localRequest is the bit that marks the IDs of requests from the home in this
// process.
const localRequest ident.RequestID = 1 << 63

// backendState is the state of the backend server as the gate was last told.
type backendState struct {
	services []ident.Service
	slots    int
}

func newGateLoop(a *Agent) *gateLoop {
	g := &gateLoop{
		agent:   a,
		core:    gate.New(a.cfg.Gate),
		box:     mailbox.New[gate.Event](mailboxSize),
		answers: newPending[gate.Answer](),
	}
	g.backend = newBackend(g)
	return g
}

func (g *gateLoop) run(ctx context.Context) {
	g.box.RunAdaptive(ctx, g.interval, g.step, func() { g.step(gate.Tick{}) })
}

func (g *gateLoop) interval() time.Duration {
	l := g.core.Load()
	return tickInterval(l.Running+l.Queued > 0)
}

func (g *gateLoop) step(e gate.Event) {
	g.recordBackend(e)
	for _, action := range g.core.Step(g.agent.Now(), e) {
		g.perform(action)
	}
	g.publishLoad(g.core.Load())
}

// publishLoad stores the gate's load and counters for other goroutines and
// reports a changed load to the home in this process. The home does not depend
// on that report, so it is dropped if the home's mailbox is full.
func (g *gateLoop) publishLoad(l gate.Load) {
	g.mu.Lock()
	changed := l.Free != g.lastLoad.Free || l.Queued != g.lastLoad.Queued
	g.lastLoad = l
	g.lastStats = g.core.Stats()
	g.mu.Unlock()
	if changed {
		g.agent.home.box.Offer(home.GateLoad{Load: l.Load})
	}
}

// recordBackend stores the state of the backend server if the event changes it.
func (g *gateLoop) recordBackend(e gate.Event) {
	b, ok := e.(gate.SetBackend)
	if !ok {
		return
	}
	g.mu.Lock()
	g.lastBackend = backendState{services: b.Services, slots: b.Slots}
	g.mu.Unlock()
}

func (g *gateLoop) perform(action gate.Action) {
	switch action := action.(type) {
	case gate.Send:
		go g.backend.run(action)
	case gate.Answer:
		g.answer(action)
	}
}

// answer passes an answer of the gate to the stream of another agent, or to the
// home in this process.
func (g *gateLoop) answer(a gate.Answer) {
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

// executeLocal sends tasks of the home in this process to the gate. It returns
// false if the gate's mailbox is full.
func (g *gateLoop) executeLocal(e home.Execute) bool {
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

func (g *gateLoop) load() gate.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastLoad
}

// executor describes this agent to the dispatch policy of its own home.
func (g *gateLoop) executor() dispatch.Executor {
	g.mu.Lock()
	defer g.mu.Unlock()
	return dispatch.Executor{
		Incarnation: g.agent.cfg.Self,
		Domain:      g.agent.cfg.Domain,
		Services:    slices.Clone(g.lastBackend.services),
		Slots:       g.lastBackend.slots,
		Load:        g.lastLoad.Load,
		Accepting:   g.lastBackend.slots > 0 && g.inService(),
	}
}

// inService reports whether the newest permit lets this gate start tasks.
func (g *gateLoop) inService() bool {
	p := g.agent.permit.Load()
	return p.InService && p.Live(g.agent.Now())
}

// announceTimeout is the time without an announcement after which a backend
// server is taken out of service.
const announceTimeout = 5 * time.Second

func (g *gateLoop) counters() gate.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastStats
}
