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

// entrySession is the agent's end of the session with one entry. The duty owns it, but
// for out and closed.
type entrySession struct {
	entry ident.Incarnation
	hello *linkpb.Hello
	out   chan *linkpb.FromAgent
	// closed ends the handler of the session.
	closed chan struct{}
	ended  bool
	// results are those that the entry hasn't taken note of yet.
	results session.Outbox[run.Report]
	taken   uint64
	beat    uint64
	// pending is the message that is being put together.
	pending *linkpb.FromAgent
	room    run.Room
	roomed  bool
	sentAt  time.Duration
	version uint64
}

// outSize bounds the messages that wait for one entry. An entry that falls behind
// by more opens a new session.
const outSize = 1024

// Attach implements the protocol's service for entries.
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
		out: make(chan *linkpb.FromAgent, outSize), closed: make(chan struct{}),
	}
	r.put(attachEvent{s})
	defer r.put(detachEvent{s})
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

// receive hands the entry's messages to the duty until the stream ends.
func (r *Runner) receive(s *entrySession, stream *connect.BidiStream[linkpb.ToAgent, linkpb.FromAgent]) {
	for {
		m, err := stream.Receive()
		if err != nil {
			r.put(detachEvent{s})
			return
		}
		r.put(messageEvent{s, m})
	}
}

// attach opens a session. A later one of the same entry replaces an earlier one,
// and goes on with the results that the entry hasn't seen.
func (r *Runner) attach(s *entrySession) {
	if old := r.sessions[s.entry]; old != nil {
		r.end(old)
		s.results = old.results
	}
	r.sessions[s.entry] = s
	r.attached.Store(int64(r.live()))
	if s.hello.GetAgent() == string(r.cfg.Self) {
		s.results.Seen(s.hello.GetResultsSeen())
	}
	s.pending = &linkpb.FromAgent{
		Welcome: &linkpb.Welcome{
			Agent: string(r.cfg.Self), Domain: string(r.cfg.Domain),
			Held: link.KeysOf(r.core.Held(s.entry)),
		},
	}
	for _, n := range s.results.Kept() {
		s.pending.Results = append(s.pending.Results, link.ResultMessage(n))
	}
	r.cfg.Log.Info("entry attached", telemetry.Peer(s.entry))
}

func (r *Runner) live() int {
	n := 0
	for _, s := range r.sessions {
		if !s.ended {
			n++
		}
	}
	return n
}

// end closes the session's stream. Its results are kept for the next one.
func (r *Runner) end(s *entrySession) {
	if !s.ended {
		s.ended = true
		close(s.closed)
	}
}

func (r *Runner) detach(s *entrySession) {
	if s.ended {
		return
	}
	r.end(s)
	r.attached.Store(int64(r.live()))
	r.cfg.Log.Info("entry detached", telemetry.Peer(s.entry))
}

// message takes one message of an entry.
func (r *Runner) message(e messageEvent) {
	s, m := e.session, e.message
	if s.ended || r.sessions[s.entry] != s {
		return // of a session that another one has replaced
	}
	if b := m.GetHeartbeat(); b != nil {
		r.heartbeat(s, b)
	}
	for _, o := range m.GetOffers() {
		r.offers(s, o)
	}
	for _, k := range m.GetStops() {
		r.step(run.StopAsked{Entry: s.entry, Run: link.RunOf(k)})
	}
	s.taken = max(s.taken, m.GetSequence())
}

func (r *Runner) heartbeat(s *entrySession, b *linkpb.Heartbeat) {
	s.results.Seen(b.GetResultsSeen())
	s.beat = b.GetNumber()
	if b.GetAgentClockMs() > 0 {
		r.step(run.EntryHeard{Entry: s.entry, AsOf: link.Millis(b.GetAgentClockMs())})
	}
	s.message()
	if b.GetOperator() == nil {
		return
	}
	rows, err := link.OperatorOf(b.GetOperator())
	if err != nil {
		r.cfg.Log.Warn("operators' rows of an entry not readable", telemetry.Peer(s.entry), telemetry.Err(err))
		return
	}
	r.learn(rows, clock.Now()-link.Millis(b.GetOperatorAgeMs()))
}

func (r *Runner) offers(s *entrySession, o *linkpb.Offer) {
	for _, t := range o.GetTasks() {
		r.step(run.Offered{
			Entry: s.entry,
			Run: work.Run{
				Task: work.Task{Job: work.JobID(o.GetJob()), Step: int(t.GetStep()), Index: int(t.GetIndex())},
				ID:   work.RunID(t.GetRun()),
			},
			Spec: o.GetSpec(), Service: ident.Service(o.GetService()),
			Priority: work.Priority(o.GetPriority()), Demand: link.DemandOf(t.GetDemand()),
			Expected: link.Millis(t.GetExpectedMs()),
		})
	}
}

// message returns the message that is being put together for the entry.
func (s *entrySession) message() *linkpb.FromAgent {
	if s.pending == nil {
		s.pending = new(linkpb.FromAgent)
	}
	return s.pending
}

// report keeps a result for its entry until the entry has taken note of it.
func (r *Runner) report(a run.Report) {
	r.cfg.Log.Info("run ended", telemetry.Run(a.Run.String()), telemetry.Result(a.Outcome.String()), telemetry.Why(a.Reason), telemetry.Elapsed(a.Ran), telemetry.Peer(a.Entry))
	r.cfg.Metrics.ended(a.Outcome, a.Ran)
	s := r.sessions[a.Entry]
	if s == nil {
		return
	}
	n := s.results.Add(a)
	if !s.ended {
		m := s.message()
		m.Results = append(m.Results, link.ResultMessage(n))
	}
}

func (r *Runner) reportStalled(a run.ReportStalled) {
	r.cfg.Log.Warn("run shows no progress", telemetry.Run(a.Run.String()), telemetry.Peer(a.Entry))
	if s := r.sessions[a.Entry]; s != nil && !s.ended {
		m := s.message()
		m.Stalled = append(m.Stalled, link.KeyOf(a.Run))
	}
}

// flush sends each entry what it has to know. It returns true if an entry is
// still to be told of a change of the room.
func (r *Runner) flush() (behind bool) {
	now := clock.Now()
	room := r.core.Room()
	for _, s := range r.sessions {
		if s.ended {
			continue
		}
		if s.pending == nil && s.room.Equal(&room) {
			continue
		}
		if s.pending == nil && now-s.sentAt < roomPause {
			behind = true
			continue
		}
		r.send(s, room, now)
	}
	return behind
}

func (r *Runner) send(s *entrySession, room run.Room, now time.Duration) {
	m := s.message()
	s.pending = nil
	m.Taken = s.taken
	m.Heartbeat = s.beat
	m.ClockMs = now.Milliseconds()
	m.OperatorVersion = r.view.Rows().Version
	if !s.roomed || !s.room.Equal(&room) {
		m.Room = link.RoomMessage(room)
	}
	if v := r.view.Rows().Version; r.own == v && v != 0 && s.version != v {
		s.version = v
		rows, err := link.OperatorMessage(r.view.Rows())
		if err != nil {
			r.cfg.Log.Error("operators' rows can't be passed on", telemetry.Err(err))
		}
		m.Operator = rows
	}
	s.room, s.roomed, s.sentAt = room, true, now
	select {
	case s.out <- m:
	default:
		r.cfg.Log.Warn("entry falls behind; session closed", telemetry.Peer(s.entry))
		r.detach(s)
	}
}
