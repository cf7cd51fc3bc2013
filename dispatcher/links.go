package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/session"
	"foxtaildock.example/dock/telemetry"
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
	wake    chan struct{}
	// told is the clock when the agent was last known to be there: by a session, a row
	// or an announcement.
	told atomic.Int64

	mu     sync.Mutex
	end    session.EntryEnd
	passed uint64 // version that was passed on in this session
}

// Pauses between attempts to open a session.
const (
	firstRedial = 40 * time.Millisecond
	lastRedial  = 1 * time.Second
)

func (a *agentLink) name() ident.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end.Agent()
}

// forgetAfter is how long a process may be out of reach until its address is no
// longer tried: many times what a restart or a cut takes. One that comes back writes
// its row and announces itself.
const forgetAfter = 5 * time.Minute

// lost reports whether the agent has been out of reach for long.
func (a *agentLink) lost(now time.Duration) bool {
	return now-time.Duration(a.told.Load()) > forgetAfter
}

// present notes that the agent is there.
func (a *agentLink) present() { a.told.Store(int64(clock.Now())) }

// hurry ends the pause before the next attempt.
func (a *agentLink) hurry() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run opens one session after the other, until the agent is lost.
func (a *agentLink) run(ctx context.Context) {
	wait := firstRedial
	for ctx.Err() == nil {
		opened := clock.Now()
		err := a.session(ctx)
		if clock.Now()-opened > lastRedial {
			wait = firstRedial
		}
		a.links.dispatcher.cfg.Log.Debug("session ended", telemetry.Why(a.address), telemetry.Err(err))
		if a.links.forgetIfLost(a, clock.Now()) {
			return
		}
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
	opening := a.end.Open()
	a.passed = 0
	a.mu.Unlock()
	hello := &linkpb.Hello{Entry: string(d.cfg.Self.Incarnation), Agent: string(opening.Agent), ResultsSeen: opening.ResultsSeen}
	var open *link.Session
	err := link.Run(ctx, a.address, hello, link.Times{Beat: terms.Beat, Silence: lostBeats * terms.Beat}, link.Handlers{
		Received: func(s *link.Session, m *linkpb.FromAgent) {
			open = s
			a.present()
			d.put(received{link: a, session: s, message: m, asked: asked})
		},
		Beat: a.heartbeat,
	})
	if open != nil {
		d.put(received{link: a, session: open, ended: err})
	}
	return err
}

// lostBeats is after how many heartbeats without a word a session is closed.
const lostBeats = 3

// heartbeat returns the next heartbeat, with operators' rows that the agent lacks.
func (a *agentLink) heartbeat() *linkpb.Heartbeat {
	rows, age, known := a.links.dispatcher.view.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	beat := a.end.Beat(clock.Now())
	b := &linkpb.Heartbeat{Number: beat.Number, ResultsSeen: beat.ResultsSeen, AgentClockMs: beat.AgentClock.Milliseconds()}
	if !known {
		return b
	}
	if a.passed == rows.Version {
		rows.Manifest = nil // the agent has it
	}
	message, err := link.OperatorMessage(&rows)
	if err != nil {
		a.links.dispatcher.cfg.Log.Error("operators' rows can't be passed on", telemetry.Err(err))
		return b
	}
	b.OperatorAgeMs = age.Milliseconds()
	b.Operator = message
	a.passed = rows.Version
	return b
}

// sentAt returns when a heartbeat was sent, 0 if it is too old to know.
func (a *agentLink) sentAt(number uint64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end.SentAt(number)
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
	if m.GetWelcome() != nil {
		d.links.sessions[agent] = e.session
	}
	if d.links.sessions[agent] != e.session {
		return
	}
	a.worked(m)
	if w := m.GetWelcome(); w != nil {
		// The first heartbeat goes ahead of offers, which need its lease.
		e.session.Send(&linkpb.ToAgent{Heartbeat: a.heartbeat()})
		d.step(schedule.AgentAttached{
			Agent: agent, Address: a.address,
			Held: link.RunsOf(w.GetHeld()), Asked: e.asked,
		})
	}
	d.step(schedule.AgentHeard{Agent: agent, Taken: a.sentAt(m.GetHeartbeat())})
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
	a.end.Welcome(agent)
}

// worked notes that the duty, which alone calls it, has worked off what arrived
// before the message. The next heartbeats renew the lease from its time on.
func (a *agentLink) worked(m *linkpb.FromAgent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.end.Worked(link.Millis(m.GetClockMs()))
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
	fresh := a.end.TakeResult(r.GetSequence())
	a.mu.Unlock()
	if !fresh {
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
