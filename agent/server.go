package agent

import (
	"context"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// server implements the AgentService by sending events to the event loops.
type server struct{ agent *Agent }

var _ dockpbconnect.AgentServiceHandler = (*server)(nil)

// isTarget reports whether a call was meant for this incarnation. It also
// records that a call has arrived, from which servedFor counts.
func (s *server) isTarget(to string) bool {
	s.agent.servedFor()
	return ident.Incarnation(to) == s.agent.cfg.Self
}

// Submit passes a job, or the look-up of one, to the home.
func (s *server) Submit(ctx context.Context, req *connect.Request[dockpb.SubmitRequest]) (*connect.Response[dockpb.SubmitResponse], error) {
	m := req.Msg
	if !s.isTarget(m.GetHome()) {
		return nil, rpc.NewReplacedError()
	}
	event, ok := submitEvent(m)
	if !ok {
		return nil, errMalformed
	}
	action, err := s.askHome(ctx, event)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(submitResponse(action)), nil
}

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

// askHome sends a request to the home and waits for its answer. If the caller
// disconnects first, the home is told that the request is gone.
func (s *server) askHome(ctx context.Context, event homeRequest) (home.Action, error) {
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
		h.box.Offer(home.CallerGone{Request: id})
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
}

// Cancel stops the tasks of a job that have not started.
func (s *server) Cancel(ctx context.Context, req *connect.Request[dockpb.CancelRequest]) (*connect.Response[dockpb.CancelResponse], error) {
	m := req.Msg
	if !s.isTarget(m.GetHome()) {
		return nil, rpc.NewReplacedError()
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

// Seal answers a newer home that asks this one to seal a key. The error for
// another incarnation carries how long this process has served the address.
func (s *server) Seal(ctx context.Context, req *connect.Request[dockpb.SealRequest]) (*connect.Response[dockpb.SealResponse], error) {
	m := req.Msg
	if !s.isTarget(m.GetTo()) {
		return nil, rpc.ReplacedFor(s.agent.servedFor())
	}
	action, err := s.askHome(ctx, func(id ident.RequestID) home.Event {
		return home.SealRequested{
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
	return connect.NewResponse(&dockpb.SealResponse{Verdict: uint32(a.Verdict), Vouches: vouchesToProto(a.Vouches)}), nil
}

// Execute passes tasks to the gate and streams one answer for each.
func (s *server) Execute(ctx context.Context, req *connect.Request[dockpb.ExecuteRequest], stream *connect.ServerStream[dockpb.ExecuteResponse]) error {
	m := req.Msg
	if !s.isTarget(m.GetTo()) {
		return rpc.NewReplacedError()
	}
	event, ok := executeEvent(m, s.agent.Now())
	if !ok {
		return errMalformed
	}
	g := s.agent.gate
	id := g.ids.next()
	event.Request = id
	answers := g.answers.open(id, len(m.GetTasks()))
	defer g.answers.close(id)
	if !g.box.Offer(event) {
		return rpc.Busy()
	}
	return streamAnswers(ctx, len(m.GetTasks()), answers, stream)
}

// streamAnswers sends n answers, or fewer if the caller disconnects or sending
// fails.
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

// Revoke drops the tasks of a job that wait at the gate.
func (s *server) Revoke(_ context.Context, req *connect.Request[dockpb.RevokeRequest]) (*connect.Response[dockpb.RevokeResponse], error) {
	m := req.Msg
	if !s.isTarget(m.GetTo()) {
		return nil, rpc.NewReplacedError()
	}
	e := gate.Revoke{Home: ident.Incarnation(m.GetHome()), Key: rpc.KeyFromProto(m.GetKey())}
	if !s.agent.gate.box.Offer(e) {
		return nil, rpc.Busy()
	}
	return connect.NewResponse(&dockpb.RevokeResponse{}), nil
}

// Handover passes records from a leaving home to the home of this process.
func (s *server) Handover(_ context.Context, req *connect.Request[dockpb.HandoverRequest]) (*connect.Response[dockpb.HandoverResponse], error) {
	m := req.Msg
	if !s.isTarget(m.GetTo()) {
		return nil, rpc.NewReplacedError()
	}
	e, ok := handoverEvent(m)
	if !ok {
		return nil, errMalformed
	}
	if !s.agent.home.box.Put(e) {
		return nil, rpc.Busy()
	}
	return connect.NewResponse(&dockpb.HandoverResponse{Accepted: true}), nil
}

// Intent receives the announcement of a change that is about to be committed,
// or the outcome of an announced change.
func (s *server) Intent(ctx context.Context, req *connect.Request[dockpb.IntentRequest]) (*connect.Response[dockpb.IntentResponse], error) {
	if !s.isTarget(req.Msg.GetTo()) {
		return nil, rpc.NewReplacedError()
	}
	if s.agent.cfg.Intent == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, nil)
	}
	return connect.NewResponse(&dockpb.IntentResponse{Accepted: s.agent.cfg.Intent(ctx, req.Msg)}), nil
}
