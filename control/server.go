package control

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// server implements the EntryService. It passes each call to the Duty's goroutine
// and waits for the reply.
type server struct{ duty *Controller }

var _ dockpbconnect.EntryServiceHandler = (*server)(nil)

// Service returns the EntryService of this entry, for its internal listener.
func (d *Controller) Service() dockpbconnect.EntryServiceHandler { return &server{d} }

var errNoName = errors.New("the call names no incarnation or address")

// Heartbeat implements EntryService.
func (s *server) Heartbeat(ctx context.Context, r *connect.Request[dockpb.HeartbeatRequest]) (*connect.Response[dockpb.HeartbeatResponse], error) {
	if r.Msg.GetSelf().GetIncarnation() == "" || r.Msg.GetSelf().GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoName)
	}
	e := heartbeat{request: r.Msg, reply: make(chan *dockpb.HeartbeatResponse, 1)}
	return await(ctx, s.duty, e, e.reply)
}

// Exchange implements EntryService.
func (s *server) Exchange(ctx context.Context, r *connect.Request[dockpb.ExchangeRequest]) (*connect.Response[dockpb.ExchangeResponse], error) {
	if r.Msg.GetSelf().GetIncarnation() == "" || r.Msg.GetSelf().GetAddress() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoName)
	}
	e := exchange{request: r.Msg, reply: make(chan *dockpb.ExchangeResponse, 1)}
	return await(ctx, s.duty, e, e.reply)
}

// await sends an event to the Duty's goroutine and waits for its reply. It returns
// rpc.Busy if the queue of events is full.
func await[M any](ctx context.Context, d *Controller, e event, reply <-chan *M) (*connect.Response[M], error) {
	if !d.inbox.Offer(e) {
		return nil, rpc.NewBusyError()
	}
	select {
	case m := <-reply:
		return connect.NewResponse(m), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}
