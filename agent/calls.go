package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
)

// Limits on calls to other agents.
const (
	// bestEffortTimeout bounds calls that may be lost at no other cost than a
	// delay.
	bestEffortTimeout = time.Second
	// sealTimeout bounds one seal request to a former home.
	sealTimeout = time.Second
	// handoverTimeout bounds one attempt to hand over a chunk of records.
	handoverTimeout = 3 * time.Second
	// handoverTries is the number of attempts for each chunk.
	handoverTries = 5
	// handoverChunk is the number of records in one call.
	handoverChunk = 200
	// retryPause is the wait before the same incarnation is called again.
	retryPause = 50 * time.Millisecond
)

// peerClient makes the calls to other agents, each in a goroutine of its own. A
// call to an incarnation can be ended once that incarnation is declared gone.
type peerClient struct {
	agent           *Agent
	clients         *rpc.AgentClients
	running         sync.WaitGroup
	activeHandovers atomic.Int64

	mu       sync.Mutex
	cancels  map[ident.Incarnation]context.CancelFunc
	contexts map[ident.Incarnation]context.Context
}

func newPeerClient(a *Agent) *peerClient {
	return &peerClient{
		agent:    a,
		clients:  rpc.NewAgentClients(),
		cancels:  make(map[ident.Incarnation]context.CancelFunc),
		contexts: make(map[ident.Incarnation]context.Context),
	}
}

// wait waits until every call has ended.
func (c *peerClient) wait() { c.running.Wait() }

// handovers returns the number of handovers in progress.
func (c *peerClient) handovers() int64 { return c.activeHandovers.Load() }

// start runs f in a goroutine that wait waits for.
func (c *peerClient) start(f func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		f()
	}()
}

// clientFor returns the client of an incarnation, and false if its address is not
// known.
func (c *peerClient) clientFor(id ident.Incarnation) (dockpbconnect.AgentServiceClient, bool) {
	address, ok := c.agent.peers.address(id)
	if !ok {
		return nil, false
	}
	return c.clients.At(address), true
}

// context returns a context that ends when the incarnation is declared gone.
func (c *peerClient) context(id ident.Incarnation) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, ok := c.contexts[id]
	if !ok {
		ctx, c.cancels[id] = context.WithCancel(context.Background())
		c.contexts[id] = ctx
	}
	return ctx
}

// abort ends every call to an incarnation that is gone.
func (c *peerClient) abort(id ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.cancels[id]; ok {
		cancel()
		delete(c.cancels, id)
		delete(c.contexts, id)
	}
}

// deliver passes an event to the home.
func (c *peerClient) deliver(e home.Event) { c.agent.home.box.Put(e) }

// seal asks a former home to seal a key.
func (c *peerClient) seal(a home.RequestSeal) {
	c.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), sealTimeout)
		defer cancel()
		resp, err := c.clients.At(a.Peer.Address).Seal(ctx, connect.NewRequest(&dockpb.SealRequest{
			Key:   rpc.KeyToProto(a.Key),
			From:  string(c.agent.cfg.Self),
			To:    string(a.Peer.Incarnation),
			Epoch: uint64(a.Epoch),
		}))
		c.deliver(sealAnswer(a, resp, err))
	})
}

func sealAnswer(a home.RequestSeal, resp *connect.Response[dockpb.SealResponse], err error) home.SealAnswered {
	e := home.SealAnswered{Key: a.Key, Peer: a.Peer.Incarnation}
	switch {
	case rpc.IsReplaced(err):
		e.Verdict = home.Replaced
		e.GoneFor = rpc.TargetGoneFor(err)
	case err != nil:
		e.Verdict = home.Unreachable
	default:
		e.Verdict = sealVerdict(resp.Msg.GetVerdict())
		e.Vouches = vouchesFromProto(resp.Msg.GetVouches())
	}
	return e
}

// revoke asks a gate to drop the tasks of a job that have not started.
func (c *peerClient) revoke(r home.Revoke) {
	if r.Agent == c.agent.cfg.Self {
		c.agent.gate.box.Offer(gate.Revoke{Home: r.Agent, Key: r.Key})
		return
	}
	c.bestEffort(r.Agent, func(ctx context.Context, cl dockpbconnect.AgentServiceClient) error {
		_, err := cl.Revoke(ctx, connect.NewRequest(&dockpb.RevokeRequest{
			Key:  rpc.KeyToProto(r.Key),
			Home: string(c.agent.cfg.Self),
			To:   string(r.Agent),
		}))
		return err
	})
}

// bestEffort makes one call and ignores its error. It is for calls that may be
// lost at no other cost than a delay.
func (c *peerClient) bestEffort(to ident.Incarnation, call func(context.Context, dockpbconnect.AgentServiceClient) error) {
	cl, ok := c.clientFor(to)
	if !ok {
		return
	}
	c.start(func() {
		ctx, cancel := context.WithTimeout(c.context(to), bestEffortTimeout)
		defer cancel()
		_ = call(ctx, cl)
	})
}

// handover sends records to their next home in chunks. Invariant: the last
// chunk is sent only after all others were acknowledged, since on receiving it
// the new home vouches that it has every record.
func (c *peerClient) handover(h home.Handover) {
	c.activeHandovers.Add(1)
	c.start(func() {
		defer c.activeHandovers.Add(-1)
		rest := h.Records
		for len(rest) > handoverChunk {
			if !c.handoverChunk(&h, rest[:handoverChunk], false) {
				return
			}
			rest = rest[handoverChunk:]
		}
		c.handoverChunk(&h, rest, true)
	})
}

// handoverChunk sends one chunk, in up to handoverTries attempts, and reports
// whether it was acknowledged.
func (c *peerClient) handoverChunk(h *home.Handover, records []home.Record, last bool) bool {
	req := &dockpb.HandoverRequest{
		From:    string(c.agent.cfg.Self),
		To:      string(h.To.Incarnation),
		Last:    last,
		Epoch:   uint64(h.Epoch),
		Vouches: vouchesToProto(h.Vouches),
	}
	for i := range records {
		req.Records = append(req.Records, recordToProto(&records[i]))
	}
	for range handoverTries {
		if c.handoverOnce(h.To, req) == nil {
			return true
		}
		time.Sleep(retryPause)
	}
	return false
}

func (c *peerClient) handoverOnce(to placement.Member, req *dockpb.HandoverRequest) error {
	ctx, cancel := context.WithTimeout(c.context(to.Incarnation), handoverTimeout)
	defer cancel()
	_, err := c.clients.At(to.Address).Handover(ctx, connect.NewRequest(req))
	return err
}

func recordToProto(r *home.Record) *dockpb.Record {
	return &dockpb.Record{Key: rpc.KeyToProto(r.Key), Digest: r.Digest, Outcome: rpc.OutcomeToProto(&r.Outcome)}
}
