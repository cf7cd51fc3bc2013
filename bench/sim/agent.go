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

// tickEvery is how often the cores let time pass.
const tickEvery = 50 * time.Millisecond

// manyWaiting is the queue limit of gates under the baselines, which never wait
// at the home.
const manyWaiting = 1 << 20

// agent stands for the process beside one worker: it passes messages between
// the real cores of home and gate in simulated time.
type agent struct {
	world  *world
	worker int
	self   ident.Incarnation
	home   *home.Home
	gate   *gate.Gate
	fault  *Fault
	// load is what the own home was last told of the gate.
	load gate.Load
	// listed is what the entries say about this agent.
	listed dispatch.Executor
	// listedWaiting is the number of tasks that wait at its home.
	listedWaiting int
}

func newAgent(w *world, worker int) *agent {
	a := &agent{world: w, worker: worker, self: incarnation(worker)}
	homeConfig := home.DefaultConfig(a.self)
	homeConfig.MaxRecords = math.MaxInt
	gateConfig := gate.DefaultConfig()
	gateConfig.MaxRecords = math.MaxInt
	if w.config.Policy != PolicyShortestQueue {
		gateConfig.QueueLimit = manyWaiting
	}
	a.home = home.New(homeConfig, w.newPool(worker))
	a.gate = gate.New(gateConfig)
	return a
}

// begin hands the cores what they need to know before they do anything.
func (a *agent) begin(p *placement.Placement) {
	a.stepHome(home.SetPlacement{Placement: p})
	a.stepGate(gate.SetBackend{
		Services:    []ident.Service{anyService},
		Slots:       a.world.config.Site.Slots,
		Connections: a.world.config.Site.Connections,
	})
	a.setPermit(true)
	a.announce()
}

// setPermit takes the worker's failure domain into or out of service. Permits
// are renewed in time; the package permit has tests of its own.
func (a *agent) setPermit(inService bool) {
	p := permit.Permit{Epoch: firstEpoch, InService: inService, Until: math.MaxInt64}
	a.stepHome(home.SetPermit{Permit: p})
	a.stepGate(gate.SetPermit{Permit: p})
}

// announce makes the entries know the state of this agent.
func (a *agent) announce() {
	l := a.gate.Load()
	a.listedWaiting = a.home.Load().Waiting
	a.listed = dispatch.Executor{
		Incarnation: a.self,
		Services:    []ident.Service{anyService},
		Slots:       l.Slots,
		Load:        l.Load,
		Accepting:   a.fault == nil || a.fault.Trouble != Out,
	}
}

// heartbeat exchanges states with the entries.
func (a *agent) heartbeat() {
	if a.world.over() {
		return
	}
	a.announce()
	a.learnExecutors()
	a.world.after(heartbeatEvery, a.heartbeat)
}

func (a *agent) learnExecutors() {
	var executors []dispatch.Executor
	for _, other := range a.world.agents {
		executors = append(executors, other.listed)
	}
	a.stepHome(home.SetExecutors{Executors: executors})
}

func (a *agent) tick() {
	if a.world.over() {
		return
	}
	a.stepHome(home.Tick{})
	a.stepGate(gate.Tick{})
	a.world.after(tickEvery, a.tick)
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
	a.world.send(a.worker, to.worker, func() {
		to.stepGate(gate.Execute{
			Request:  ident.RequestID(a.worker),
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
	a.world.send(a.worker, to.worker, func() {
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
	if l := a.gate.Load(); l.Free != a.load.Free || l.Queued != a.load.Queued {
		a.load = l
		a.world.after(0, func() { a.stepHome(home.GateLoad{Load: l.Load}) })
	}
}

// answer takes the answer of the gate to the home that asked.
func (a *agent) answer(r gate.Answer) {
	to := a.world.agents[int(r.Request)]
	a.world.countAnswer(r, to == a)
	a.world.send(a.worker, to.worker, func() {
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

// run stands for the backend server.
func (a *agent) run(s gate.Send) {
	a.world.started(a.worker)
	task := a.world.jobs[s.Task.Job].job.Tasks[s.Task.Index]
	run, ok := a.trueRun(task)
	a.world.after(run, func() {
		a.stepGate(gate.Finished{Task: s.Task, OK: ok})
	})
}

// trueRun returns how long a task runs on this worker now, and whether it ends
// with a result.
func (a *agent) trueRun(task Task) (run time.Duration, ok bool) {
	if a.fault == nil {
		return task.Run, true
	}
	switch a.fault.Trouble {
	case Slow:
		return time.Duration(float64(task.Run) * a.fault.Factor), true
	case Failing:
		return failAfter, false
	}
	return task.Run, true
}

// submission builds what the home of a job gets.
func submission(j *Job) *job.Spec {
	spec := &job.Spec{Key: j.Key, Service: anyService, Deadline: j.Deadline}
	for i := range j.Tasks {
		spec.Tasks = append(spec.Tasks, job.Task{Index: i, DeclaredRun: j.Tasks[i].Declared})
	}
	return spec
}
