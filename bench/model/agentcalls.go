package model

import (
	"slices"
	"time"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
)

// addressOfAgent returns the address of an incarnation according to the
// placement or else to the latest heartbeat reply.
func (a *agentProcess) addressOfAgent(id ident.Incarnation) (int, bool) {
	if a.placement != nil {
		if m, ok := a.placement.Member(id); ok {
			return addressOf(m.Address), true
		}
	}
	for _, p := range a.peers {
		if p.incarnation == id {
			return p.address, true
		}
	}
	return 0, false
}

// requestSeal asks a former home to seal a key.
func (a *agentProcess) requestSeal(q home.RequestSeal) {
	report := func(v home.SealVerdict, vouches []home.Vouch) {
		a.homeStep(home.SealAnswered{Key: q.Key, Peer: q.Peer.Incarnation, Verdict: v, Vouches: vouches})
	}
	k := &call{from: a.process, to: addressOf(q.Peer.Address), expected: endpointID(q.Peer.Incarnation), timeout: sealTimeout, mayDuplicate: true}
	k.handle = func(e endpoint, send func(any)) func() {
		e.(*agentProcess).serveSeal(a.incarnation, q, send)
		return nil
	}
	k.onAnswer = func(m any) {
		k.done()
		s := m.(home.AnswerSeal)
		report(s.Verdict, s.Vouches)
	}
	k.onEnd = func(err callError) {
		if err == errReplaced {
			a.homeStep(home.SealAnswered{Key: q.Key, Peer: q.Peer.Incarnation, Verdict: home.Replaced, GoneFor: k.goneFor})
			return
		}
		report(home.Unreachable, nil)
	}
	k.start()
}

func (a *agentProcess) serveSeal(from ident.Incarnation, q home.RequestSeal, send func(any)) {
	id := a.nextID()
	a.replyHandlers[id] = func(m home.Action) {
		if s, ok := m.(home.AnswerSeal); ok && a.cluster.mutated(MutationFalseSeal) {
			s.Verdict = home.Sealed
			m = s
		}
		send(m)
	}
	a.homeStep(home.SealRequested{Request: id, Key: q.Key, From: from, Epoch: q.Epoch})
}

// notify makes a best-effort call. If the call is lost, only time is lost.
func (a *agentProcess) notify(to ident.Incarnation, deliver func(*agentProcess)) {
	address, ok := a.addressOfAgent(to)
	if !ok {
		return
	}
	k := &call{from: a.process, to: address, expected: endpointID(to), timeout: notifyTimeout, mayDuplicate: true}
	k.handle = func(e endpoint, send func(any)) func() {
		deliver(e.(*agentProcess))
		send(nil)
		return nil
	}
	k.onAnswer = func(any) { k.done() }
	k.onEnd = func(callError) {}
	k.start()
}

func (a *agentProcess) revoke(r home.Revoke) {
	e := gate.Revoke{Home: a.incarnation, Key: r.Key}
	if r.Agent == a.incarnation {
		a.gateStep(e)
		return
	}
	a.notify(r.Agent, func(to *agentProcess) { to.gateStep(e) })
}

// handOver passes records to their next home, in at most the given number of
// attempts.
func (a *agentProcess) handOver(h home.Handover, attempts int) {
	if attempts == 0 {
		a.pendingHandovers--
		return
	}
	e := home.HandedOver{From: a.incarnation, Epoch: h.Epoch, Records: h.Records, Vouches: h.Vouches, Last: true}
	if a.cluster.mutated(MutationEmptyHandover) {
		e.Records = nil
	}
	k := &call{from: a.process, to: addressOf(h.To.Address), expected: endpointID(h.To.Incarnation), timeout: handoverTimeout, mayDuplicate: true}
	k.handle = func(to endpoint, send func(any)) func() {
		to.(*agentProcess).homeStep(e)
		send(nil)
		return nil
	}
	k.onAnswer = func(any) {
		k.done()
		a.pendingHandovers--
	}
	k.onEnd = func(callError) { a.after(retryDelay, func() { a.handOver(h, attempts-1) }) }
	k.start()
}

// execute sends tasks to the gate of this process or of another agent.
func (a *agentProcess) execute(e home.Execute) {
	if e.Agent == a.incarnation {
		m := gate.Execute{Request: a.nextID() | localRequest, Home: a.incarnation, Key: e.Key, Service: e.Service, Tasks: e.Tasks, Deadline: e.Deadline, Rank: e.Rank}
		a.spawn(func() { a.gateStep(m) })
		return
	}
	x := &execution{agent: a, spec: e, createdAt: a.cluster.queue.Now(), unanswered: make(map[int]gate.Task)}
	for _, t := range e.Tasks {
		x.unanswered[t.Index] = t
	}
	a.executions = append(a.executions, x)
	a.spawn(x.start)
}

// execution sends some tasks of one job to the gate of another agent. It
// repeats the call until every task is answered, the job's deadline has passed,
// or the agent's incarnation is gone.
type execution struct {
	agent      *agentProcess
	spec       home.Execute
	createdAt  time.Duration
	unanswered map[int]gate.Task
	maybeSent  bool
	stopped    bool
	current    *call
}

func (x *execution) start() {
	if _, ok := x.agent.addressOfAgent(x.spec.Agent); !ok {
		x.reportNotSent()
		return
	}
	x.agent.after(x.spec.Deadline-x.agent.now(), x.stop)
	x.call()
}

// stop ends the execution and reports nothing to the home, as the cancellation
// of its context does.
func (x *execution) stop() {
	if x.stopped {
		return
	}
	x.stopped = true
	x.agent.executions = slices.DeleteFunc(x.agent.executions, func(o *execution) bool { return o == x })
	if x.current != nil {
		x.current.done()
	}
}

// call makes one call with the tasks that have no answer yet.
func (x *execution) call() {
	if x.stopped || len(x.unanswered) == 0 {
		return
	}
	a := x.agent
	address, _ := a.addressOfAgent(x.spec.Agent)
	m := gate.Execute{Home: a.incarnation, Key: x.spec.Key, Service: x.spec.Service}
	for _, t := range x.spec.Tasks {
		if task, ok := x.unanswered[t.Index]; ok {
			m.Tasks = append(m.Tasks, task)
		}
	}
	left := max(0, x.spec.Deadline-a.now())
	waited := a.now() - x.spec.Rank
	k := &call{from: a.process, to: address, expected: endpointID(x.spec.Agent), mayDuplicate: true}
	k.handle = func(e endpoint, send func(any)) func() {
		return e.(*agentProcess).serveExecute(m, left, waited, x.createdAt, send)
	}
	k.onAnswer = func(m any) { x.answer(m.(gate.Answer)) }
	k.onEnd = x.end
	x.current = k
	k.start()
}

// serveExecute serves a call from the home of another agent. Clocks of
// processes differ, so the deadline and the rank are sent as durations.
func (a *agentProcess) serveExecute(m gate.Execute, left, waited, createdAt time.Duration, send func(any)) func() {
	id := a.nextID()
	a.answerHandlers[id] = func(answer gate.Answer) { send(answer) }
	m.Request = id
	m.Deadline = a.now() + left
	m.Rank = a.now() - waited
	m.Age = a.cluster.queue.Now() - createdAt
	a.gateStep(m)
	return func() { delete(a.answerHandlers, id) }
}

// answer passes one answer to the home and drops duplicates.
func (x *execution) answer(m gate.Answer) {
	if x.agent.cluster.mutated(MutationMismatchAnswers) {
		m.Task.Index = x.firstUnanswered()
	}
	t, ok := x.unanswered[m.Task.Index]
	if x.stopped || !ok || t.Attempt != m.Attempt {
		return
	}
	delete(x.unanswered, t.Index)
	x.agent.homeStep(answeredEvent(x.spec.Agent, m))
	if len(x.unanswered) == 0 {
		x.stop()
	}
}

// firstUnanswered returns the index of the first task without an answer.
func (x *execution) firstUnanswered() int {
	for _, t := range x.spec.Tasks {
		if _, ok := x.unanswered[t.Index]; ok {
			return t.Index
		}
	}
	return 0
}

// end handles the end of a call that left tasks unanswered.
func (x *execution) end(err callError) {
	if x.stopped {
		return
	}
	switch {
	case err == errReplaced && x.maybeSent:
		x.reportLost()
		return
	case err == errMaybeSent && !x.agent.cluster.mutated(MutationMoveTask):
		x.maybeSent = true
	case !x.maybeSent:
		x.reportNotSent()
		return
	}
	x.agent.after(retryDelay, x.call)
}

// reportLost reports to the home that the incarnation is gone.
func (x *execution) reportLost() {
	for _, t := range x.spec.Tasks {
		if _, ok := x.unanswered[t.Index]; ok {
			id := ident.TaskID{Job: x.spec.Key, Index: t.Index}
			x.agent.homeStep(home.Answered{Agent: x.spec.Agent, Task: id, Attempt: t.Attempt, Verdict: gate.WrongIncarnation})
		}
	}
	x.stop()
}

// reportNotSent reports to the home that no byte of the unanswered tasks was
// sent.
func (x *execution) reportNotSent() {
	for _, t := range x.spec.Tasks {
		if _, ok := x.unanswered[t.Index]; ok {
			id := ident.TaskID{Job: x.spec.Key, Index: t.Index}
			x.agent.homeStep(home.NotSent{Agent: x.spec.Agent, Task: id, Attempt: t.Attempt})
		}
	}
	x.stop()
}

// stopExecutions stops every execution at an incarnation that is gone.
func (a *agentProcess) stopExecutions(id ident.Incarnation) {
	for _, x := range slices.Clone(a.executions) {
		if x.spec.Agent == id {
			x.stop()
		}
	}
}
