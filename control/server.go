package control

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// server implements the EntryService. It passes each call to the Controller's
// goroutine and waits for the reply.
type server struct{ controller *Controller }

var _ dockpbconnect.EntryServiceHandler = (*server)(nil)

// Service returns the EntryService of this entry, for its internal listener.
func (c *Controller) Service() dockpbconnect.EntryServiceHandler { return &server{c} }

var errNoSender = errors.New("the call names no incarnation or address")

// Heartbeat implements EntryService.
func (s *server) Heartbeat(ctx context.Context, r *connect.Request[dockpb.HeartbeatRequest]) (*connect.Response[dockpb.HeartbeatResponse], error) {
	if r.Msg.GetSelf().GetIncarnation() == "" || r.Msg.GetSelf().GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoSender)
	}
	e := heartbeat{request: r.Msg, reply: make(chan *dockpb.HeartbeatResponse, 1)}
	return await(ctx, s.controller, e, e.reply)
}

// Exchange implements EntryService.
func (s *server) Exchange(ctx context.Context, r *connect.Request[dockpb.ExchangeRequest]) (*connect.Response[dockpb.ExchangeResponse], error) {
	if r.Msg.GetSelf().GetIncarnation() == "" || r.Msg.GetSelf().GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoSender)
	}
	e := exchange{request: r.Msg, reply: make(chan *dockpb.ExchangeResponse, 1)}
	return await(ctx, s.controller, e, e.reply)
}

// await sends an event to the Controller's goroutine and waits for its reply. It
// returns rpc.NewBusyError if the queue of events is full.
func await[M any](ctx context.Context, c *Controller, e event, reply <-chan *M) (*connect.Response[M], error) {
	if !c.inbox.Offer(e) {
		return nil, rpc.NewBusyError()
	}
	select {
	case m := <-reply:
		return connect.NewResponse(m), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}
