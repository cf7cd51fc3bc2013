package agent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// server answers the AgentService by passing events to the duties.
type server struct{ agent *Agent }

var _ dockpbconnect.AgentServiceHandler = (*server)(nil)

// meant reports whether a call was meant for this incarnation.
func (s *server) meant(to string) bool { return ident.Incarnation(to) == s.agent.cfg.Self }

// Submit hands a job, or a look-up of one, to the home.
func (s *server) Submit(ctx context.Context, req *connect.Request[dockpb.SubmitRequest]) (*connect.Response[dockpb.SubmitResponse], error) {
	m := req.Msg
	if !s.meant(m.GetHome()) {
		return nil, rpc.Replaced()
	}
	action, err := s.askHome(ctx, func(id ident.RequestID) home.Event { return submitEvent(id, m) })
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(submitResponse(action)), nil
}

func submitEvent(id ident.RequestID, m *dockpb.SubmitRequest) home.Event {
	key := rpc.KeyFromProto(m.GetKey())
	if m.GetLookup() {
		return home.Lookup{Request: id, Key: key, Wait: m.GetDeadlineMs() > 0}
	}
	spec := &job.Spec{
		Key:      key,
		Service:  ident.Service(m.GetService()),
		Tasks:    make([]job.Task, len(m.GetTasks())),
		Deadline: rpc.Duration(m.GetDeadlineMs()),
		Handicap: rpc.Duration(m.GetHandicapMs()),
	}
	for i, t := range m.GetTasks() {
		spec.Tasks[i] = rpc.TaskFromProto(t)
	}
	return home.Submit{Request: id, Spec: spec, Fresh: m.GetFresh(), Age: ageOf(m.GetFirstAttemptUnixMs())}
}

// ageOf returns the wall-clock age of a moment.
func ageOf(unixMillis int64) time.Duration { return time.Since(time.UnixMilli(unixMillis)) }

func submitResponse(action home.Action) *dockpb.SubmitResponse {
	switch a := action.(type) {
	case home.Reply:
		return &dockpb.SubmitResponse{Outcome: rpc.OutcomeToProto(&a.Outcome)}
	case home.Redirect:
		return &dockpb.SubmitResponse{Redirect: string(a.To.Incarnation), RedirectAddress: a.To.Address}
	case home.ReplyState:
		return &dockpb.SubmitResponse{State: &dockpb.JobState{
			Total:    uint32(a.Total),
			Started:  uint32(a.Started),
			Finished: uint32(a.Finished),
		}}
	}
	return &dockpb.SubmitResponse{}
}

// askHome sends a request to the home and waits for its answer.
func (s *server) askHome(ctx context.Context, event func(ident.RequestID) home.Event) (home.Action, error) {
	h := s.agent.home
	id := h.ids.next()
	answer := h.replies.open(id, 1)
	defer h.replies.close(id)
	if !h.box.Offer(event(id)) {
		return nil, rpc.Busy()
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		h.box.Offer(home.Gone{Request: id})
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// Cancel ends a job.
func (s *server) Cancel(ctx context.Context, req *connect.Request[dockpb.CancelRequest]) (*connect.Response[dockpb.CancelResponse], error) {
	m := req.Msg
	if !s.meant(m.GetHome()) {
		return nil, rpc.Replaced()
	}
	action, err := s.askHome(ctx, func(id ident.RequestID) home.Event {
		return home.Cancel{Request: id, Key: rpc.KeyFromProto(m.GetKey())}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(cancelResponse(action)), nil
}

func cancelResponse(action home.Action) *dockpb.CancelResponse {
	switch a := action.(type) {
	case home.Reply:
		return &dockpb.CancelResponse{Outcome: rpc.OutcomeToProto(&a.Outcome)}
	case home.Redirect:
		return &dockpb.CancelResponse{Redirect: string(a.To.Incarnation), RedirectAddress: a.To.Address}
	}
	return &dockpb.CancelResponse{}
}

// Seal answers a newer home.
func (s *server) Seal(ctx context.Context, req *connect.Request[dockpb.SealRequest]) (*connect.Response[dockpb.SealResponse], error) {
	m := req.Msg
	if !s.meant(m.GetTo()) {
		return nil, rpc.Replaced()
	}
	action, err := s.askHome(ctx, func(id ident.RequestID) home.Event {
		return home.SealAsked{
			Request: id,
			Key:     rpc.KeyFromProto(m.GetKey()),
			From:    ident.Incarnation(m.GetFrom()),
			Epoch:   ident.Epoch(m.GetEpoch()),
		}
	})
	if err != nil {
		return nil, err
	}
	a, _ := action.(home.AnswerSeal)
	resp := &dockpb.SealResponse{Verdict: uint32(a.Verdict)}
	for _, v := range a.Vouches {
		resp.Vouches = append(resp.Vouches, string(v))
	}
	return connect.NewResponse(resp), nil
}

// Execute hands tasks to the gate and streams its answers.
func (s *server) Execute(ctx context.Context, req *connect.Request[dockpb.ExecuteRequest], stream *connect.ServerStream[dockpb.ExecuteResponse]) error {
	m := req.Msg
	if !s.meant(m.GetTo()) {
		return rpc.Replaced()
	}
	g := s.agent.gate
	id := g.ids.next()
	answers := g.answers.open(id, len(m.GetTasks()))
	defer g.answers.close(id)
	if !g.box.Offer(s.executeEvent(id, m)) {
		return rpc.Busy()
	}
	return streamAnswers(ctx, len(m.GetTasks()), answers, stream)
}

func (s *server) executeEvent(id ident.RequestID, m *dockpb.ExecuteRequest) gate.Execute {
	e := gate.Execute{
		Request:  id,
		Home:     ident.Incarnation(m.GetHome()),
		Key:      rpc.KeyFromProto(m.GetKey()),
		Service:  ident.Service(m.GetService()),
		Tasks:    make([]gate.Task, len(m.GetTasks())),
		Deadline: s.agent.Now() + rpc.Duration(m.GetDeadlineMs()),
		Rank:     s.agent.Now() - time.Duration(m.GetWaitMs())*time.Millisecond,
		Age:      ageOf(m.GetCreatedUnixMs()),
	}
	for i, t := range m.GetTasks() {
		e.Tasks[i] = gate.Task{Task: rpc.TaskFromProto(t), Attempt: int(t.GetAttempt())}
	}
	return e
}

// streamAnswers sends n answers, or fewer if the caller hangs up.
func streamAnswers(ctx context.Context, n int, answers <-chan gate.Answer, stream *connect.ServerStream[dockpb.ExecuteResponse]) error {
	for range n {
		select {
		case a := <-answers:
			if err := stream.Send(executeResponse(&a)); err != nil {
				return err
			}
		case <-ctx.Done():
			return connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
	return nil
}

func executeResponse(a *gate.Answer) *dockpb.ExecuteResponse {
	return &dockpb.ExecuteResponse{
		Index:   uint32(a.Task.Index),
		Attempt: uint32(a.Attempt),
		Verdict: uint32(a.Verdict),
		Body:    a.Body,
		Reason:  string(a.Reason),
		Detail:  a.Detail,
		Free:    uint32(a.Load.Free),
		Queued:  uint32(a.Load.Queued),
		PaceMs:  rpc.Millis(a.Load.Pace),
		RanMs:   rpc.Millis(a.Ran),
	}
}

// Revoke drops the waiting tasks of a job.
func (s *server) Revoke(_ context.Context, req *connect.Request[dockpb.RevokeRequest]) (*connect.Response[dockpb.RevokeResponse], error) {
	m := req.Msg
	if !s.meant(m.GetTo()) {
		return nil, rpc.Replaced()
	}
	e := gate.Revoke{Home: ident.Incarnation(m.GetHome()), Key: rpc.KeyFromProto(m.GetKey())}
	if !s.agent.gate.box.Offer(e) {
		return nil, rpc.Busy()
	}
	return connect.NewResponse(&dockpb.RevokeResponse{}), nil
}

// Handover takes records from a leaving home.
func (s *server) Handover(_ context.Context, req *connect.Request[dockpb.HandoverRequest]) (*connect.Response[dockpb.HandoverResponse], error) {
	m := req.Msg
	if !s.meant(m.GetTo()) {
		return nil, rpc.Replaced()
	}
	e := home.HandedOver{From: ident.Incarnation(m.GetFrom()), Last: m.GetLast()}
	for _, r := range m.GetRecords() {
		e.Records = append(e.Records, home.Record{
			Key:     rpc.KeyFromProto(r.GetKey()),
			Digest:  r.GetDigest(),
			Outcome: rpc.OutcomeFromProto(r.GetOutcome()),
		})
	}
	if !s.agent.home.box.Put(e) {
		return nil, rpc.Busy()
	}
	return connect.NewResponse(&dockpb.HandoverResponse{Accepted: true}), nil
}

// Intent notes a change that is about to be committed, or its end.
func (s *server) Intent(ctx context.Context, req *connect.Request[dockpb.IntentRequest]) (*connect.Response[dockpb.IntentResponse], error) {
	if !s.meant(req.Msg.GetTo()) {
		return nil, rpc.Replaced()
	}
	if s.agent.cfg.Intent == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	return connect.NewResponse(&dockpb.IntentResponse{Accepted: s.agent.cfg.Intent(ctx, req.Msg)}), nil
}
