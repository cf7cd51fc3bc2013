package model

import (
	"slices"
	"time"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/routing"
)

// readInterval is how often an entry reads the platform.
const readInterval = 500 * time.Millisecond

// readTimeout is the time after which the answer to a read is ignored.
const readTimeout = 800 * time.Millisecond

// entryProcess is one incarnation of an entry: its routing core and what the
// entry process does around it.
type entryProcess struct {
	*process
	core           *routing.Routing
	granter        *permit.Granter
	placement      *placement.Placement
	peers          []peer
	lastID         ident.RequestID
	answerHandlers map[ident.RequestID]func(routing.Action)
	calls          map[ident.RequestID]*call
}

func newEntryProcess(c *Cluster, address int) *entryProcess {
	p := &process{cluster: c, address: address, incarnation: c.newIncarnation(), startedAt: c.queue.Now()}
	e := &entryProcess{
		process:        p,
		core:           routing.New(routing.DefaultConfig()),
		granter:        permit.NewGranter(),
		answerHandlers: make(map[ident.RequestID]func(routing.Action)),
		calls:          make(map[ident.RequestID]*call),
	}
	if !c.mutated(MutationNoTicks) {
		e.every(tickInterval, func() { e.step(routing.Tick{}) })
	}
	e.every(readInterval, e.read)
	return e
}

func (e *entryProcess) base() *process { return e.process }

func setGatePermit(p permit.Permit) gate.SetPermit { return gate.SetPermit{Permit: p} }

// read reads the newest state from the platform. The answer is lost in an
// outage of the platform or if the connection is cut, and it may be late.
func (e *entryProcess) read() {
	c := e.cluster
	started := e.now()
	if c.platform.down || c.isCut(e.address, platformAddress) {
		return
	}
	c.after(c.delay(), func() {
		if c.platform.down || c.isCut(platformAddress, e.address) {
			return
		}
		s := c.platform.snapshot()
		e.after(c.delay(), func() { e.installSnapshot(started, s) })
	})
}

// installSnapshot processes the answer to a read that was started at the given
// time. The confirmation counts from that time, since the state may have
// changed after the platform answered.
func (e *entryProcess) installSnapshot(started time.Duration, s snapshot) {
	if e.now()-started > readTimeout {
		return
	}
	e.granter.Install(s.state, s.view, currentMembers(s.placement))
	e.granter.ConfirmRead(permit.Confirmation{State: s.state, ReadAt: started})
	if e.placement == nil || s.placement.Epoch > e.placement.Epoch {
		e.placement = s.placement
		e.step(routing.SetPlacement{Placement: s.placement})
	}
}

func currentMembers(p *placement.Placement) []ident.Incarnation {
	var ids []ident.Incarnation
	for _, m := range p.Current() {
		ids = append(ids, m.Incarnation)
	}
	return ids
}

// request passes a caller's request to the routing core.
func (e *entryProcess) request(r routing.Request, answer func(routing.Action)) ident.RequestID {
	e.lastID++
	r.ID = e.lastID
	e.answerHandlers[r.ID] = answer
	e.step(r)
	return r.ID
}

// callerGone notifies the core that a caller disconnected.
func (e *entryProcess) callerGone(id ident.RequestID) {
	delete(e.answerHandlers, id)
	e.step(routing.CallerGone{ID: id})
	e.endCall(id)
}

func (e *entryProcess) step(ev routing.Event) {
	for _, action := range slices.Clone(e.core.Step(e.now(), ev)) {
		if e.cluster.log != nil {
			e.cluster.logf(string(e.incarnation), "routing action %T %+v on event %T %+v", action, action, ev, ev)
		}
		e.perform(action)
	}
}

func (e *entryProcess) perform(action routing.Action) {
	switch action := action.(type) {
	case routing.Call:
		e.spawn(func() { e.call(action) })
	case routing.Reply:
		e.answer(action.ID, action)
	case routing.ReplyState:
		e.answer(action.ID, action)
	}
}

func (e *entryProcess) answer(id ident.RequestID, action routing.Action) {
	e.endCall(id)
	f := e.answerHandlers[id]
	delete(e.answerHandlers, id)
	if f != nil {
		f(action)
	}
}

func (e *entryProcess) endCall(id ident.RequestID) {
	if k := e.calls[id]; k != nil {
		k.done()
		delete(e.calls, id)
	}
}

// call makes one call to a home.
func (e *entryProcess) call(a routing.Call) {
	k := &call{from: e.process, to: addressOf(a.To.Address), expected: endpointID(a.To.Incarnation), timeout: max(a.ReplyDeadline-e.now(), time.Nanosecond)}
	left := max(0, a.Deadline-e.now())
	k.handle = func(to endpoint, send func(any)) func() { return to.(*agentProcess).serveCall(&a, left, send) }
	k.onAnswer = func(m any) {
		k.done()
		e.step(e.answerEvent(&a, m))
	}
	k.onEnd = func(err callError) { e.step(e.callFailedEvent(&a, err)) }
	e.calls[a.ID] = k
	k.start()
}

func (e *entryProcess) answerEvent(a *routing.Call, m any) routing.Event {
	switch m := m.(type) {
	case home.Redirect:
		return routing.Redirected{ID: a.ID, Call: a.Call, To: placement.Member{Incarnation: m.To.Incarnation, Address: m.To.Address}}
	case home.ReplyState:
		return routing.JobState{ID: a.ID, Call: a.Call, Total: m.Total, Started: m.Started, Finished: m.Finished}
	case home.Reply:
		return routing.Answered{ID: a.ID, Call: a.Call, Outcome: m.Outcome}
	}
	return routing.Answered{ID: a.ID, Call: a.Call, Outcome: job.Outcome{}}
}

func (e *entryProcess) callFailedEvent(a *routing.Call, err callError) routing.Event {
	sent := err == errMaybeSent || err == errTimeout
	if e.cluster.mutated(MutationSwitchHome) {
		sent = false
	}
	return routing.CallFailed{ID: a.ID, Call: a.Call, Sent: sent, Replaced: err == errReplaced}
}

// serveCall passes an entry's call to the home and sends back the home's
// answer. The returned function is called when the entry disconnects.
func (a *agentProcess) serveCall(r *routing.Call, left time.Duration, send func(any)) func() {
	id := a.nextID()
	a.replyHandlers[id] = func(m home.Action) { send(m) }
	a.homeStep(homeEvent(a, r, id, left))
	return func() {
		if _, open := a.replyHandlers[id]; open {
			delete(a.replyHandlers, id)
			a.homeStep(home.CallerGone{Request: id})
		}
	}
}

func homeEvent(a *agentProcess, r *routing.Call, id ident.RequestID, left time.Duration) home.Event {
	switch r.Op {
	case routing.OpCancel:
		return home.Cancel{Request: id, Key: r.Key}
	case routing.OpState, routing.OpWait:
		return home.Lookup{Request: id, Key: r.Key, Wait: r.Op == routing.OpWait}
	}
	spec := *r.Spec
	spec.Deadline = left
	return home.Submit{Request: id, Spec: &spec, Fresh: r.Fresh, Age: a.cluster.wallClock().Sub(r.FirstAttempt)}
}

// wallClock returns the time of day, which is the same in all processes.
func (c *Cluster) wallClock() time.Time { return time.Unix(0, 0).Add(c.queue.Now()) }
