package sim

import (
	"math"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// tickInterval is the interval of the ticks of all cores.
const tickInterval = 50 * time.Millisecond

// unboundedQueue is the queue limit of gates under the baseline policies, whose
// tasks all wait at gates and never at their home.
const unboundedQueue = 1 << 20

// agent simulates the agent process of one VM. It passes messages between the
// real cores of home and gate in simulated time.
type agent struct {
	world *world
	vm    int
	self  ident.Incarnation
	home  *home.Home
	gate  *gate.Gate
	fault *Fault
	// reportedLoad is the load of the gate that was last reported to the home
	// in this agent.
	reportedLoad gate.Load
	// announced is the state of this agent as its latest heartbeat reported it.
	announced dispatch.Executor
	// announcedWaiting is the number of tasks waiting at its home, as the
	// latest heartbeat reported it.
	announcedWaiting int
}

func newAgent(w *world, vm int) *agent {
	a := &agent{world: w, vm: vm, self: incarnation(vm)}
	homeConfig := home.DefaultConfig(a.self)
	homeConfig.MaxRecords = math.MaxInt
	gateConfig := gate.DefaultConfig()
	gateConfig.MaxRecords = math.MaxInt
	if w.config.Policy != PolicyShortestQueue {
		gateConfig.QueueLimit = unboundedQueue
	}
	a.home = home.New(homeConfig, w.newPool(vm))
	a.gate = gate.New(gateConfig)
	return a
}

// start passes the placement, the backend server and the permit to the cores.
func (a *agent) start(p *placement.Placement) {
	a.stepHome(home.SetPlacement{Placement: p})
	a.stepGate(gate.SetBackend{
		Services:    []ident.Service{anyService},
		Slots:       a.world.config.Site.Slots,
		Connections: a.world.config.Site.Connections,
	})
	a.setPermit(true)
	a.announce()
}

// setPermit puts the VM's failure domain into or out of service. The permit
// never expires here; its renewal is tested in package permit.
func (a *agent) setPermit(inService bool) {
	p := permit.Permit{Epoch: firstEpoch, InService: inService, Until: math.MaxInt64}
	a.stepHome(home.SetPermit{Permit: p})
	a.stepGate(gate.SetPermit{Permit: p})
}

// announce updates the state of this agent that entries and other agents see.
func (a *agent) announce() {
	l := a.gate.Load()
	a.announcedWaiting = a.home.Load().Waiting
	a.announced = dispatch.Executor{
		Incarnation: a.self,
		Services:    []ident.Service{anyService},
		Slots:       l.Slots,
		Load:        l.Load,
		Accepting:   a.fault == nil || a.fault.Trouble != FaultOutOfService,
	}
}

// heartbeat announces the state of this agent and updates its home's view of
// all agents.
func (a *agent) heartbeat() {
	if a.world.finished() {
		return
	}
	a.announce()
	a.updateExecutors()
	a.world.after(heartbeatInterval, a.heartbeat)
}

func (a *agent) updateExecutors() {
	var executors []dispatch.Executor
	for _, other := range a.world.agents {
		executors = append(executors, other.announced)
	}
	a.stepHome(home.SetExecutors{Executors: executors})
}

func (a *agent) tick() {
	if a.world.finished() {
		return
	}
	a.stepHome(home.Tick{})
	a.stepGate(gate.Tick{})
	a.world.after(tickInterval, a.tick)
}

func (a *agent) now() time.Duration { return a.world.events.Now() }

func (a *agent) stepHome(e home.Event) {
	for _, action := range a.home.Step(a.now(), e) {
		switch action := action.(type) {
		case home.Reply:
			a.world.reply(action)
		case home.Execute:
			a.execute(action)
		case home.Revoke:
			a.revoke(action)
		}
	}
}

func (a *agent) execute(e home.Execute) {
	to := a.world.byID[e.Agent]
	a.world.send(a.vm, to.vm, func() {
		to.stepGate(gate.Execute{
			Request:  ident.RequestID(a.vm),
			Home:     a.self,
			Key:      e.Key,
			Service:  e.Service,
			Tasks:    e.Tasks,
			Deadline: e.Deadline,
			Rank:     e.Rank,
		})
	})
}

func (a *agent) revoke(e home.Revoke) {
	to := a.world.byID[e.Agent]
	if to != a {
		a.world.report.Messages.Revokes += messagesPerCall
	}
	a.world.send(a.vm, to.vm, func() {
		to.stepGate(gate.Revoke{Home: a.self, Key: e.Key})
	})
}

func (a *agent) stepGate(e gate.Event) {
	for _, action := range a.gate.Step(a.now(), e) {
		switch action := action.(type) {
		case gate.Send:
			a.run(action)
		case gate.Answer:
			a.answer(action)
		}
	}
	if l := a.gate.Load(); l.Free != a.reportedLoad.Free || l.Queued != a.reportedLoad.Queued {
		a.reportedLoad = l
		a.world.after(0, func() { a.stepHome(home.GateLoad{Load: l.Load}) })
	}
}

// answer passes the gate's answer to the home that sent the task.
func (a *agent) answer(r gate.Answer) {
	to := a.world.agents[int(r.Request)]
	a.world.countAnswer(r, to == a)
	a.world.send(a.vm, to.vm, func() {
		to.stepHome(home.Answered{
			Agent:   a.self,
			Task:    r.Task,
			Attempt: r.Attempt,
			Verdict: r.Verdict,
			Reason:  r.Reason,
			Load:    r.Load,
			Ran:     r.Ran,
		})
	})
}

// run simulates the backend server.
func (a *agent) run(s gate.Send) {
	a.world.countStart(a.vm)
	task := a.world.jobs[s.Task.Job].job.Tasks[s.Task.Index]
	run, ok := a.actualRun(task)
	a.world.after(run, func() {
		a.stepGate(gate.Finished{Task: s.Task, OK: ok})
	})
}

// actualRun returns how long a task runs on this VM now, and whether it ends
// with a result.
func (a *agent) actualRun(task Task) (run time.Duration, ok bool) {
	if a.fault == nil {
		return task.Run, true
	}
	switch a.fault.Trouble {
	case FaultSlow:
		return time.Duration(float64(task.Run) * a.fault.Factor), true
	case FaultFailing:
		return failedRun, false
	}
	return task.Run, true
}

// submission returns the job as it is submitted to its home.
func submission(j *Job) *job.Spec {
	spec := &job.Spec{Key: j.Key, Service: anyService, Deadline: j.Deadline}
	for i := range j.Tasks {
		spec.Tasks = append(spec.Tasks, job.Task{Index: i, DeclaredRun: j.Tasks[i].Declared})
	}
	return spec
}
