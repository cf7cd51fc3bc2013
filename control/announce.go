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

// ErrUnannounced means that too few members acknowledged an intent. Nothing was
// changed.
var ErrUnannounced = errors.New("fewer than half of the agents acknowledged the announcement of the change")

// acksNeeded is the number of members that have to acknowledge an intent. Half
// of them is enough, since a granter needs the word of more than half: the two
// sets share a member.
func acksNeeded(members int) int { return (members + 1) / 2 }

// announcer tells members of changes before they are committed and after.
type announcer struct {
	client  connect.HTTPClient
	timeout time.Duration
}

// maxCalls bounds the calls that one announcement has open.
const maxCalls = 64

// announce tells the intent to the members and returns once half of them
// have acknowledged it. A member whose address is answered by another
// incarnation is gone for good, and can't vouch for anything any more, which is
// as good as its word. Members that are slower learn nothing.
func (a *announcer) announce(ctx context.Context, id string, members []placement.Member) error {
	if len(members) == 0 {
		return nil
	}
	acks := a.tell(ctx, members, &dockpb.IntentRequest{Id: id})
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

// settlement is the certain outcome of an announced change.
type settlement struct {
	id      string
	after   permit.State
	members []placement.Member
}

// settleLoop tells members the outcomes of changes.
func (d *Duty) settleLoop(ctx context.Context) {
	for {
		select {
		case s := <-d.settlements:
			d.box.Put(settled{id: s.id, after: s.after})
			d.announcer().settle(ctx, s.id, s.after, s.members)
		case <-ctx.Done():
			return
		}
	}
}

// settle tells the members the certain outcome of an intent. Those that it does
// not reach ask in their heartbeats.
func (a *announcer) settle(ctx context.Context, id string, after permit.State, members []placement.Member) {
	acks := a.tell(ctx, members, &dockpb.IntentRequest{
		Id: id, Settled: true, Version: uint64(after.Version), Epoch: uint64(after.Epoch),
	})
	for range members {
		<-acks
	}
}

// tell sends the request to every member and returns a channel that yields one
// value for each of them.
func (a *announcer) tell(ctx context.Context, members []placement.Member, r *dockpb.IntentRequest) <-chan bool {
	acks := make(chan bool, len(members))
	slots := make(chan struct{}, maxCalls)
	call := func(m placement.Member) {
		slots <- struct{}{}
		acks <- a.tellOne(ctx, m, r)
		<-slots
	}
	for _, m := range members {
		go call(m)
	}
	return acks
}

func (a *announcer) tellOne(ctx context.Context, m placement.Member, r *dockpb.IntentRequest) bool {
	ctx, stop := context.WithTimeout(ctx, a.timeout)
	defer stop()
	own := &dockpb.IntentRequest{Id: r.Id, To: string(m.Incarnation), Settled: r.Settled, Version: r.Version, Epoch: r.Epoch}
	resp, err := dockpbconnect.NewAgentServiceClient(a.client, "http://"+m.Address, rpc.ClientOptions()).Intent(ctx, connect.NewRequest(own))
	if err != nil {
		return rpc.IsReplaced(err)
	}
	return resp.Msg.GetAccepted()
}
