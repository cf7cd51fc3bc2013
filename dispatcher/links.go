package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/session"
	"foxtaildock.example/dock/subset"
	"foxtaildock.example/dock/telemetry"
)

// links are the entry's connections: a session with each agent of its subset, and the
// other entries.
type links struct {
	dispatcher *Dispatcher
	peerClient *http.Client
	// claimCalls is the client for claims.
	claimCalls *http.Client
	// peerClients and claimPeers hold a linkpbconnect.EntryPeerClient for each address.
	peerClients, claimPeers sync.Map

	mu sync.Mutex
	// known holds all agents and chooses the subset; agents holds those that are used,
	// by address, and peers the other entries.
	known  *subset.Chooser
	agents map[string]*agentLink
	peers  peerSet
	// changed has an element if the subset may have to be chosen anew.
	changed chan struct{}
	// sessions are the open sessions by the agent's incarnation, owned by the core
	// goroutine.
	sessions map[ident.Incarnation]*link.Session
	// waiting is the work that waits at the entry, for the next heartbeats.
	waiting atomic.Pointer[[]run.WaitingWork]
	// waitingAt is when waiting was updated last. The core goroutine owns it.
	waitingAt time.Duration
}

// updateWaiting updates the work that heartbeats name, at most once per tick.
func (l *links) updateWaiting(now time.Duration) {
	if now-l.waitingAt < tick {
		return
	}
	l.waitingAt = now
	waiting := l.dispatcher.core.Waiting()
	l.waiting.Store(&waiting)
	l.dispatcher.cfg.Metrics.setFleet(l.dispatcher.core.FleetFigures())
}

func newLinks(d *Dispatcher) *links {
	return &links{
		dispatcher: d,
		peerClient: rpc.NewClient(),
		claimCalls: rpc.NewShortCallClient(),
		known:      subset.New(subset.Config{Self: d.cfg.Self.Address, Domain: d.cfg.Self.Domain, Max: d.cfg.MaxSessions}),
		changed:    make(chan struct{}, 1),
		agents:     map[string]*agentLink{},
		peers:      peerSet{byAddress: map[string]*peer{}},
		sessions:   map[ident.Incarnation]*link.Session{},
	}
}

// agentLink maintains a session with the agent at one address.
type agentLink struct {
	links   *links
	address string
	wake    chan struct{}
	// close ends the link, and openedAt is when it was opened.
	close    context.CancelFunc
	openedAt time.Duration
	// pinned is true if the agent itself has asked for the session. It stays so until
	// the session ends.
	pinned atomic.Bool
	// released is true once the link is no longer part of the subset. The core goroutine
	// owns it.
	released bool
	// lastSeen is clock.Now when the agent last showed that it exists: by a message, a
	// row in the table of members, or an announcement.
	lastSeen atomic.Int64

	mu  sync.Mutex
	end session.EntryEnd
	// wantsRows asks the agent for the operators' rows with the next heartbeat.
	wantsRows bool
}

// Backoff between attempts to open a session.
const (
	minRedialDelay = 40 * time.Millisecond
	maxRedialDelay = 1 * time.Second
)

func (a *agentLink) incarnation() ident.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end.Agent()
}

// agentExpiry is how long an agent may be unreachable before its address is no longer
// dialled: many times the length of a restart or a network partition. An agent that
// comes back writes its row and announces itself.
const agentExpiry = 5 * time.Minute

// expired reports whether the agent has been unreachable for longer than agentExpiry.
func (a *agentLink) expired(now time.Duration) bool {
	return now-time.Duration(a.lastSeen.Load()) > agentExpiry
}

// markSeen records that the agent exists now.
func (a *agentLink) markSeen() { a.lastSeen.Store(int64(clock.Now())) }

// redialNow ends the backoff before the next attempt.
func (a *agentLink) redialNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run opens one session after another until the link is released or the agent has
// expired.
func (a *agentLink) run(ctx context.Context) {
	defer a.close()
	backoff := minRedialDelay
	for ctx.Err() == nil {
		opened := clock.Now()
		err := a.session(ctx)
		a.pinned.Store(false)
		if clock.Now()-opened > maxRedialDelay {
			backoff = minRedialDelay
		}
		a.links.dispatcher.cfg.Log.Debug("session ended", telemetry.ReasonText(a.address), telemetry.Err(err))
		if a.links.removeIfExpired(a, clock.Now()) {
			return
		}
		select {
		case <-ctx.Done():
		case <-a.wake:
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxRedialDelay)
	}
}

// agentMessage is the event of a message from an agent or of the end of its session.
type agentMessage struct {
	link        *agentLink
	session     *link.Session
	message     *linkpb.FromAgent
	requestedAt time.Duration
	// ended is set instead of a message when the session has ended.
	ended error
}

func (a *agentLink) session(ctx context.Context) error {
	d := a.links.dispatcher
	terms := d.cfg.Terms
	requestedAt := clock.Now()
	a.mu.Lock()
	start := a.end.Open()
	a.mu.Unlock()
	hello := &linkpb.Hello{
		Entry: string(d.cfg.Self.Incarnation), Domain: string(d.cfg.Self.Domain),
		Agent: string(start.Agent), ResultsSeen: start.ResultsSeen,
	}
	var open *link.Session
	err := link.Run(ctx, a.address, hello, link.Times{HeartbeatInterval: terms.HeartbeatInterval, SilenceTimeout: sessionTimeoutHeartbeats * terms.HeartbeatInterval}, link.Handlers{
		Received: func(s *link.Session, m *linkpb.FromAgent) {
			open = s
			a.markSeen()
			d.enqueue(agentMessage{link: a, session: s, message: m, requestedAt: requestedAt})
		},
		NextHeartbeat: a.heartbeat,
	})
	if open != nil {
		d.enqueue(agentMessage{link: a, session: open, ended: err})
	}
	return err
}

// sessionTimeoutHeartbeats is the number of heartbeat intervals without a message after
// which a session is closed.
const sessionTimeoutHeartbeats = 3

// heartbeat returns the next heartbeat, with the operators' rows that agents need: the
// withdrawn failure domains, but not the manifest.
func (a *agentLink) heartbeat() *linkpb.Heartbeat {
	rows, age, known := a.links.dispatcher.view.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	beat := a.end.NextHeartbeat(clock.Now())
	b := &linkpb.Heartbeat{
		Number: beat.Number, ResultsSeen: beat.ResultsSeen, AgentClockMs: beat.AgentClock.Milliseconds(),
		WantsOperator: a.wantsRows,
	}
	a.wantsRows = false
	if waiting := a.links.waiting.Load(); waiting != nil {
		b.Waiting = link.WaitingMessages(*waiting)
	}
	if known {
		b.OperatorAgeMs = age.Milliseconds()
		b.Operator = link.WithdrawnMessage(&rows)
	}
	return b
}

// sentAt returns when a heartbeat was sent, 0 if it is too old.
func (a *agentLink) sentAt(number uint64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end.SentAt(number)
}

// handleAgentMessage passes a message of an agent to the core. Results are passed before
// the room report, which already includes their effect.
func (d *Dispatcher) handleAgentMessage(e agentMessage) {
	a, m := e.link, e.message
	if a.released {
		return
	}
	if e.ended != nil {
		d.sessionEnded(e)
		return
	}
	if w := m.GetWelcome(); w != nil {
		a.welcome(ident.Incarnation(w.GetAgent()))
	}
	agent := a.incarnation()
	for _, r := range m.GetResults() {
		d.handleResult(a, agent, r)
	}
	if m.GetWelcome() != nil {
		d.links.sessions[agent] = e.session
	}
	if d.links.sessions[agent] != e.session {
		return
	}
	a.markProcessed(m)
	if w := m.GetWelcome(); w != nil {
		// The first heartbeat is sent before offers, since their runs need its lease.
		e.session.Send(&linkpb.ToAgent{Heartbeat: a.heartbeat()})
		d.step(schedule.AgentAttached{
			Agent: agent, Address: a.address,
			Held: link.RunsOf(w.GetHeld()), RequestedAt: e.requestedAt,
		})
	}
	received := schedule.AgentMessageReceived{Agent: agent, AckedHeartbeatSentAt: a.sentAt(m.GetHeartbeat())}
	if m.GetRoom() == nil {
		received.LastOfferIncluded = m.GetTaken()
	}
	d.step(received)
	if r := m.GetRoom(); r != nil {
		if !link.ValidRemaining(r) {
			d.cfg.Log.Warn("invalid remaining time of a backend server", telemetry.Peer(agent), telemetry.Backend(r.GetIncarnation()))
		}
		speed, err := link.SpeedOf(r)
		if err != nil {
			d.cfg.Log.Warn("speed in an agent's message ignored", telemetry.Peer(agent), telemetry.Err(err))
		}
		d.step(schedule.AgentRoomReported{
			Agent: agent, Server: link.ServerOf(r), Used: link.DemandOf(r.GetUsed()),
			Queued: link.QueuedOf(r), LastOfferIncluded: m.GetTaken(), Pace: r.GetPace(), Speed: speed,
		})
	}
	if m.GetLoad() != nil {
		d.handleLoad(agent, m.GetLoad())
	}
	for _, k := range m.GetStalled() {
		d.step(schedule.RunStalled{Agent: agent, Run: link.RunOf(k)})
	}
	if o := m.GetOperator(); o != nil {
		d.setOperatorRowsFromAgent(agent, o)
	}
	d.requestNewerRows(a, m.GetOperatorVersion())
}

// handleLoad passes the load of an agent to the core, unless a figure can't be right.
func (d *Dispatcher) handleLoad(agent ident.Incarnation, m *linkpb.Load) {
	load, err := link.LoadOf(m)
	if err != nil {
		d.cfg.Log.Warn("invalid load from an agent", telemetry.Peer(agent), telemetry.Err(err))
		return
	}
	d.step(schedule.AgentLoadReported{Agent: agent, Load: load})
}

// welcome records which incarnation of the agent answered.
func (a *agentLink) welcome(agent ident.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end.Welcome(agent)
}

// markProcessed records that everything that arrived before the message has been
// processed. Only the core goroutine calls it. The next heartbeats renew the lease from
// the time of the message.
func (a *agentLink) markProcessed(m *linkpb.FromAgent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end.Processed(link.Millis(m.GetClockMs()))
}

func (d *Dispatcher) sessionEnded(e agentMessage) {
	agent := e.link.incarnation()
	if d.links.sessions[agent] != e.session {
		return
	}
	delete(d.links.sessions, agent)
	d.step(schedule.AgentDetached{Agent: agent, Reason: e.ended.Error()})
}

func (d *Dispatcher) handleResult(a *agentLink, agent ident.Incarnation, r *linkpb.Result) {
	a.mu.Lock()
	isNew := a.end.AcceptResult(r.GetSequence())
	a.mu.Unlock()
	if !isNew {
		return
	}
	if link.CrashedElsewhere(r) {
		d.step(schedule.RunCrashedElsewhere{Agent: agent, Run: link.RunOf(r.GetTask())})
		return
	}
	outcome, err := link.OutcomeOf(r.GetOutcome())
	if err != nil {
		d.cfg.Log.Error("invalid result from an agent", telemetry.Peer(agent), telemetry.Err(err))
		return
	}
	d.step(schedule.RunEnded{
		Agent: agent, Run: link.RunOf(r.GetTask()), Outcome: outcome,
		Ran: link.Millis(r.GetRanMs()), Reason: r.GetReason(),
	})
}

func (l *links) sendOffers(a schedule.SendOffers) {
	s := l.sessions[a.Agent]
	if s == nil {
		return // the core ends these runs as not started when the session is opened again
	}
	o := &linkpb.Offer{Job: string(a.Job), Spec: a.Spec, Service: string(a.Service), Priority: int32(a.Priority), Route: a.Route, Incarnation: a.Server}
	for _, t := range a.Tasks {
		o.Tasks = append(o.Tasks, &linkpb.OfferedTask{
			Step: uint32(t.Run.Task.Step), Index: uint32(t.Run.Task.Index),
			Run: uint32(t.Run.ID), Demand: link.DemandMessage(t.Demand), ExpectedMs: t.Expected.Milliseconds(),
			SlackMs: t.Slack.Milliseconds(), DeclaredMs: t.Estimate.Milliseconds(),
		})
	}
	l.dispatcher.cfg.Log.Info("tasks offered", telemetry.JobID(string(a.Job)), telemetry.Peer(a.Agent), telemetry.Count(len(a.Tasks)))
	s.Send(&linkpb.ToAgent{Sequence: a.Sequence, Offers: []*linkpb.Offer{o}})
}

func (l *links) sendStops(a schedule.SendStops) {
	if s := l.sessions[a.Agent]; s != nil {
		s.Send(&linkpb.ToAgent{Stops: link.KeysOf(a.Runs)})
	}
}
