package model

import (
	"slices"
	"time"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
)

// addressOfAgent returns where an incarnation was last heard of.
func (a *agentProcess) addressOfAgent(id ident.Incarnation) (int, bool) {
	if a.placement != nil {
		if m, ok := a.placement.Member(id); ok {
			return addressOf(m.Address), true
		}
	}
	for _, p := range a.directory {
		if p.incarnation == id {
			return p.address, true
		}
	}
	return 0, false
}

// askSeal asks a former home for its seal.
func (a *agentProcess) askSeal(q home.RequestSeal) {
	verdict := func(v home.SealVerdict, vouches []home.Vouch) {
		a.homeStep(home.SealAnswered{Key: q.Key, Peer: q.Peer.Incarnation, Verdict: v, Vouches: vouches})
	}
	k := &call{from: a.process, to: addressOf(q.Peer.Address), meant: endpointID(q.Peer.Incarnation), timeout: sealTimeout, twice: true}
	k.serve = func(e endpoint, send func(any)) func() {
		e.(*agentProcess).serveSeal(a.incarnation, q, send)
		return nil
	}
	k.answer = func(m any) {
		k.done()
		s := m.(home.AnswerSeal)
		verdict(s.Verdict, s.Vouches)
	}
	k.end = func(err callError) {
		if err == errReplaced {
			a.homeStep(home.SealAnswered{Key: q.Key, Peer: q.Peer.Incarnation, Verdict: home.Replaced, GoneFor: k.goneFor})
			return
		}
		verdict(home.Unreachable, nil)
	}
	k.start()
}

func (a *agentProcess) serveSeal(from ident.Incarnation, q home.RequestSeal, send func(any)) {
	id := a.nextID()
	a.replies[id] = func(m home.Action) {
		if s, ok := m.(home.AnswerSeal); ok && a.cluster.mutated(MutationFalseSeal) {
			s.Verdict = home.Sealed
			m = s
		}
		send(m)
	}
	a.homeStep(home.SealRequested{Request: id, Key: q.Key, From: from, Epoch: q.Epoch})
}

// notice makes a call whose loss costs nothing but time.
func (a *agentProcess) notice(to ident.Incarnation, deliver func(*agentProcess)) {
	address, ok := a.addressOfAgent(to)
	if !ok {
		return
	}
	k := &call{from: a.process, to: address, meant: endpointID(to), timeout: noticeTimeout, twice: true}
	k.serve = func(e endpoint, send func(any)) func() {
		deliver(e.(*agentProcess))
		send(nil)
		return nil
	}
	k.answer = func(any) { k.done() }
	k.end = func(callError) {}
	k.start()
}

func (a *agentProcess) revoke(r home.Revoke) {
	e := gate.Revoke{Home: a.incarnation, Key: r.Key}
	if r.Agent == a.incarnation {
		a.gateStep(e)
		return
	}
	a.notice(r.Agent, func(to *agentProcess) { to.gateStep(e) })
}

// handOver passes records to the next home and tries again for a while.
func (a *agentProcess) handOver(h home.Handover, tries int) {
	if tries == 0 {
		a.handing--
		return
	}
	e := home.HandedOver{From: a.incarnation, Epoch: h.Epoch, Records: h.Records, Vouches: h.Vouches, Last: true}
	if a.cluster.mutated(MutationEmptyHandover) {
		e.Records = nil
	}
	k := &call{from: a.process, to: addressOf(h.To.Address), meant: endpointID(h.To.Incarnation), timeout: handoverTimeout, twice: true}
	k.serve = func(to endpoint, send func(any)) func() {
		to.(*agentProcess).homeStep(e)
		send(nil)
		return nil
	}
	k.answer = func(any) {
		k.done()
		a.handing--
	}
	k.end = func(callError) { a.after(retryPause, func() { a.handOver(h, tries-1) }) }
	k.start()
}

// execute sends tasks to the gate of this process or of another.
func (a *agentProcess) execute(e home.Execute) {
	if e.Agent == a.incarnation {
		m := gate.Execute{Request: a.nextID() | localRequest, Home: a.incarnation, Key: e.Key, Service: e.Service, Tasks: e.Tasks, Deadline: e.Deadline, Rank: e.Rank}
		a.soon(func() { a.gateStep(m) })
		return
	}
	x := &execution{agent: a, spec: e, made: a.cluster.queue.Now(), open: make(map[int]gate.Task)}
	for _, t := range e.Tasks {
		x.open[t.Index] = t
	}
	a.running = append(a.running, x)
	a.soon(x.begin)
}

// execution calls one gate for some tasks of one job until every task is
// answered, the job's time is up, or the incarnation is gone.
type execution struct {
	agent   *agentProcess
	spec    home.Execute
	made    time.Duration
	open    map[int]gate.Task
	sent    bool
	stopped bool
	current *call
}

func (x *execution) begin() {
	if _, ok := x.agent.addressOfAgent(x.spec.Agent); !ok {
		x.returnAll()
		return
	}
	x.agent.after(x.spec.Deadline-x.agent.now(), x.stop)
	x.call()
}

// stop ends the execution without a word, as the end of its context does.
func (x *execution) stop() {
	if x.stopped {
		return
	}
	x.stopped = true
	x.agent.running = slices.DeleteFunc(x.agent.running, func(o *execution) bool { return o == x })
	if x.current != nil {
		x.current.done()
	}
}

// call makes one call.
func (x *execution) call() {
	if x.stopped || len(x.open) == 0 {
		return
	}
	a := x.agent
	address, _ := a.addressOfAgent(x.spec.Agent)
	m := gate.Execute{Home: a.incarnation, Key: x.spec.Key, Service: x.spec.Service}
	for _, t := range x.spec.Tasks {
		if open, ok := x.open[t.Index]; ok {
			m.Tasks = append(m.Tasks, open)
		}
	}
	left := max(0, x.spec.Deadline-a.now())
	waited := a.now() - x.spec.Rank
	k := &call{from: a.process, to: address, meant: endpointID(x.spec.Agent), twice: true}
	k.serve = func(e endpoint, send func(any)) func() {
		return e.(*agentProcess).serveExecute(m, left, waited, x.made, send)
	}
	k.answer = func(m any) { x.answer(m.(gate.Answer)) }
	k.end = x.end
	x.current = k
	k.start()
}

// serveExecute takes a call of another home's agent.
func (a *agentProcess) serveExecute(m gate.Execute, left, waited, made time.Duration, send func(any)) func() {
	id := a.nextID()
	a.streams[id] = func(answer gate.Answer) { send(answer) }
	m.Request = id
	m.Deadline = a.now() + left
	m.Rank = a.now() - waited
	m.Age = a.cluster.queue.Now() - made
	a.gateStep(m)
	return func() { delete(a.streams, id) }
}

// answer delivers one answer; one that was delivered already is dropped.
func (x *execution) answer(m gate.Answer) {
	if x.agent.cluster.mutated(MutationCrossAnswers) {
		m.Task.Index = x.firstOpen()
	}
	t, ok := x.open[m.Task.Index]
	if x.stopped || !ok || t.Attempt != m.Attempt {
		return
	}
	delete(x.open, t.Index)
	x.agent.homeStep(answered(x.spec.Agent, m))
	if len(x.open) == 0 {
		x.stop()
	}
}

// firstOpen returns the index of the first task without an answer.
func (x *execution) firstOpen() int {
	for _, t := range x.spec.Tasks {
		if _, ok := x.open[t.Index]; ok {
			return t.Index
		}
	}
	return 0
}

// end deals with a call that left tasks open.
func (x *execution) end(err callError) {
	if x.stopped {
		return
	}
	switch {
	case err == errReplaced && x.sent:
		x.loseAll()
		return
	case err == errMaybeSent && !x.agent.cluster.mutated(MutationMoveTask):
		x.sent = true
	case !x.sent:
		x.returnAll()
		return
	}
	x.agent.after(retryPause, x.call)
}

// loseAll reports that the incarnation is gone.
func (x *execution) loseAll() {
	for _, t := range x.spec.Tasks {
		if _, ok := x.open[t.Index]; ok {
			id := ident.TaskID{Job: x.spec.Key, Index: t.Index}
			x.agent.homeStep(home.Answered{Agent: x.spec.Agent, Task: id, Attempt: t.Attempt, Verdict: gate.WrongIncarnation})
		}
	}
	x.stop()
}

// returnAll reports that no byte of the open tasks was sent.
func (x *execution) returnAll() {
	for _, t := range x.spec.Tasks {
		if _, ok := x.open[t.Index]; ok {
			id := ident.TaskID{Job: x.spec.Key, Index: t.Index}
			x.agent.homeStep(home.NotSent{Agent: x.spec.Agent, Task: id, Attempt: t.Attempt})
		}
	}
	x.stop()
}

// abort ends every execution at an incarnation that is gone.
func (a *agentProcess) abort(id ident.Incarnation) {
	for _, x := range slices.Clone(a.running) {
		if x.spec.Agent == id {
			x.stop()
		}
	}
}
