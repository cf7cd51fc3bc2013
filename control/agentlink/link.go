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

// Sizes and bounds.
const (
	boxSize      = 256
	maxEntries   = 32
	tickInterval = 250 * time.Millisecond
)

// event is what other goroutines ask of the one that owns the link's state.
type event interface{ linkEvent() }

// draft asks for the next heartbeat to an entry.
type draft struct {
	address string
	reply   chan drafted
}

// drafted is a heartbeat and the time at which it was written.
type drafted struct {
	request *dockpb.HeartbeatRequest
	at      time.Duration
}

// answered reports the answer to a heartbeat.
type answered struct {
	address  string
	sentAt   time.Duration
	response *dockpb.HeartbeatResponse
}

// listed reports addresses of entries that the table names.
type listed struct{ addresses []string }

// announced reports an intent; see the protocol.
type announced struct {
	request *dockpb.IntentRequest
	reply   chan bool
}

func (draft) linkEvent()     {}
func (answered) linkEvent()  {}
func (listed) linkEvent()    {}
func (announced) linkEvent() {}

// entryState is what the link keeps of one entry address.
type entryState struct {
	incarnation ident.Incarnation
	echo        uint64
	// heardAt is when an answer last came, listedAt when the address was last
	// named by somebody.
	heardAt, listedAt time.Duration
	stop              context.CancelFunc
}

// Link is the heartbeat duty of one agent.
type Link struct {
	cfg   Config
	agent Agent
	box   *mailbox.Box[event]

	// The rest belongs to the goroutine of Run.
	ctx       context.Context
	holder    permit.Holder
	placement *placement.Placement
	peers     *peerBook
	// joined is the epoch in which the agent found itself listed first.
	joined  ident.Epoch
	entries map[string]*entryState
	// searchAt is when the table is asked next, and searching whether an
	// answer is awaited.
	searchAt  time.Duration
	searching bool
	removed   bool
	senders   sync.WaitGroup
}

// New returns a link that does nothing until Run.
func New(cfg Config, a Agent) (*Link, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("link to the entries: %w", err)
	}
	return &Link{
		cfg:       cfg,
		agent:     a,
		box:       mailbox.New[event](boxSize),
		placement: placement.New(0, nil),
		peers:     newPeerBook(),
		entries:   make(map[string]*entryState),
	}, nil
}

// Run keeps in touch with the entries until the context ends.
func (l *Link) Run(ctx context.Context) {
	l.ctx = ctx
	for _, s := range l.cfg.Seeds {
		l.meet(s)
	}
	l.box.Run(ctx, tickInterval, l.step, l.tick)
	l.senders.Wait()
}

// Intent answers the intents of entries. Agents hand their IntentRequests here.
// It returns false if the agent does not acknowledge; the caller checks that the
// request is meant for this incarnation.
func (l *Link) Intent(ctx context.Context, r *dockpb.IntentRequest) bool {
	e := announced{request: r, reply: make(chan bool, 1)}
	if !l.box.Offer(e) {
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
	case draft:
		e.reply <- l.draft(e.address)
	case answered:
		l.answered(e)
	case listed:
		l.searching = false
		for _, a := range e.addresses {
			l.meet(a)
		}
	case announced:
		e.reply <- l.announced(e.request)
	}
}

// draft writes a heartbeat. The echo goes in together with the intent and the
// known state, so that the entry may take all three as written after the echo.
func (l *Link) draft(address string) drafted {
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
	return drafted{request: r, at: now}
}

func (l *Link) answered(e answered) {
	now := l.agent.Now()
	r := e.response
	s, ok := l.entries[e.address]
	if !ok {
		return
	}
	s.heardAt = now
	s.listedAt = now
	l.noteEcho(s, ident.Incarnation(r.GetEntry()), r.GetEcho())
	l.settle(r.GetSettled())
	l.confirm(e.sentAt, r.GetConfirmation())
	l.place(r.GetPlacement())
	l.offer(e.sentAt, now, r.GetPermit())
	l.tellPeers(s.incarnation, r.GetPeers())
	for _, other := range r.GetEntries() {
		l.meet(other.GetAddress())
	}
	if r.GetRemoved() && !l.removed {
		l.removed = true
		l.agent.Removed()
	}
}

// noteEcho keeps the newest echo of an entry's incarnation. Answers may cross.
func (l *Link) noteEcho(s *entryState, id ident.Incarnation, echo uint64) {
	if s.incarnation != id {
		l.peers.forget(s.incarnation)
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

func (l *Link) place(p *dockpb.Placement) {
	if p == nil || ident.Epoch(p.GetEpoch()) <= l.placement.Epoch {
		return
	}
	l.placement = rpc.PlacementFromProto(p)
	if m, ok := l.placement.Member(l.cfg.Self); ok {
		l.joined = m.Joined
	}
	l.agent.SetPlacement(l.placement)
}

func (l *Link) offer(sentAt, now time.Duration, p *dockpb.Permit) {
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

func (l *Link) tellPeers(entry ident.Incarnation, peers []*dockpb.Peer) {
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

func (l *Link) announced(r *dockpb.IntentRequest) bool {
	if r.GetSettled() {
		l.holder.Settle(r.GetId(), rpc.StateFromProto(r.GetVersion(), r.GetEpoch()))
		return true
	}
	return l.holder.Announce(r.GetId())
}

// tick gives up entries that are silent and listed nowhere, and looks for
// others in the table while none answers.
func (l *Link) tick() {
	now := l.agent.Now()
	answering := false
	for address, s := range l.entries {
		silence := now - s.heardAt
		answering = answering || silence < permit.Lease
		if silence >= permit.Lease {
			l.peers.forget(s.incarnation)
		}
		if now-max(s.heardAt, s.listedAt) >= l.cfg.ForgetAfter && !slices.Contains(l.cfg.Seeds, address) {
			s.stop()
			delete(l.entries, address)
		}
	}
	if !answering && l.cfg.Table != nil && !l.searching && now >= l.searchAt {
		l.searching = true
		l.searchAt = now + l.cfg.SearchInterval
		l.senders.Add(1)
		go l.search()
	}
}

// meet starts heartbeats to an address unless they go on already.
func (l *Link) meet(address string) {
	now := l.agent.Now()
	if s, ok := l.entries[address]; ok {
		s.listedAt = now
		return
	}
	if address == "" || len(l.entries) >= maxEntries {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	// A new entry counts as silent, so that a seed that is gone does not keep
	// the link from searching.
	l.entries[address] = &entryState{heardAt: now - permit.Lease, listedAt: now, stop: stop}
	l.senders.Add(1)
	go l.send(ctx, address)
}
