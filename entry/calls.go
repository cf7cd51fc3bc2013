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

// homeClient calls the agents that are homes of jobs, each call in a goroutine of
// its own.
type homeClient struct {
	entry   *Entry
	clients *rpc.AgentClients
	running sync.WaitGroup

	mu      sync.Mutex
	cancels map[ident.RequestID]context.CancelFunc
}

func newHomeClient(e *Entry) *homeClient {
	return &homeClient{
		entry:   e,
		clients: rpc.NewAgentClients(),
		cancels: make(map[ident.RequestID]context.CancelFunc),
	}
}

func (c *homeClient) wait() { c.running.Wait() }

// call makes one call and sends its result to the routing core.
func (c *homeClient) call(a routing.Call) {
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

// cancelCall ends the open call of a request that has been answered or given up.
func (c *homeClient) cancelCall(id ident.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.cancels[id]; ok {
		cancel()
		delete(c.cancels, id)
	}
}

func (c *homeClient) perform(ctx context.Context, a *routing.Call) routing.Event {
	cl := c.clients.At(a.To.Address)
	if a.Op == routing.OpCancel {
		return c.cancel(ctx, cl, a)
	}
	resp, err := cl.Submit(ctx, connect.NewRequest(submitRequest(a, c.entry.Now())))
	if err != nil {
		return failedEvent(a, err)
	}
	return submitEvent(a, resp.Msg)
}

func (c *homeClient) cancel(ctx context.Context, cl dockpbconnect.AgentServiceClient, a *routing.Call) routing.Event {
	resp, err := cl.Cancel(ctx, connect.NewRequest(&dockpb.CancelRequest{
		Key:  rpc.KeyToProto(a.Key),
		Home: string(a.To.Incarnation),
	}))
	if err != nil {
		return failedEvent(a, err)
	}
	m := resp.Msg
	if m.GetRedirect() != "" {
		return redirectedEvent(a, m.GetRedirect(), m.GetRedirectAddress())
	}
	return answeredEvent(a, rpc.OutcomeFromProto(m.GetOutcome()))
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

func submitEvent(a *routing.Call, m *dockpb.SubmitResponse) routing.Event {
	switch {
	case m.GetRedirect() != "":
		return redirectedEvent(a, m.GetRedirect(), m.GetRedirectAddress())
	case m.GetState() != nil:
		s := m.GetState()
		return routing.JobState{ID: a.ID, Call: a.Call, Total: int(s.GetTotal()), Started: int(s.GetStarted()), Finished: int(s.GetFinished())}
	}
	return answeredEvent(a, rpc.OutcomeFromProto(m.GetOutcome()))
}

// answeredEvent checks an answer before it is passed on. An answer that lacks
// results or is not final violates an invariant of the home; the caller gets a
// failure with reason unresolved in its place.
func answeredEvent(a *routing.Call, o job.Outcome) routing.Event {
	switch o.Kind {
	case job.Complete:
		if !hasAllResults(a, &o) {
			o = job.Fail(job.ReasonUnresolved, 0, "the home sent a partial answer")
		}
	case job.Failed, job.Refused:
		o.Results = nil
	default:
		o = job.Fail(job.ReasonUnresolved, 0, "the home sent no outcome")
	}
	return routing.Answered{ID: a.ID, Call: a.Call, Outcome: o}
}

// hasAllResults reports whether the outcome has one result for each task, in the
// order of their indexes. The number of tasks is unknown in a call without a
// spec.
func hasAllResults(a *routing.Call, o *job.Outcome) bool {
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

func redirectedEvent(a *routing.Call, to, address string) routing.Event {
	m := placement.Member{Incarnation: ident.Incarnation(to), Address: address}
	return routing.Redirected{ID: a.ID, Call: a.Call, To: m}
}

func failedEvent(a *routing.Call, err error) routing.Event {
	return routing.CallFailed{ID: a.ID, Call: a.Call, Sent: rpc.MaybeSent(err), Replaced: rpc.IsReplaced(err)}
}
