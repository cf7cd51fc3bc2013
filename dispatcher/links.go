package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// links are the entry's connections: a session with each agent, and the other
// entries.
type links struct {
	dispatcher *Dispatcher
	peerClient *http.Client

	mu sync.Mutex
	// agents and peers are by address.
	agents map[string]*agentLink
	peers  map[string]directory.Member
	// sessions are the open ones, by the agent's incarnation. The duty owns them.
	sessions map[ident.Incarnation]*link.Session
}

func newLinks(d *Dispatcher) *links {
	return &links{
		dispatcher: d,
		peerClient: rpc.NewClient(),
		agents:     map[string]*agentLink{},
		peers:      map[string]directory.Member{},
		sessions:   map[ident.Incarnation]*link.Session{},
	}
}

// agentLink keeps a session with the agent at one address.
type agentLink struct {
	links   *links
	address string
	cancel  context.CancelFunc
	wake    chan struct{}

	mu          sync.Mutex
	incarnation ident.Incarnation
	seen        uint64 // results of the incarnation that were taken note of
	beat        uint64
	sent        [sentBeats]time.Duration
	passed      uint64 // version that was passed on in this session
}

// sentBeats is how many heartbeats' times are remembered: more than are sent
// before a silent session ends.
const sentBeats = 16

// Pauses between attempts to open a session.
const (
	firstRedial = 40 * time.Millisecond
	lastRedial  = 1 * time.Second
)

// learnMember takes a process into the entry's connections.
func (l *links) learnMember(m directory.Member) {
	if m.Address == l.dispatcher.cfg.Self.Address {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Role == directory.Entry {
		l.peers[m.Address] = m
		return
	}
	if a := l.agents[m.Address]; a != nil {
		a.hurry()
		return
	}
	ctx, cancel := context.WithCancel(l.dispatcher.base)
	a := &agentLink{links: l, address: m.Address, cancel: cancel, wake: make(chan struct{}, 1)}
	l.agents[m.Address] = a
	go a.run(ctx)
}

// members returns the processes that the entry knows, itself included.
func (l *links) members() []directory.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := []directory.Member{l.dispatcher.cfg.Self}
	for _, p := range l.peers {
		list = append(list, p)
	}
	for address, a := range l.agents {
		list = append(list, directory.Member{Role: directory.Agent, Address: address, Incarnation: a.name()})
	}
	return list
}

func (a *agentLink) name() ident.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation
}

// hurry ends the pause before the next attempt.
func (a *agentLink) hurry() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run opens one session after the other.
func (a *agentLink) run(ctx context.Context) {
	wait := firstRedial
	for ctx.Err() == nil {
		opened := clock.Now()
		err := a.session(ctx)
		if clock.Now()-opened > lastRedial {
			wait = firstRedial
		}
		a.links.dispatcher.cfg.Log.Debug("session ended", telemetry.Why(a.address), telemetry.Err(err))
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-time.After(wait):
		}
		wait = min(2*wait, lastRedial)
	}
}

// received is a message of an agent, on its way to the duty.
type received struct {
	link    *agentLink
	session *link.Session
	message *linkpb.FromAgent
	asked   time.Duration
	// ended is set instead of a message when the session is over.
	ended error
}

func (a *agentLink) session(ctx context.Context) error {
	d := a.links.dispatcher
	terms := d.cfg.Terms
	asked := clock.Now()
	a.mu.Lock()
	hello := &linkpb.Hello{Entry: string(d.cfg.Self.Incarnation), Agent: string(a.incarnation), ResultsSeen: a.seen}
	a.passed = 0
	a.mu.Unlock()
	var open *link.Session
	err := link.Run(ctx, a.address, hello, link.Times{Beat: terms.Beat, Silence: silentBeats * terms.Beat}, link.Handlers{
		Received: func(s *link.Session, m *linkpb.FromAgent) {
			open = s
			d.put(received{link: a, session: s, message: m, asked: asked})
		},
		Beat: a.heartbeat,
	})
	if open != nil {
		d.put(received{link: a, session: open, ended: err})
	}
	return err
}

// silentBeats is after how many heartbeats without a word a session is closed.
const silentBeats = 3

// heartbeat returns the next heartbeat, with operators' rows that the agent lacks.
func (a *agentLink) heartbeat() *linkpb.Heartbeat {
	rows, age, known := a.links.dispatcher.view.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.beat++
	a.sent[a.beat%sentBeats] = clock.Now()
	b := &linkpb.Heartbeat{Number: a.beat, ResultsSeen: a.seen}
	if !known {
		return b
	}
	b.OperatorAgeMs = age.Milliseconds()
	b.Operator = &linkpb.OperatorRows{Version: rows.Version}
	if a.passed != rows.Version {
		full, err := link.OperatorMessage(&rows)
		if err != nil {
			a.links.dispatcher.cfg.Log.Error("operators' rows can't be passed on", telemetry.Err(err))
			return b
		}
		b.Operator = full
		a.passed = rows.Version
		return b
	}
	for _, domain := range rows.Withdrawn {
		b.Operator.WithdrawnDomains = append(b.Operator.WithdrawnDomains, string(domain))
	}
	return b
}

// sentAt returns when a heartbeat was sent, 0 if it is too old to know.
func (a *agentLink) sentAt(number uint64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if number == 0 || number > a.beat || a.beat-number >= sentBeats {
		return 0
	}
	return a.sent[number%sentBeats]
}

// received gives a message of an agent to the core. Results come before the room
// that they have changed.
func (d *Dispatcher) received(e received) {
	a, m := e.link, e.message
	if e.ended != nil {
		d.sessionEnded(e)
		return
	}
	if w := m.GetWelcome(); w != nil {
		a.welcome(ident.Incarnation(w.GetAgent()))
	}
	agent := a.name()
	for _, r := range m.GetResults() {
		d.result(a, agent, r)
	}
	if w := m.GetWelcome(); w != nil {
		d.links.sessions[agent] = e.session
		d.step(schedule.AgentAttached{
			Agent: agent, Address: a.address, Domain: ident.FailureDomain(w.GetDomain()),
			Held: link.RunsOf(w.GetHeld()), Asked: e.asked,
		})
	}
	if d.links.sessions[agent] != e.session {
		return
	}
	if sent := a.sentAt(m.GetHeartbeat()); sent > 0 {
		d.step(schedule.AgentHeard{Agent: agent, Sent: sent})
	}
	if r := m.GetRoom(); r != nil {
		d.step(schedule.AgentRoom{
			Agent: agent, Server: link.ServerOf(r), Used: link.DemandOf(r.GetUsed()),
			Queued: link.QueuedOf(r), Taken: m.GetTaken(), Pace: r.GetPace(),
		})
	}
	for _, k := range m.GetStalled() {
		d.step(schedule.RunStalled{Agent: agent, Run: link.RunOf(k)})
	}
	if o := m.GetOperator(); o != nil {
		d.operatorOf(agent, o)
	}
}

// welcome notes which incarnation has answered.
func (a *agentLink) welcome(agent ident.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.incarnation != agent {
		a.incarnation = agent
		a.seen = 0
	}
}

func (d *Dispatcher) sessionEnded(e received) {
	agent := e.link.name()
	if d.links.sessions[agent] != e.session {
		return
	}
	delete(d.links.sessions, agent)
	d.step(schedule.AgentDetached{Agent: agent, Reason: e.ended.Error()})
}

func (d *Dispatcher) result(a *agentLink, agent ident.Incarnation, r *linkpb.Result) {
	a.mu.Lock()
	known := r.GetSequence() <= a.seen
	a.seen = max(a.seen, r.GetSequence())
	a.mu.Unlock()
	if known {
		return
	}
	outcome, err := link.OutcomeOf(r.GetOutcome())
	if err != nil {
		d.cfg.Log.Error("result of an agent not readable", telemetry.Peer(agent), telemetry.Err(err))
		return
	}
	d.step(schedule.RunEnded{
		Agent: agent, Run: link.RunOf(r.GetTask()), Outcome: outcome,
		Ran: link.Millis(r.GetRanMs()), Reason: r.GetReason(),
	})
}

// operatorOf takes operators' rows that an agent has read while this entry can't.
func (d *Dispatcher) operatorOf(agent ident.Incarnation, o *linkpb.OperatorRows) {
	rows, err := link.OperatorOf(o)
	if err != nil {
		d.cfg.Log.Warn("operators' rows of an agent not readable", telemetry.Peer(agent), telemetry.Err(err))
		return
	}
	// When the agent's read was confirmed isn't told, so it counts as old.
	go d.learn(rows, 0, "agent")
}

func (l *links) offers(a schedule.SendOffers) {
	s := l.sessions[a.Agent]
	if s == nil {
		return // the core takes the offer back when the session is opened again
	}
	o := &linkpb.Offer{Job: string(a.Job), Spec: a.Spec, Service: string(a.Service), Priority: int32(a.Priority)}
	for _, t := range a.Tasks {
		o.Tasks = append(o.Tasks, &linkpb.OfferedTask{
			Step: uint32(t.Run.Task.Step), Index: uint32(t.Run.Task.Index),
			Run: uint32(t.Run.ID), Demand: link.DemandMessage(t.Demand), ExpectedMs: t.Expected.Milliseconds(),
		})
	}
	l.dispatcher.cfg.Log.Info("tasks offered", telemetry.Request(string(a.Job)), telemetry.Peer(a.Agent), telemetry.Count(len(a.Tasks)))
	s.Send(&linkpb.ToAgent{Sequence: a.Sequence, Offers: []*linkpb.Offer{o}})
}

func (l *links) stops(a schedule.SendStops) {
	if s := l.sessions[a.Agent]; s != nil {
		s.Send(&linkpb.ToAgent{Stops: link.KeysOf(a.Runs)})
	}
}

// peerTimeout bounds calls between entries; they answer from memory.
const peerTimeout = 400 * time.Millisecond

func (l *links) eachPeer(ctx context.Context, call func(context.Context, linkpbconnect.EntryPeerClient)) {
	l.mu.Lock()
	var addresses []string
	for address := range l.peers {
		addresses = append(addresses, address)
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, address := range addresses {
		wait.Go(func() { call(ctx, l.peer(address)) })
	}
	wait.Wait()
}

func (l *links) peer(address string) linkpbconnect.EntryPeerClient {
	return linkpbconnect.NewEntryPeerClient(l.peerClient, "http://"+address, rpc.ClientOptions())
}

// cancelElsewhere asks the other entries to end a job.
func (l *links) cancelElsewhere(ctx context.Context, id work.JobID) bool {
	var mu sync.Mutex
	found := false
	l.eachPeer(ctx, func(ctx context.Context, peer linkpbconnect.EntryPeerClient) {
		res, err := peer.Cancel(ctx, connect.NewRequest(&linkpb.CancelRequest{Job: string(id)}))
		if err != nil {
			l.dispatcher.cfg.Log.Warn("peer doesn't answer", telemetry.Request(string(id)), telemetry.Err(err))
			return
		}
		mu.Lock()
		defer mu.Unlock()
		found = found || res.Msg.GetFound()
	})
	return found
}

// askOperator asks the other entries for operators' rows.
func (l *links) askOperator(ctx context.Context) {
	d := l.dispatcher
	rows, _, _ := d.view.current()
	l.eachPeer(ctx, func(ctx context.Context, peer linkpbconnect.EntryPeerClient) {
		asked := clock.Now()
		res, err := peer.Operator(ctx, connect.NewRequest(&linkpb.OperatorRequest{Version: rows.Version}))
		if err != nil {
			d.cfg.Log.Debug("peer doesn't answer", telemetry.Err(err))
			return
		}
		if res.Msg.GetRows().GetVersion() == 0 {
			return
		}
		got, err := link.OperatorOf(res.Msg.GetRows())
		if err != nil {
			d.cfg.Log.Warn("operators' rows of a peer not readable", telemetry.Err(err))
			return
		}
		d.learn(got, asked-link.Millis(res.Msg.GetAgeMs()), "peer")
	})
}

// announceEvery is the pause between announcements to the seeds while no other
// process is known.
const announceEvery = time.Second

// followMembers keeps the connections as new as the table of members.
func (d *Dispatcher) followMembers(ctx context.Context) {
	go d.announce(ctx)
	reach := reachability{log: d.cfg.Log, name: "store: members"}
	for ctx.Err() == nil {
		page, err := d.cfg.Members.List(ctx)
		if reach.note(err); err != nil {
			pause.For(ctx, storeRetry)
			continue
		}
		d.takeMembers(page)
		for err == nil && ctx.Err() == nil {
			var next directory.Page
			next, err = d.cfg.Members.Changes(ctx, page.Version)
			if err == nil {
				d.takeMembers(next)
				page.Version = max(page.Version, next.Version)
			}
		}
	}
}

func (d *Dispatcher) takeMembers(page directory.Page) {
	for _, row := range page.Rows {
		if row.Deleted {
			continue
		}
		m, err := directory.Decode(row.Value)
		if err != nil {
			d.cfg.Log.Warn("row of a member not readable", telemetry.Why(row.Key), telemetry.Err(err))
			continue
		}
		d.links.learnMember(m)
	}
}

// announce writes the entry's row, and tells the seeds of the entry while it
// knows no agent, for the case that the store can't be reached.
func (d *Dispatcher) announce(ctx context.Context) {
	registrar := directory.Registrar{Self: d.cfg.Self, Table: d.cfg.Members, Log: d.cfg.Log}
	go registrar.Run(ctx)
	for ctx.Err() == nil {
		if d.stats.Load().Agents == 0 {
			d.announceToSeeds(ctx)
		}
		pause.For(ctx, announceEvery)
	}
}

func (d *Dispatcher) announceToSeeds(ctx context.Context) {
	members, _ := link.Announce(ctx, d.links.peerClient, d.cfg.Seeds, d.cfg.Self)
	for _, m := range members {
		d.links.learnMember(m)
	}
}

// Peer serves the calls of other entries and of agents.
type Peer struct{ Dispatcher *Dispatcher }

// Announce implements the protocol's service.
func (p Peer) Announce(_ context.Context, req *connect.Request[linkpb.AnnounceRequest]) (*connect.Response[linkpb.AnnounceResponse], error) {
	d := p.Dispatcher
	d.links.learnMember(link.MemberOf(req.Msg.GetMember()))
	if !req.Msg.GetRelayed() {
		relayed := &linkpb.AnnounceRequest{Member: req.Msg.GetMember(), Relayed: true}
		go d.links.eachPeer(d.base, func(ctx context.Context, peer linkpbconnect.EntryPeerClient) {
			if _, err := peer.Announce(ctx, connect.NewRequest(relayed)); err != nil {
				d.cfg.Log.Debug("peer doesn't answer", telemetry.Err(err))
			}
		})
	}
	res := &linkpb.AnnounceResponse{}
	for _, m := range d.links.members() {
		res.Members = append(res.Members, link.MemberMessage(&m))
	}
	return connect.NewResponse(res), nil
}

// Cancel implements the protocol's service.
func (p Peer) Cancel(_ context.Context, req *connect.Request[linkpb.CancelRequest]) (*connect.Response[linkpb.CancelResponse], error) {
	found := p.Dispatcher.cancelHere(work.JobID(req.Msg.GetJob()))
	return connect.NewResponse(&linkpb.CancelResponse{Found: found}), nil
}

// Operator implements the protocol's service.
func (p Peer) Operator(_ context.Context, req *connect.Request[linkpb.OperatorRequest]) (*connect.Response[linkpb.OperatorResponse], error) {
	rows, age, known := p.Dispatcher.view.current()
	res := &linkpb.OperatorResponse{AgeMs: age.Milliseconds()}
	if !known || rows.Version < req.Msg.GetVersion() {
		return connect.NewResponse(res), nil
	}
	full, err := link.OperatorMessage(&rows)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	res.Rows = full
	return connect.NewResponse(res), nil
}
