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

// Intervals and limits of the simulated processes. All but the tick are those
// of the real processes.
const (
	tickInterval      = 50 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	retryDelay        = 50 * time.Millisecond
	notifyTimeout     = time.Second
	sealTimeout       = time.Second
	handoverTimeout   = 3 * time.Second
	handoverAttempts  = 5
)

// Bounds scaled down from the shipped ones, in the same proportions, so that
// expiry happens within a run.
const (
	maxDeadline   = 8 * time.Second
	clockSkew     = time.Second
	acceptWindow  = 30 * time.Second
	retention     = acceptWindow + maxDeadline + 2*clockSkew
	gateMaxAge    = maxDeadline + clockSkew
	gateRetention = maxDeadline + 3*clockSkew
	// maxRecords is far below the shipped limit of 100,000, so that a run can
	// reach it.
	maxRecords = 200
)

// agentProcess is one incarnation of an agent: its two cores, home and gate,
// and what the agent process does around them.
type agentProcess struct {
	*process
	domain            ident.FailureDomain
	home              *home.Home
	gate              *gate.Gate
	holder            permit.Holder
	placement         *placement.Placement
	newestPermitState permit.State
	leaving           bool
	closing           bool
	lastID            ident.RequestID
	replyHandlers     map[ident.RequestID]func(home.Action)
	answerHandlers    map[ident.RequestID]func(gate.Answer)
	gone              map[ident.Incarnation]bool
	executions        []*execution
	pendingHandovers  int
	peers             []peer
	load              dispatch.Load
}

// localRequest is set in the identifiers of requests from the home in the same
// process.
const localRequest ident.RequestID = 1 << 63

// newAgentProcess starts an agent. An empty incarnation means a new one.
func newAgentProcess(c *Cluster, address int, incarnation ident.Incarnation) *agentProcess {
	if incarnation == "" {
		incarnation = c.newIncarnation()
	}
	p := &process{cluster: c, address: address, incarnation: incarnation, startedAt: c.queue.Now()}
	a := &agentProcess{
		process:        p,
		domain:         domainOf(address),
		gate:           gate.New(gateConfig(c)),
		replyHandlers:  make(map[ident.RequestID]func(home.Action)),
		answerHandlers: make(map[ident.RequestID]func(gate.Answer)),
		gone:           make(map[ident.Incarnation]bool),
	}
	random := rand.New(rand.NewPCG(c.random.Uint64(), 1))
	a.home = home.New(homeConfig(incarnation), dispatch.NewShortestQueue(dispatch.Config{Own: incarnation, Random: random}))
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
	cfg.Retention = gateRetention
	cfg.MaxAge = gateMaxAge
	if c.mutated(MutationDropRecords) {
		cfg.Retention = time.Second
	}
	return cfg
}

func (a *agentProcess) base() *process { return a.process }

func (a *agentProcess) nextID() ident.RequestID {
	a.lastID++
	return a.lastID
}

// tick steps the clocks of both cores and ends the process when a planned leave
// is done.
func (a *agentProcess) tick() {
	a.homeStep(home.Tick{})
	a.gateStep(gate.Tick{})
	a.exitIfIdle()
}

// announce imitates the announcement by the backend server, which tells the
// gate its services and slots.
func (a *agentProcess) announce() {
	if a.cluster.backends[a.address] == backendUnreachable {
		return
	}
	a.gateStep(gate.SetBackend{Services: []ident.Service{service}, Slots: backendSlots, Connections: backendSlots})
}

// inService reports whether the newest permit allows the gate to start tasks.
func (a *agentProcess) inService() bool {
	p, live := a.holder.Live(a.now())
	return live && p.InService
}

// leave begins a planned leave. The epoch without this agent is committed
// leaveDelay later.
func (a *agentProcess) leave() {
	if a.leaving || !a.cluster.platform.isMember(a.incarnation) {
		return
	}
	a.leaving = true
	a.publishExecutors()
	a.cluster.after(leaveDelay, func() { a.cluster.platform.remove(a.incarnation) })
}

// leaveDelay is the time until the epoch without a leaving agent is committed.
const leaveDelay = 700 * time.Millisecond

// exitIfIdle ends the process of a leaving agent once its records are handed
// over and no job, task or handover is left.
func (a *agentProcess) exitIfIdle() {
	h, g := a.home.Load(), a.gate.Load()
	idle := h.HandedOver && h.Active == 0 && g.Running == 0 && g.Queued == 0 && a.pendingHandovers == 0
	if !a.leaving || a.closing || !idle {
		return
	}
	a.closing = true
	a.gateStep(gate.StopStarting{})
	a.after(exitDelay, func() { a.dead = true })
}

// exitDelay is the time from when a leaving agent is idle until it exits.
const exitDelay = 500 * time.Millisecond

func (a *agentProcess) homeStep(e home.Event) {
	a.logHomeEvent(e)
	for _, action := range slices.Clone(a.home.Step(a.now(), e)) {
		a.logValue("home action", action)
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
		a.spawn(func() { a.requestSeal(action) })
	case home.Execute:
		a.execute(action)
	case home.Revoke:
		a.spawn(func() { a.revoke(action) })
	case home.Handover:
		a.pendingHandovers++
		a.spawn(func() { a.handOver(action, handoverAttempts) })
	}
}

func (a *agentProcess) reply(id ident.RequestID, action home.Action) {
	f := a.replyHandlers[id]
	delete(a.replyHandlers, id)
	if f != nil {
		f(action)
	}
}

func (a *agentProcess) gateStep(e gate.Event) {
	for _, action := range slices.Clone(a.gate.Step(a.now(), e)) {
		a.logValue("gate action", action)
		a.performGate(action)
	}
	a.reportLoad()
}

// reportLoad passes a change of the gate's load to the home in this process.
func (a *agentProcess) reportLoad() {
	l := a.gate.Load().Load
	if l.Free == a.load.Free && l.Queued == a.load.Queued {
		return
	}
	a.load = l
	a.spawn(func() { a.homeStep(home.GateLoad{Load: l}) })
}

func (a *agentProcess) performGate(action gate.Action) {
	switch action := action.(type) {
	case gate.Send:
		a.spawn(func() { a.runTask(action) })
	case gate.Answer:
		a.answer(action)
	}
}

// answer passes the gate's answer to the home that sent the task.
func (a *agentProcess) answer(m gate.Answer) {
	if m.Request&localRequest != 0 {
		a.spawn(func() { a.homeStep(answeredEvent(a.incarnation, m)) })
		return
	}
	if f := a.answerHandlers[m.Request]; f != nil {
		f(m)
	}
}

func answeredEvent(agent ident.Incarnation, m gate.Answer) home.Answered {
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

// logHomeEvent logs events that concern jobs.
func (a *agentProcess) logHomeEvent(e home.Event) {
	switch e := e.(type) {
	case home.Tick, home.SetExecutors, home.SetPermit, home.GateLoad:
		return
	case home.Submit:
		a.logValue("home event submission fresh/spec", struct {
			fresh bool
			spec  *job.Spec
		}{e.Fresh, e.Spec})
		return
	}
	a.logValue("home event", e)
}

func (a *agentProcess) logValue(what string, v any) {
	if a.cluster.log != nil {
		a.cluster.logf(string(a.incarnation), "%s %T %+v", what, v, v)
	}
}
