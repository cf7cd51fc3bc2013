package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/routing"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// caller makes the calls to homes, each in a goroutine of its own.
type caller struct {
	entry   *Entry
	clients *rpc.AgentClients
	running sync.WaitGroup

	mu      sync.Mutex
	cancels map[ident.RequestID]context.CancelFunc
}

func newCaller(e *Entry) *caller {
	return &caller{
		entry:   e,
		clients: rpc.NewAgentClients(),
		cancels: make(map[ident.RequestID]context.CancelFunc),
	}
}

func (c *caller) wait() { c.running.Wait() }

// call makes one call and reports its end to the routing duty.
func (c *caller) call(a routing.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), a.ReplyDeadline-c.entry.Now())
	c.mu.Lock()
	c.cancels[a.ID] = cancel
	c.mu.Unlock()
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		defer cancel()
		c.entry.box.Put(c.perform(ctx, &a))
	}()
}

// end cancels the call of a request that has its answer.
func (c *caller) end(id ident.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.cancels[id]; ok {
		cancel()
		delete(c.cancels, id)
	}
}

func (c *caller) perform(ctx context.Context, a *routing.Call) routing.Event {
	cl := c.clients.At(a.To.Address)
	if a.Op == routing.OpCancel {
		return c.cancel(ctx, cl, a)
	}
	resp, err := cl.Submit(ctx, connect.NewRequest(submitRequest(a, c.entry.Now())))
	if err != nil {
		return failed(a, err)
	}
	return submitted(a, resp.Msg)
}

func (c *caller) cancel(ctx context.Context, cl dockpbconnect.AgentServiceClient, a *routing.Call) routing.Event {
	resp, err := cl.Cancel(ctx, connect.NewRequest(&dockpb.CancelRequest{
		Key:  rpc.KeyToProto(a.Key),
		Home: string(a.To.Incarnation),
	}))
	if err != nil {
		return failed(a, err)
	}
	m := resp.Msg
	if m.GetRedirect() != "" {
		return redirected(a, m.GetRedirect(), m.GetRedirectAddress())
	}
	return answered(a, rpc.OutcomeFromProto(m.GetOutcome()))
}

func submitRequest(a *routing.Call, now time.Duration) *dockpb.SubmitRequest {
	req := &dockpb.SubmitRequest{
		Key:    rpc.KeyToProto(a.Key),
		Home:   string(a.To.Incarnation),
		Lookup: a.Op != routing.OpSubmit,
		Fresh:  a.Fresh,
	}
	if a.Op != routing.OpState {
		req.DeadlineMs = rpc.Millis(a.Deadline - now)
	}
	if a.Spec != nil {
		addSpec(req, a)
	}
	return req
}

func addSpec(req *dockpb.SubmitRequest, a *routing.Call) {
	req.Service = string(a.Spec.Service)
	req.HandicapMs = rpc.Millis(a.Spec.Handicap)
	req.FirstAttemptUnixMs = a.FirstAttempt.UnixMilli()
	req.Tasks = make([]*dockpb.Task, len(a.Spec.Tasks))
	for i := range a.Spec.Tasks {
		req.Tasks[i] = rpc.TaskToProto(&a.Spec.Tasks[i], 0)
	}
}

func submitted(a *routing.Call, m *dockpb.SubmitResponse) routing.Event {
	switch {
	case m.GetRedirect() != "":
		return redirected(a, m.GetRedirect(), m.GetRedirectAddress())
	case m.GetState() != nil:
		s := m.GetState()
		return routing.JobState{ID: a.ID, Call: a.Call, Total: int(s.GetTotal()), Started: int(s.GetStarted()), Finished: int(s.GetFinished())}
	}
	return answered(a, rpc.OutcomeFromProto(m.GetOutcome()))
}

// answered checks an answer before it is passed on. One that is not whole, or not
// final, breaks an invariant of the home; the caller must not see it.
func answered(a *routing.Call, o job.Outcome) routing.Event {
	switch o.Kind {
	case job.Complete:
		if !isWhole(a, &o) {
			o = job.Fail(job.ReasonUnresolved, 0, "the home sent a partial answer")
		}
	case job.Failed, job.Refused:
		o.Results = nil
	default:
		o = job.Fail(job.ReasonUnresolved, 0, "the home sent no outcome")
	}
	return routing.Answered{ID: a.ID, Call: a.Call, Outcome: o}
}

func isWhole(a *routing.Call, o *job.Outcome) bool {
	if a.Spec != nil && len(o.Results) != len(a.Spec.Tasks) {
		return false
	}
	for i := range o.Results {
		if o.Results[i].Index != i {
			return false
		}
	}
	return true
}

func redirected(a *routing.Call, to, address string) routing.Event {
	m := placement.Member{Incarnation: ident.Incarnation(to), Address: address}
	return routing.Redirected{ID: a.ID, Call: a.Call, To: m}
}

func failed(a *routing.Call, err error) routing.Event {
	return routing.CallFailed{ID: a.ID, Call: a.Call, Sent: rpc.MaybeSent(err), Replaced: rpc.IsReplaced(err)}
}
