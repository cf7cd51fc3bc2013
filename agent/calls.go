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

// Times of calls to other agents.
const (
	// noticeTimeout bounds calls whose loss costs nothing but time.
	noticeTimeout = time.Second
	// sealTimeout bounds one question to a former home.
	sealTimeout = time.Second
	// handoverTimeout bounds one attempt to pass records on.
	handoverTimeout = 3 * time.Second
	// handoverTries is the number of attempts.
	handoverTries = 5
	// handoverChunk is the number of records in one call.
	handoverChunk = 200
	// retryPause is the wait before the same incarnation is called again.
	retryPause = 50 * time.Millisecond
)

// caller makes the calls to other agents, each in a goroutine of its own.
type caller struct {
	agent   *Agent
	clients *rpc.AgentClients
	running sync.WaitGroup
	handing atomic.Int64

	mu    sync.Mutex
	lost  map[ident.Incarnation]context.CancelFunc
	alive map[ident.Incarnation]context.Context
}

func newCaller(a *Agent) *caller {
	return &caller{
		agent:   a,
		clients: rpc.NewAgentClients(),
		lost:    make(map[ident.Incarnation]context.CancelFunc),
		alive:   make(map[ident.Incarnation]context.Context),
	}
}

// wait returns once every call has ended.
func (c *caller) wait() { c.running.Wait() }

func (c *caller) handovers() int64 { return c.handing.Load() }

func (c *caller) start(f func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		f()
	}()
}

// to returns the client of an incarnation.
func (c *caller) to(id ident.Incarnation) (dockpbconnect.AgentServiceClient, bool) {
	address, ok := c.agent.peers.address(id)
	if !ok {
		return nil, false
	}
	return c.clients.At(address), true
}

// context returns a context that ends when the incarnation is declared gone.
func (c *caller) context(id ident.Incarnation) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, ok := c.alive[id]
	if !ok {
		ctx, c.lost[id] = context.WithCancel(context.Background())
		c.alive[id] = ctx
	}
	return ctx
}

// abort ends every call to an incarnation that is gone.
func (c *caller) abort(id ident.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.lost[id]; ok {
		cancel()
		delete(c.lost, id)
		delete(c.alive, id)
	}
}

// deliver passes an event to the home.
func (c *caller) deliver(e home.Event) { c.agent.home.box.Put(e) }

// seal asks a former home for its seal.
func (c *caller) seal(a home.RequestSeal) {
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
		e.GoneFor = rpc.GoneFor(err)
	case err != nil:
		e.Verdict = home.Unreachable
	default:
		e.Verdict = sealVerdict(resp.Msg.GetVerdict())
		e.Vouches = vouchesFromProto(resp.Msg.GetVouches())
	}
	return e
}

// revoke drops the waiting tasks of a job at a gate.
func (c *caller) revoke(r home.Revoke) {
	if r.Agent == c.agent.cfg.Self {
		c.agent.gate.box.Offer(gate.Revoke{Home: r.Agent, Key: r.Key})
		return
	}
	c.notice(r.Agent, func(ctx context.Context, cl dockpbconnect.AgentServiceClient) error {
		_, err := cl.Revoke(ctx, connect.NewRequest(&dockpb.RevokeRequest{
			Key:  rpc.KeyToProto(r.Key),
			Home: string(c.agent.cfg.Self),
			To:   string(r.Agent),
		}))
		return err
	})
}

// notice makes a call whose loss costs nothing but time.
func (c *caller) notice(to ident.Incarnation, call func(context.Context, dockpbconnect.AgentServiceClient) error) {
	cl, ok := c.to(to)
	if !ok {
		return
	}
	c.start(func() {
		ctx, cancel := context.WithTimeout(c.context(to), noticeTimeout)
		defer cancel()
		_ = call(ctx, cl)
	})
}

// handover passes records to the next home in chunks. Invariant: the last chunk
// is sent only after all others were acknowledged, since it makes the receiver
// vouch for every record.
func (c *caller) handover(h home.Handover) {
	c.handing.Add(1)
	c.start(func() {
		defer c.handing.Add(-1)
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

// handoverChunk sends one chunk, trying again for a while, and reports whether
// it was acknowledged.
func (c *caller) handoverChunk(h *home.Handover, records []home.Record, last bool) bool {
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

func (c *caller) handoverOnce(to placement.Member, req *dockpb.HandoverRequest) error {
	ctx, cancel := context.WithTimeout(c.context(to.Incarnation), handoverTimeout)
	defer cancel()
	_, err := c.clients.At(to.Address).Handover(ctx, connect.NewRequest(req))
	return err
}

func recordToProto(r *home.Record) *dockpb.Record {
	return &dockpb.Record{Key: rpc.KeyToProto(r.Key), Digest: r.Digest, Outcome: rpc.OutcomeToProto(&r.Outcome)}
}
