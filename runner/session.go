package runner

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/session"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// entrySession is the agent's end of the session with one entry. The event loop owns
// it, except for the channels out and closed.
type entrySession struct {
	entry ident.Incarnation
	hello *linkpb.Hello
	out   chan *linkpb.FromAgent
	// closed ends the handler of the session.
	closed chan struct{}
	ended  bool
	// endedAt is when the session ended, by package clock.
	endedAt time.Duration
	// results holds the results that the entry hasn't acknowledged yet.
	results session.Outbox[run.Report]
	// processed is the sequence of the entry's last message that was processed.
	processed uint64
	// renewedBy is the number of the newest heartbeat with which the entry had a lease.
	renewedBy uint64
	// heartbeatReceived is true until the heartbeat is answered.
	heartbeatReceived bool
	// waitingKnown is true if the entry's last heartbeat named waiting work.
	waitingKnown bool
	// pending is the next message to the entry, nil if there is nothing to send.
	pending *linkpb.FromAgent
	// lastRoom is the room that was sent last, if roomSent is true.
	lastRoom run.Room
	roomSent bool
	sentAt   time.Duration
	// wantsRows is true if the entry has asked for the operators' rows with the
	// manifest, and they have not been sent yet.
	wantsRows bool
}

// outQueueSize is the maximum number of messages that wait to be sent to one entry. The
// session of an entry that falls behind by more is closed, and it opens a new one.
const outQueueSize = 1024

// Attach serves the session of one entry until it ends. It implements the service
// AgentLink of the protocol. A session without the entry's name in its first message is
// refused with CodeInvalidArgument.
func (r *Runner) Attach(ctx context.Context, stream *connect.BidiStream[linkpb.ToAgent, linkpb.FromAgent]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello.GetEntry() == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("a session begins with the entry's name"))
	}
	s := &entrySession{
		entry: ident.Incarnation(hello.GetEntry()), hello: hello,
		out: make(chan *linkpb.FromAgent, outQueueSize), closed: make(chan struct{}),
	}
	r.enqueue(attachEvent{s})
	defer r.enqueue(detachEvent{s})
	go r.receive(s, stream)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.closed:
			return nil
		case m := <-s.out:
			if err := stream.Send(m); err != nil {
				return err
			}
		}
	}
}

// receive queues the entry's messages for the event loop until the stream ends.
func (r *Runner) receive(s *entrySession, stream *connect.BidiStream[linkpb.ToAgent, linkpb.FromAgent]) {
	for {
		m, err := stream.Receive()
		if err != nil {
			r.enqueue(detachEvent{s})
			return
		}
		r.enqueue(messageEvent{s, m})
	}
}

// attach opens a session. A later session of the same entry replaces an earlier one and
// takes over the results that the entry hasn't acknowledged.
func (r *Runner) attach(s *entrySession) {
	if old := r.sessions[s.entry]; old != nil {
		r.end(old)
		s.results = old.results
	} else {
		r.tellNewEntry(s, clock.Now())
	}
	r.sessions[s.entry] = s
	r.countSessions()
	if s.hello.GetAgent() == string(r.cfg.Self) {
		s.results.Acknowledge(s.hello.GetResultsSeen())
	}
	s.pending = &linkpb.FromAgent{
		Welcome: &linkpb.Welcome{
			Agent: string(r.cfg.Self), Domain: string(r.cfg.Domain),
			Held: link.KeysOf(r.core.Held(s.entry)),
		},
	}
	for _, n := range s.results.Unacknowledged() {
		s.pending.Results = append(s.pending.Results, link.ResultMessage(n))
	}
	r.cfg.Log.Info("entry attached", telemetry.Peer(s.entry))
}

// countSessions updates the numbers of entries and of their failure domains that have
// an open session.
func (r *Runner) countSessions() {
	n := 0
	domains := map[string]bool{}
	for _, s := range r.sessions {
		if !s.ended {
			n++
			domains[s.hello.GetDomain()] = true
		}
	}
	r.attached.Store(int64(n))
	r.attachedDomains.Store(int64(len(domains)))
}

// end closes the session's stream. Its results are kept for the next one.
func (r *Runner) end(s *entrySession) {
	if !s.ended {
		s.ended = true
		s.endedAt = clock.Now()
		close(s.closed)
	}
}

func (r *Runner) detach(s *entrySession) {
	if s.ended {
		return
	}
	r.end(s)
	r.countSessions()
	r.cfg.Log.Info("entry detached", telemetry.Peer(s.entry))
}

// handleMessage processes one message of an entry.
func (r *Runner) handleMessage(e messageEvent) {
	s, m := e.session, e.message
	if s.ended || r.sessions[s.entry] != s {
		return // the session has ended or was replaced
	}
	if b := m.GetHeartbeat(); b != nil {
		r.handleHeartbeat(s, b)
	}
	for _, o := range m.GetOffers() {
		r.handleOffer(s, o)
	}
	for _, k := range m.GetStops() {
		r.step(run.StopRequested{Entry: s.entry, Run: link.RunOf(k)})
	}
	s.processed = max(s.processed, m.GetSequence())
}

func (r *Runner) handleHeartbeat(s *entrySession, b *linkpb.Heartbeat) {
	s.results.Acknowledge(b.GetResultsSeen())
	if b.GetAgentClockMs() > 0 {
		r.step(run.EntryHeartbeat{Entry: s.entry, AsOf: link.Millis(b.GetAgentClockMs())})
	}
	if r.core.HasLease(s.entry) {
		s.renewedBy = b.GetNumber()
	}
	s.heartbeatReceived = true
	r.handleWaiting(s, b.GetWaiting())
	s.pendingMessage() // so that the heartbeat is answered
	if b.GetWantsOperator() {
		s.wantsRows = true
		r.requestOwnRows()
	}
	if b.GetOperator() == nil {
		return
	}
	rows, err := link.OperatorOf(b.GetOperator())
	if err != nil {
		r.cfg.Log.Warn("invalid operators' rows from an entry", telemetry.Peer(s.entry), telemetry.Err(err))
		return
	}
	r.setOperatorRows(rows, clock.Now()-link.Millis(b.GetOperatorAgeMs()))
}

// handleWaiting passes the work that waits at an entry to the core. Figures that can't be right
// count as none.
func (r *Runner) handleWaiting(s *entrySession, list []*linkpb.WaitingWork) {
	waiting, err := link.WaitingOf(list)
	if err != nil {
		r.cfg.Log.Warn("invalid waiting work from an entry", telemetry.Peer(s.entry), telemetry.Err(err))
	}
	if len(waiting) > 0 || s.waitingKnown {
		r.step(run.WaitingReported{Entry: s.entry, Waiting: waiting})
	}
	s.waitingKnown = len(waiting) > 0
}

func (r *Runner) handleOffer(s *entrySession, o *linkpb.Offer) {
	for _, t := range o.GetTasks() {
		r.step(run.Offered{
			Entry: s.entry,
			Run: work.Run{
				Task: work.Task{Job: work.JobID(o.GetJob()), Step: int(t.GetStep()), Index: int(t.GetIndex())},
				ID:   work.RunID(t.GetRun()),
			},
			Spec: o.GetSpec(), Server: o.GetIncarnation(), Service: ident.Service(o.GetService()),
			Priority: work.Priority(o.GetPriority()), Demand: link.DemandOf(t.GetDemand()),
			Expected: link.Millis(t.GetExpectedMs()), Route: o.GetRoute(),
			Slack: link.Millis(t.GetSlackMs()), Estimate: link.Millis(t.GetDeclaredMs()),
		})
	}
}

// pendingMessage returns the next message to the entry, which is created if needed.
func (s *entrySession) pendingMessage() *linkpb.FromAgent {
	if s.pending == nil {
		s.pending = new(linkpb.FromAgent)
	}
	return s.pending
}

// report logs a result, adds it to the next message to its entry, and keeps it for later
// sessions until the entry has acknowledged it.
func (r *Runner) report(a run.Report) {
	r.cfg.Log.Info("run ended", telemetry.Run(a.Run.String()), telemetry.OutcomeText(a.Outcome.String()), telemetry.ReasonText(a.Reason), telemetry.Elapsed(a.Ran), telemetry.Peer(a.Entry), telemetry.Backend(a.Server))
	r.cfg.Metrics.observeRun(a)
	if s := r.sessions[a.Entry]; s != nil {
		s.addResult(a)
	}
	if a.Outcome == work.Lost && run.ServerWentDown(a.Reason) {
		r.tellOtherEntries(a, clock.Now())
	}
}

// addResult keeps a result for the entry and, while the session is open, adds it to the
// next message.
func (s *entrySession) addResult(a run.Report) {
	n := s.results.Add(a)
	if !s.ended {
		m := s.pendingMessage()
		m.Results = append(m.Results, link.ResultMessage(n))
	}
}

func (r *Runner) reportStalled(a run.ReportStalled) {
	r.cfg.Log.Warn("run shows no progress", telemetry.Run(a.Run.String()), telemetry.Peer(a.Entry))
	if s := r.sessions[a.Entry]; s != nil && !s.ended {
		m := s.pendingMessage()
		m.Stalled = append(m.Stalled, link.KeyOf(a.Run))
	}
}

// delivered reports whether all results were acknowledged, except by entries that are gone:
// one whose session has ended opens another while its lease lasts.
func (r *Runner) delivered(now time.Duration) bool {
	for _, s := range r.sessions {
		gone := s.ended && now-s.endedAt > r.cfg.Terms.Entry
		if !gone && len(s.results.Unacknowledged()) > 0 {
			return false
		}
	}
	return true
}

// flush sends each entry its pending message, or an update of the room. It returns true
// if an update is held back because of roomUpdateInterval.
func (r *Runner) flush() (roomPending bool) {
	now := clock.Now()
	room := r.core.Room()
	r.speedMilli.Store(int64(1000 * room.Speed.Value))
	for _, s := range r.sessions {
		if s.ended {
			continue
		}
		if s.pending == nil && s.lastRoom.Equal(&room) {
			continue
		}
		if s.pending == nil && now-s.sentAt < roomUpdateInterval {
			roomPending = true
			continue
		}
		r.send(s, room, now)
	}
	return roomPending
}

func (r *Runner) send(s *entrySession, room run.Room, now time.Duration) {
	m := s.pendingMessage()
	s.pending = nil
	m.Taken = s.processed
	m.Heartbeat = s.renewedBy
	m.ClockMs = now.Milliseconds()
	m.OperatorVersion = r.view.Rows().Version
	if s.heartbeatReceived {
		s.heartbeatReceived = false
		m.Load = link.LoadMessage(r.core.Load(now))
	}
	if !s.roomSent || !s.lastRoom.Equal(&room) {
		m.Room = link.RoomMessage(room)
	}
	if s.wantsRows && r.ownRowsAreNewest() {
		s.wantsRows = false
		rows, err := link.OperatorMessage(&r.ownRows)
		if err != nil {
			r.cfg.Log.Error("operators' rows can't be encoded for an entry", telemetry.Err(err))
		}
		m.Operator = rows
	}
	s.lastRoom, s.roomSent, s.sentAt = room, true, now
	select {
	case s.out <- m:
	default:
		r.cfg.Log.Warn("entry falls behind; session closed", telemetry.Peer(s.entry))
		r.detach(s)
	}
}
