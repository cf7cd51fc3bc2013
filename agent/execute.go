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

// execution sends some tasks of one job to one gate. It repeats the call to the
// same incarnation until every task is answered, the job's deadline has passed,
// or the incarnation is gone.
type execution struct {
	client    *peerClient
	spec      home.Execute
	open      map[int]gate.Task // unanswered tasks, by index
	maybeSent bool              // a call may have arrived
	createdAt time.Time
}

// execute starts an execution. If the agent's address is not known, all tasks are
// reported as not sent.
func (c *peerClient) execute(e home.Execute) {
	x := &execution{client: c, spec: e, open: make(map[int]gate.Task, len(e.Tasks)), createdAt: time.Now()}
	for _, t := range e.Tasks {
		x.open[t.Index] = t
	}
	cl, ok := c.clientFor(e.Agent)
	if !ok {
		c.start(x.returnAll)
		return
	}
	c.start(func() { x.run(cl) })
}

func (x *execution) run(cl dockpbconnect.AgentServiceClient) {
	left := x.spec.Deadline - x.client.agent.Now()
	ctx, cancel := context.WithTimeout(x.client.context(x.spec.Agent), left)
	defer cancel()
	for len(x.open) > 0 && ctx.Err() == nil {
		err := x.call(ctx, cl)
		if len(x.open) == 0 {
			return
		}
		if x.handleEnding(err) {
			return
		}
		pause.For(ctx, retryPause)
	}
}

// handleEnding handles the end of a call that left tasks open, and reports
// whether the execution is over.
func (x *execution) handleEnding(err error) bool {
	next := endingOf(err, x.maybeSent)
	switch next {
	case endLost:
		x.loseAll()
	case endUnsent:
		x.returnAll()
	}
	x.maybeSent = x.maybeSent || rpc.MaybeSent(err)
	return next != endRetry
}

// ending is the consequence of a call that left tasks open.
type ending int

const (
	// endRetry: the incarnation may have the tasks, so it is called again.
	endRetry ending = iota
	// endLost: the incarnation is gone and may have run the tasks.
	endLost
	// endUnsent: the incarnation never got the tasks, so they may be sent to
	// another agent.
	endUnsent
)

// endingOf classifies a call by its error and by whether an earlier call of the
// same execution may have arrived. An answer from another incarnation proves
// that the target incarnation did not get this call.
func endingOf(err error, sentBefore bool) ending {
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

// call makes one call and delivers its answers to the home. It returns nil once
// every task is answered, otherwise the error that ended the call.
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

// errStreamEnded means that a stream ended without an error but left tasks
// unanswered.
var errStreamEnded = errors.New("answer stream ended before every task was answered")

func (x *execution) request() *dockpb.ExecuteRequest {
	req := &dockpb.ExecuteRequest{
		Key:           rpc.KeyToProto(x.spec.Key),
		Home:          string(x.client.agent.cfg.Self),
		To:            string(x.spec.Agent),
		Service:       string(x.spec.Service),
		CreatedUnixMs: x.createdAt.UnixMilli(),
		DeadlineMs:    rpc.Millis(x.spec.Deadline - x.client.agent.Now()),
		WaitMs:        int32((x.client.agent.Now() - x.spec.Rank).Milliseconds()),
	}
	for _, t := range x.spec.Tasks {
		if open, ok := x.open[t.Index]; ok {
			req.Tasks = append(req.Tasks, rpc.TaskToProto(&open.Task, open.Attempt))
		}
	}
	return req
}

// answer delivers one answer to the home. An answer that was delivered before,
// or that belongs to another attempt, is dropped.
func (x *execution) answer(m *dockpb.ExecuteResponse) {
	t, ok := x.open[int(m.GetIndex())]
	if !ok || t.Attempt != int(m.GetAttempt()) {
		return
	}
	delete(x.open, t.Index)
	x.client.deliver(home.Answered{
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

// loseAll reports for every open task that the incarnation is gone and will never
// answer.
func (x *execution) loseAll() {
	for _, t := range x.spec.Tasks {
		if _, ok := x.open[t.Index]; !ok {
			continue
		}
		x.client.deliver(home.Answered{
			Agent:   x.spec.Agent,
			Task:    ident.TaskID{Job: x.spec.Key, Index: t.Index},
			Attempt: t.Attempt,
			Verdict: gate.WrongIncarnation,
			Detail:  "the worker was replaced",
		})
	}
}

// returnAll reports for every open task that it was not sent.
func (x *execution) returnAll() {
	for i := range x.spec.Tasks {
		if _, ok := x.open[x.spec.Tasks[i].Index]; ok {
			x.client.deliver(notSent(&x.spec, i))
		}
	}
}

// notSent reports that the i-th task of the execution never left this process.
func notSent(e *home.Execute, i int) home.NotSent {
	t := &e.Tasks[i]
	return home.NotSent{Agent: e.Agent, Task: ident.TaskID{Job: e.Key, Index: t.Index}, Attempt: t.Attempt}
}
