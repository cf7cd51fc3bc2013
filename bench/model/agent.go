package model

import (
	"math/rand/v2"
	"slices"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// Intervals and limits of processes, as in the shells but for the tick.
const (
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	retryPause        = 50 * time.Millisecond
	noticeTimeout     = time.Second
	sealTimeout       = time.Second
	handoverTimeout   = 3 * time.Second
	handoverTries     = 5
)

// Bounds scaled down from the shipped ones, in the same proportions, so that
// expiry happens within a run.
const (
	maxDeadline  = 8 * time.Second
	clockSkew    = time.Second
	acceptWindow = 30 * time.Second
	retention    = acceptWindow + maxDeadline + 2*clockSkew
	noteMaxAge   = maxDeadline + clockSkew
	noteKept     = maxDeadline + 3*clockSkew
	// maxAttempts keeps the records small enough that a bound is met.
	maxRecords = 200
)

// agentProcess is one life of an agent: its two cores and what the shell does
// around them.
type agentProcess struct {
	*process
	domain    ident.FailureDomain
	home      *home.Home
	gate      *gate.Gate
	holder    permit.Holder
	placement *placement.Placement
	newest    permit.State
	leaving   bool
	closing   bool
	lastID    ident.RequestID
	replies   map[ident.RequestID]func(home.Action)
	streams   map[ident.RequestID]func(gate.Answer)
	gone      map[ident.Incarnation]bool
	running   []*execution
	handing   int
	directory []peer
	load      dispatch.Load
}

// localRequest marks the requests of the home in the same process.
const localRequest ident.RequestID = 1 << 63

func newAgentProcess(c *Cluster, address int, life ident.Incarnation) *agentProcess {
	if life == "" {
		life = c.newIncarnation()
	}
	p := &process{cluster: c, address: address, incarnation: life, origin: c.queue.Now()}
	a := &agentProcess{
		process: p,
		domain:  domainOf(address),
		gate:    gate.New(gateConfig(c)),
		replies: make(map[ident.RequestID]func(home.Action)),
		streams: make(map[ident.RequestID]func(gate.Answer)),
		gone:    make(map[ident.Incarnation]bool),
	}
	random := rand.New(rand.NewPCG(c.random.Uint64(), 1))
	a.home = home.New(homeConfig(life), dispatch.NewShortestQueue(dispatch.Config{Own: life, Random: random}))
	a.every(tickInterval, a.tick)
	a.every(heartbeatInterval, a.heartbeat)
	a.every(heartbeatInterval, a.announce)
	return a
}

func homeConfig(self ident.Incarnation) home.Config {
	cfg := home.DefaultConfig(self)
	cfg.Retention = retention
	cfg.AcceptWindow = acceptWindow
	cfg.MaxRecords = maxRecords
	return cfg
}

func gateConfig(c *Cluster) gate.Config {
	cfg := gate.DefaultConfig()
	cfg.Retention = noteKept
	cfg.MaxAge = noteMaxAge
	if c.mutated(MutationForgetNotes) {
		cfg.Retention = time.Second
	}
	return cfg
}

func (a *agentProcess) base() *process { return a.process }

func (a *agentProcess) nextID() ident.RequestID {
	a.lastID++
	return a.lastID
}

// tick lets time pass in both cores and ends a finished leave.
func (a *agentProcess) tick() {
	a.homeStep(home.Tick{})
	a.gateStep(gate.Tick{})
	a.exitIfIdle()
}

// announce is the backend server announcing itself.
func (a *agentProcess) announce() {
	if a.cluster.backends[a.address] == behaveUnreachable {
		return
	}
	a.gateStep(gate.SetBackend{Services: []ident.Service{service}, Slots: backendSlots, Connections: backendSlots})
}

// inService reports whether the newest permit lets the gate start tasks.
func (a *agentProcess) inService() bool {
	p, live := a.holder.Live(a.now())
	return live && p.InService
}

// leave begins a planned leave. The epoch without this agent is committed a
// little later.
func (a *agentProcess) leave() {
	if a.leaving || !a.cluster.platform.lists(a.incarnation) {
		return
	}
	a.leaving = true
	a.publishExecutors()
	a.cluster.at(leaveDelay, func() { a.cluster.platform.remove(a.incarnation) })
}

// leaveDelay is the time until the epoch without a leaving agent is committed.
const leaveDelay = 700 * time.Millisecond

// exitIfIdle ends the process once nothing is left to do.
func (a *agentProcess) exitIfIdle() {
	h, g := a.home.Load(), a.gate.Load()
	idle := h.HandedOver && h.Active == 0 && g.Running == 0 && g.Queued == 0 && a.handing == 0
	if !a.leaving || a.closing || !idle {
		return
	}
	a.closing = true
	a.gateStep(gate.StopStarting{})
	a.after(exitDelay, func() { a.dead = true })
}

// exitDelay is the time between the last work and the end of a leaving agent.
const exitDelay = 500 * time.Millisecond

func (a *agentProcess) homeStep(e home.Event) {
	a.noteHomeEvent(e)
	for _, action := range slices.Clone(a.home.Step(a.now(), e)) {
		a.note("home does", action)
		a.performHome(action)
	}
}

func (a *agentProcess) performHome(action home.Action) {
	switch action := action.(type) {
	case home.Reply:
		a.reply(action.Request, action)
	case home.ReplyState:
		a.reply(action.Request, action)
	case home.Redirect:
		a.reply(action.Request, action)
	case home.AnswerSeal:
		a.reply(action.Request, action)
	case home.RequestSeal:
		a.soon(func() { a.askSeal(action) })
	case home.Execute:
		a.execute(action)
	case home.Revoke:
		a.soon(func() { a.revoke(action) })
	case home.Handover:
		a.handing++
		a.soon(func() { a.handOver(action, handoverTries) })
	}
}

func (a *agentProcess) reply(id ident.RequestID, action home.Action) {
	f := a.replies[id]
	delete(a.replies, id)
	if f != nil {
		f(action)
	}
}

func (a *agentProcess) gateStep(e gate.Event) {
	for _, action := range slices.Clone(a.gate.Step(a.now(), e)) {
		a.note("gate does", action)
		a.performGate(action)
	}
	a.noteLoad()
}

// noteLoad tells the home in this process of a change of the gate's load.
func (a *agentProcess) noteLoad() {
	l := a.gate.Load().Load
	if l.Free == a.load.Free && l.Queued == a.load.Queued {
		return
	}
	a.load = l
	a.soon(func() { a.homeStep(home.GateLoad{Load: l}) })
}

func (a *agentProcess) performGate(action gate.Action) {
	switch action := action.(type) {
	case gate.Send:
		a.soon(func() { a.runTask(action) })
	case gate.Answer:
		a.answer(action)
	}
}

// answer passes a gate's answer to the home that asked.
func (a *agentProcess) answer(m gate.Answer) {
	if m.Request&localRequest != 0 {
		a.soon(func() { a.homeStep(answered(a.incarnation, m)) })
		return
	}
	if f := a.streams[m.Request]; f != nil {
		f(m)
	}
}

func answered(agent ident.Incarnation, m gate.Answer) home.Answered {
	return home.Answered{
		Agent:   agent,
		Task:    m.Task,
		Attempt: m.Attempt,
		Verdict: m.Verdict,
		Body:    m.Body,
		Reason:  m.Reason,
		Detail:  m.Detail,
		Load:    m.Load,
		Ran:     m.Ran,
	}
}

// noteHomeEvent logs what concerns jobs.
func (a *agentProcess) noteHomeEvent(e home.Event) {
	switch e := e.(type) {
	case home.Tick, home.SetExecutors, home.SetPermit, home.GateLoad:
		return
	case home.Submit:
		a.note("home gets submission fresh/spec", struct {
			fresh bool
			spec  *job.Spec
		}{e.Fresh, e.Spec})
		return
	}
	a.note("home gets", e)
}

func (a *agentProcess) note(what string, v any) {
	if a.cluster.log != nil {
		a.cluster.note(string(a.incarnation), "%s %T %+v", what, v, v)
	}
}
