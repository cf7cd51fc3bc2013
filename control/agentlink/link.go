package agentlink

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/mailbox"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
)

// Sizes and intervals of a Link.
const (
	inboxSize    = 256
	maxEntries   = 32
	tickInterval = 250 * time.Millisecond
)

// event is a message to the goroutine that owns the Link's state.
type event interface{ linkEvent() }

// prepareHeartbeat asks for the next heartbeat to an entry.
type prepareHeartbeat struct {
	address string
	reply   chan preparedHeartbeat
}

// preparedHeartbeat is a heartbeat and the time at which it was built.
type preparedHeartbeat struct {
	request *dockpb.HeartbeatRequest
	at      time.Duration
}

// heartbeatAnswer reports the answer to a heartbeat that was sent at sentAt.
type heartbeatAnswer struct {
	address  string
	sentAt   time.Duration
	response *dockpb.HeartbeatResponse
}

// entriesListed reports the addresses of the entries that the table lists.
type entriesListed struct{ addresses []string }

// intentReceived reports an IntentRequest: the announcement of a change or its
// outcome. The reply says whether the agent acknowledges it.
type intentReceived struct {
	request *dockpb.IntentRequest
	reply   chan bool
}

func (prepareHeartbeat) linkEvent() {}
func (heartbeatAnswer) linkEvent()  {}
func (entriesListed) linkEvent()    {}
func (intentReceived) linkEvent()   {}

// entryState is what is known of the entry at one address.
type entryState struct {
	incarnation ident.Incarnation
	// echo is the newest echo of the incarnation. The next heartbeat returns it
	// to the entry.
	echo uint64
	// heardAt is when the entry last answered; listedAt is when it last
	// answered or the table or another entry last listed its address.
	heardAt, listedAt time.Duration
	stop              context.CancelFunc
}

// Link sends the heartbeats of one agent and handles their answers. The goroutine
// of Run owns its state; other goroutines send events to it.
type Link struct {
	cfg   Config
	agent Agent
	inbox *mailbox.Box[event]

	// The fields below are accessed only by the goroutine of Run.
	ctx       context.Context
	holder    permit.Holder
	placement *placement.Placement
	peers     *peerStates
	// joined is the epoch in which the agent joined the placement, zero if it
	// has not seen itself listed.
	joined  ident.Epoch
	entries map[string]*entryState
	// nextSearchAt is the earliest time of the next look-up in the table;
	// searching is true while a look-up is running.
	nextSearchAt time.Duration
	searching    bool
	removed      bool
	senders      sync.WaitGroup
}

// New returns a Link that does nothing until Run. It returns an error if the
// config is not valid.
func New(cfg Config, a Agent) (*Link, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("link to the entries: %w", err)
	}
	return &Link{
		cfg:       cfg,
		agent:     a,
		inbox:     mailbox.New[event](inboxSize),
		placement: placement.New(0, nil),
		peers:     newPeerStates(),
		entries:   make(map[string]*entryState),
	}, nil
}

// Run exchanges heartbeats with the entries until the context ends.
func (l *Link) Run(ctx context.Context) {
	l.ctx = ctx
	for _, s := range l.cfg.Seeds {
		l.addEntry(s)
	}
	l.inbox.Run(ctx, tickInterval, l.step, l.tick)
	l.senders.Wait()
}

// Intent handles an IntentRequest of an entry and reports whether the agent
// acknowledges it. The caller must have checked that the request is addressed to
// this incarnation.
func (l *Link) Intent(ctx context.Context, r *dockpb.IntentRequest) bool {
	e := intentReceived{request: r, reply: make(chan bool, 1)}
	if !l.inbox.Offer(e) {
		return false
	}
	select {
	case ok := <-e.reply:
		return ok
	case <-ctx.Done():
		return false
	}
}

func (l *Link) step(e event) {
	switch e := e.(type) {
	case prepareHeartbeat:
		e.reply <- l.buildHeartbeat(e.address)
	case heartbeatAnswer:
		l.handleAnswer(e)
	case entriesListed:
		l.searching = false
		for _, a := range e.addresses {
			l.addEntry(a)
		}
	case intentReceived:
		e.reply <- l.answerIntent(e.request)
	}
}

// buildHeartbeat returns the next heartbeat to an entry. Echo, intent and known
// state are read together, so that the entry may rely on intent and known state
// being from after the reply that the echo names.
func (l *Link) buildHeartbeat(address string) preparedHeartbeat {
	now := l.agent.Now()
	n := l.agent.Announcement()
	known := l.holder.Known()
	p := l.holder.Permit()
	r := &dockpb.HeartbeatRequest{
		Self:    rpc.AnnouncementToProto(&n),
		Version: uint64(p.Version),
		Epoch:   uint64(l.placement.Epoch),
		Confirmation: &dockpb.Confirmation{
			Version: uint64(known.Version),
			Epoch:   uint64(known.Epoch),
		},
		Intent:  l.holder.Intent(),
		Joined:  uint64(l.joined),
		Running: uint32(max(n.Running, 0)),
		Jobs:    uint32(max(n.Jobs, 0)),
	}
	if s, ok := l.entries[address]; ok {
		r.Entry = string(s.incarnation)
		r.Echo = s.echo
	}
	return preparedHeartbeat{request: r, at: now}
}

func (l *Link) handleAnswer(e heartbeatAnswer) {
	now := l.agent.Now()
	r := e.response
	s, ok := l.entries[e.address]
	if !ok {
		return
	}
	s.heardAt = now
	s.listedAt = now
	l.recordEcho(s, ident.Incarnation(r.GetEntry()), r.GetEcho())
	l.settle(r.GetSettled())
	l.confirm(e.sentAt, r.GetConfirmation())
	l.setPlacement(r.GetPlacement())
	l.offerPermit(e.sentAt, now, r.GetPermit())
	l.updatePeers(s.incarnation, r.GetPeers())
	for _, other := range r.GetEntries() {
		l.addEntry(other.GetAddress())
	}
	if r.GetRemoved() && !l.removed {
		l.removed = true
		l.agent.Removed()
	}
}

// recordEcho keeps the newest echo of an entry's incarnation. Answers may arrive out
// of order.
func (l *Link) recordEcho(s *entryState, id ident.Incarnation, echo uint64) {
	if s.incarnation != id {
		l.peers.removeEntry(s.incarnation)
		s.incarnation = id
		s.echo = 0
	}
	s.echo = max(s.echo, echo)
}

func (l *Link) settle(s *dockpb.SettledIntent) {
	if s == nil {
		return
	}
	l.holder.Settle(s.GetId(), rpc.StateFromProto(s.GetVersion(), s.GetEpoch()))
}

func (l *Link) confirm(sentAt time.Duration, c *dockpb.Confirmation) {
	if c == nil {
		return
	}
	state := rpc.StateFromProto(c.GetVersion(), c.GetEpoch())
	l.holder.Confirm(permit.ConfirmationFromAnswer(sentAt, state, rpc.Duration(c.GetAgeMs())))
}

func (l *Link) setPlacement(p *dockpb.Placement) {
	if p == nil || ident.Epoch(p.GetEpoch()) <= l.placement.Epoch {
		return
	}
	l.placement = rpc.PlacementFromProto(p)
	if m, ok := l.placement.Member(l.cfg.Self); ok {
		l.joined = m.Joined
	}
	l.agent.SetPlacement(l.placement)
}

func (l *Link) offerPermit(sentAt, now time.Duration, p *dockpb.Permit) {
	if p == nil {
		return
	}
	before := l.holder.Permit()
	l.holder.Offer(sentAt, now, permit.Grant{
		State:     rpc.StateFromProto(p.GetVersion(), p.GetEpoch()),
		InService: p.GetInService(),
		Ramp:      rpc.Duration(p.GetRampMs()),
		Remaining: rpc.Duration(p.GetRemainingMs()),
	})
	if after := l.holder.Permit(); after != before {
		l.agent.SetPermit(after)
	}
}

func (l *Link) updatePeers(entry ident.Incarnation, peers []*dockpb.Peer) {
	if len(peers) == 0 {
		return
	}
	agents := make([]membership.Agent, 0, len(peers))
	for _, p := range peers {
		a, ok := l.peers.add(entry, rpc.PeerFromProto(p))
		if ok && a.Incarnation != l.cfg.Self {
			agents = append(agents, a)
		}
	}
	l.agent.SetPeers(agents)
}

func (l *Link) answerIntent(r *dockpb.IntentRequest) bool {
	if r.GetSettled() {
		l.holder.Settle(r.GetId(), rpc.StateFromProto(r.GetVersion(), r.GetEpoch()))
		return true
	}
	return l.holder.Announce(r.GetId())
}

// tick removes entries that are silent and no longer listed, except seeds, and
// looks up entries in the table while none answers.
func (l *Link) tick() {
	now := l.agent.Now()
	answering := false
	for address, s := range l.entries {
		silence := now - s.heardAt
		answering = answering || silence < permit.Lease
		if silence >= permit.Lease {
			l.peers.removeEntry(s.incarnation)
		}
		if now-max(s.heardAt, s.listedAt) >= l.cfg.ForgetAfter && !slices.Contains(l.cfg.Seeds, address) {
			s.stop()
			delete(l.entries, address)
		}
	}
	if !answering && l.cfg.Table != nil && !l.searching && now >= l.nextSearchAt {
		l.searching = true
		l.nextSearchAt = now + l.cfg.SearchInterval
		l.senders.Add(1)
		go l.search()
	}
}

// addEntry starts heartbeats to an address unless they are already running.
func (l *Link) addEntry(address string) {
	now := l.agent.Now()
	if s, ok := l.entries[address]; ok {
		s.listedAt = now
		return
	}
	if address == "" || len(l.entries) >= maxEntries {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	// A new entry counts as silent, so that a seed that does not answer does
	// not delay the look-up in the table.
	l.entries[address] = &entryState{heardAt: now - permit.Lease, listedAt: now, stop: stop}
	l.senders.Add(1)
	go l.sendLoop(ctx, address)
}
