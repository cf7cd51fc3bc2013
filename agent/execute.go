package agent

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// execution is the call of one gate for some tasks of one job. It goes on
// calling the same incarnation until every task is answered, the job's time is
// up, or the incarnation is gone.
type execution struct {
	caller *caller
	spec   home.Execute
	open   map[int]gate.Task // tasks without an answer, by index
	sent   bool              // a call may have arrived
	made   time.Time
}

// execute starts an execution.
func (c *caller) execute(e home.Execute) {
	x := &execution{caller: c, spec: e, open: make(map[int]gate.Task, len(e.Tasks)), made: time.Now()}
	for _, t := range e.Tasks {
		x.open[t.Index] = t
	}
	cl, ok := c.to(e.Agent)
	if !ok {
		c.start(x.returnAll)
		return
	}
	c.start(func() { x.run(cl) })
}

func (x *execution) run(cl dockpbconnect.AgentServiceClient) {
	left := x.spec.Deadline - x.caller.agent.Now()
	ctx, cancel := context.WithTimeout(x.caller.context(x.spec.Agent), left)
	defer cancel()
	for len(x.open) > 0 && ctx.Err() == nil {
		err := x.call(ctx, cl)
		if len(x.open) == 0 {
			return
		}
		if x.end(err) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// end deals with a call that left tasks open, and reports whether to stop.
func (x *execution) end(err error) bool {
	next := endOf(err, x.sent)
	switch next {
	case endLost:
		x.loseAll()
	case endUnsent:
		x.returnAll()
	}
	x.sent = x.sent || rpc.MaybeSent(err)
	return next != endRetry
}

// ending is what follows from a call that left tasks open.
type ending int

const (
	// endRetry: the incarnation may have the tasks, so it is called again.
	endRetry ending = iota
	// endLost: the incarnation is gone and may have run the tasks.
	endLost
	// endUnsent: the incarnation never got the tasks, so they may go elsewhere.
	endUnsent
)

// endOf judges a call by its error and by whether an earlier call of the same
// execution may have arrived. An answer of another incarnation proves that the
// one that was meant did not get this call.
func endOf(err error, sentBefore bool) ending {
	switch {
	case rpc.MaybeSent(err):
		return endRetry
	case !sentBefore:
		return endUnsent
	case rpc.IsReplaced(err):
		return endLost
	}
	return endRetry
}

// call makes one call and delivers its answers.
func (x *execution) call(ctx context.Context, cl dockpbconnect.AgentServiceClient) error {
	stream, err := cl.Execute(ctx, connect.NewRequest(x.request()))
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		x.answer(stream.Msg())
		if len(x.open) == 0 {
			return nil
		}
	}
	if stream.Err() == nil {
		return errStreamEnded
	}
	return stream.Err()
}

// errStreamEnded is the end of a stream that left tasks without an answer.
var errStreamEnded = errors.New("the stream ended early")

func (x *execution) request() *dockpb.ExecuteRequest {
	req := &dockpb.ExecuteRequest{
		Key:           rpc.KeyToProto(x.spec.Key),
		Home:          string(x.caller.agent.cfg.Self),
		To:            string(x.spec.Agent),
		Service:       string(x.spec.Service),
		CreatedUnixMs: x.made.UnixMilli(),
		DeadlineMs:    rpc.Millis(x.spec.Deadline - x.caller.agent.Now()),
		WaitMs:        int32((x.caller.agent.Now() - x.spec.Rank).Milliseconds()),
	}
	for _, t := range x.spec.Tasks {
		if open, ok := x.open[t.Index]; ok {
			req.Tasks = append(req.Tasks, rpc.TaskToProto(&open.Task, open.Attempt))
		}
	}
	return req
}

// answer delivers one answer; one that was delivered already is dropped.
func (x *execution) answer(m *dockpb.ExecuteResponse) {
	t, ok := x.open[int(m.GetIndex())]
	if !ok || t.Attempt != int(m.GetAttempt()) {
		return
	}
	delete(x.open, t.Index)
	x.caller.deliver(home.Answered{
		Agent:   x.spec.Agent,
		Task:    ident.TaskID{Job: x.spec.Key, Index: t.Index},
		Attempt: t.Attempt,
		Verdict: taskVerdict(m.GetVerdict()),
		Body:    m.GetBody(),
		Reason:  job.Reason(m.GetReason()),
		Detail:  m.GetDetail(),
		Load: dispatch.Load{
			Free:   int(m.GetFree()),
			Queued: int(m.GetQueued()),
			Pace:   rpc.Duration(m.GetPaceMs()),
		},
		Ran: rpc.Duration(m.GetRanMs()),
	})
}

// loseAll reports that the incarnation is gone and will never answer.
func (x *execution) loseAll() {
	for _, t := range x.spec.Tasks {
		if _, ok := x.open[t.Index]; !ok {
			continue
		}
		x.caller.deliver(home.Answered{
			Agent:   x.spec.Agent,
			Task:    ident.TaskID{Job: x.spec.Key, Index: t.Index},
			Attempt: t.Attempt,
			Verdict: gate.WrongIncarnation,
			Detail:  "the worker was replaced",
		})
	}
}

// returnAll reports that no byte of the open tasks was sent.
func (x *execution) returnAll() {
	for i := range x.spec.Tasks {
		if _, ok := x.open[x.spec.Tasks[i].Index]; ok {
			x.caller.deliver(notSent(&x.spec, i))
		}
	}
}

// notSent reports that the i-th task of the execution never left this process.
func notSent(e *home.Execute, i int) home.NotSent {
	t := &e.Tasks[i]
	return home.NotSent{Agent: e.Agent, Task: ident.TaskID{Job: e.Key, Index: t.Index}, Attempt: t.Attempt}
}
