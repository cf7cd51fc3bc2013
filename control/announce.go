package control

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// ErrUnannounced means that fewer than half of the members acknowledged an intent,
// the announcement of a change. Nothing was changed.
var ErrUnannounced = errors.New("fewer than half of the agents acknowledged the announcement of the change")

// acksNeeded is the number of members that have to acknowledge an intent. Half
// of them is enough, since a permit.Granter relies on heartbeats of more than
// half of them: the two sets share a member.
func acksNeeded(members int) int { return (members + 1) / 2 }

// announcer sends IntentRequests to members: the announcement of a change before
// its commit, and its outcome afterwards.
type announcer struct {
	client  connect.HTTPClient
	timeout time.Duration
}

// maxConcurrentCalls bounds the concurrent calls of one announcement.
const maxConcurrentCalls = 64

// announce sends the intent to the members and returns once half of them have
// acknowledged it. A member at whose address another incarnation answers counts
// as an acknowledgement: its process is gone for good and can no longer confirm
// an older state. Slower members are not waited for and may not learn of the
// intent.
func (a *announcer) announce(ctx context.Context, id string, members []placement.Member) error {
	if len(members) == 0 {
		return nil
	}
	acks := a.sendAll(ctx, members, &dockpb.IntentRequest{Id: id})
	need := acksNeeded(len(members))
	have := 0
	for range members {
		if <-acks {
			have++
		}
		if have == need {
			return nil
		}
	}
	return ErrUnannounced
}

// settlement is the final outcome of an announced change, with the members to
// notify. after is the state that the change committed, zero if it was cancelled.
type settlement struct {
	id      string
	after   permit.State
	members []placement.Member
}

// settleLoop notifies members of the outcomes of changes.
func (c *Controller) settleLoop(ctx context.Context) {
	for {
		select {
		case s := <-c.settlements:
			c.inbox.Put(settled{id: s.id, after: s.after})
			c.announcer().settle(ctx, s.id, s.after, s.members)
		case <-ctx.Done():
			return
		}
	}
}

// settle notifies the members of the final outcome of an intent. Members that
// it does not reach ask for the outcome in their heartbeats.
func (a *announcer) settle(ctx context.Context, id string, after permit.State, members []placement.Member) {
	acks := a.sendAll(ctx, members, &dockpb.IntentRequest{
		Id: id, Settled: true, Version: uint64(after.Version), Epoch: uint64(after.Epoch),
	})
	for range members {
		<-acks
	}
}

// sendAll sends the request to every member. The returned channel yields one
// value per member: whether it acknowledged.
func (a *announcer) sendAll(ctx context.Context, members []placement.Member, r *dockpb.IntentRequest) <-chan bool {
	acks := make(chan bool, len(members))
	slots := make(chan struct{}, maxConcurrentCalls)
	call := func(m placement.Member) {
		slots <- struct{}{}
		acks <- a.sendOne(ctx, m, r)
		<-slots
	}
	for _, m := range members {
		go call(m)
	}
	return acks
}

// sendOne reports whether the member acknowledged the request or has been
// replaced by another incarnation.
func (a *announcer) sendOne(ctx context.Context, m placement.Member, r *dockpb.IntentRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	addressed := &dockpb.IntentRequest{Id: r.Id, To: string(m.Incarnation), Settled: r.Settled, Version: r.Version, Epoch: r.Epoch}
	resp, err := dockpbconnect.NewAgentServiceClient(a.client, "http://"+m.Address, rpc.ClientOptions()).Intent(ctx, connect.NewRequest(addressed))
	if err != nil {
		return rpc.IsReplaced(err)
	}
	return resp.Msg.GetAccepted()
}
