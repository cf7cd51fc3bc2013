package dispatcher

import (
	"context"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/claim"
	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// peerTimeout bounds calls between entries. It can be short, since they answer from
// memory.
const peerTimeout = 400 * time.Millisecond

// peerAddresses returns the addresses of the other entries, sorted, without those that count as
// gone.
func (l *links) peerAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.addresses(false)
}

// gonePeers returns the addresses of the other entries that count as gone.
func (l *links) gonePeers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers.addresses(true)
}

// arbiters returns the addresses of the other entries that are arbiters of a job. Of the silent ones
// it returns those that weren't called lately. Usually that is one entry. While one is silent, two
// are asked, since others may see it otherwise; and after one has become known, also those that
// entries ask which don't know it yet.
func (l *links) arbiters(id work.JobID, now time.Duration) (answering, silent []string) {
	self := l.dispatcher.cfg.Self
	own := claim.Candidate{Address: self.Address, Domain: self.Domain}
	l.mu.Lock()
	defer l.mu.Unlock()
	all, established, anySilent := l.peers.candidates(now)
	others := 1
	if anySilent || len(all) <= 2 { // with two others all are asked
		others = 2
	}
	list := claim.Arbiters(id, self.Address, append(all, own), others)
	if len(established) < len(all) {
		list = append(list, claim.Arbiters(id, self.Address, append(established, own), others)...)
	}
	for _, a := range list {
		switch {
		case a.Address == self.Address, slices.Contains(answering, a.Address), slices.Contains(silent, a.Address):
		case !a.Silent:
			answering = append(answering, a.Address)
		case now-l.peers.byAddress[a.Address].askedAt >= claimTimeout:
			silent = append(silent, a.Address)
		}
	}
	return answering, silent
}

// failingSince returns when the first of the calls ended that an entry has left unanswered since
// its last answer, or now if it has answered the last one or isn't known.
func (l *links) failingSince(address string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.peers.byAddress[address]; p != nil && p.failures > 0 {
		return p.failingSince
	}
	return clock.Now()
}

// peerCall is a call to another entry. It returns why there was no answer.
type peerCall func(ctx context.Context, address string, peer linkpbconnect.EntryPeerClient) error

// callPeers calls other entries at once and returns when all calls have ended.
func (l *links) callPeers(ctx context.Context, addresses []string, call peerCall) {
	l.callPeersWithin(ctx, peerTimeout, addresses, call)
}

// callPeersWithin is callPeers with another bound than peerTimeout.
func (l *links) callPeersWithin(ctx context.Context, timeout time.Duration, addresses []string, call peerCall) {
	if len(addresses) == 0 {
		return
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := clock.Now()
	var wait sync.WaitGroup
	for _, address := range addresses {
		wait.Go(func() {
			err := call(limited, address, l.peer(address))
			gaveUp := ctx.Err() != nil
			paused := clock.Now()-began > 2*timeout // this process, with an answer that wasn't read
			if err == nil || !gaveUp && !paused {
				l.peerCalled(address, err)
			}
		})
	}
	wait.Wait()
}

// peerCalled records the result of a call to another entry.
func (l *links) peerCalled(address string, err error) {
	l.mu.Lock()
	change := l.peers.called(address, err == nil, clock.Now())
	l.mu.Unlock()
	if change.silentFor > missedCancelAfter {
		l.dispatcher.askForCancels() // this entry may be the one that was cut off
	}
	switch {
	case change.gone:
		l.dispatcher.cfg.Log.Info("entry unreachable for too long; it counts as gone", telemetry.ReasonText(address), telemetry.Err(err))
	case change.back:
		l.dispatcher.cfg.Log.Info("entry that counted as gone answers again", telemetry.ReasonText(address))
	}
}

// checkPeersInterval is the pause between two rounds of calls to entries that weren't called
// lately, and peersPerCheck how many are called in one.
const (
	checkPeersInterval = 10 * time.Second
	peersPerCheck      = 100
)

// watchPeers finds out which other entries still exist.
func (d *Dispatcher) watchPeers(ctx context.Context) {
	for pause.For(ctx, checkPeersInterval) {
		d.links.checkPeers(ctx, clock.Now())
	}
}

// checkPeers calls the entries that weren't called lately.
func (l *links) checkPeers(ctx context.Context, now time.Duration) {
	l.mu.Lock()
	due := l.peers.due(now, peersPerCheck)
	l.mu.Unlock()
	l.callPeers(ctx, due, func(ctx context.Context, _ string, peer linkpbconnect.EntryPeerClient) error {
		_, err := peer.Operator(ctx, connect.NewRequest(&linkpb.OperatorRequest{Version: math.MaxUint64})) // for its answer, not for rows
		return err
	})
}

// peer returns the client of the entry at an address.
func (l *links) peer(address string) linkpbconnect.EntryPeerClient {
	return keptClient(&l.peerClients, l.peerClient, address)
}

// claimPeer returns the client for claims at the entry at an address.
func (l *links) claimPeer(address string) linkpbconnect.EntryPeerClient {
	return keptClient(&l.claimPeers, l.claimCalls, address)
}

// keptClient returns the client of an address from kept, where it puts a new one. Making one takes
// as long as a call.
func keptClient(kept *sync.Map, client *http.Client, address string) linkpbconnect.EntryPeerClient {
	if peer, ok := kept.Load(address); ok {
		return peer.(linkpbconnect.EntryPeerClient)
	}
	peer := linkpbconnect.NewEntryPeerClient(client, "http://"+address, rpc.ClientOptions())
	kept.Store(address, peer)
	return peer
}

// rowsPeers is the number of entries that are asked for their operators' rows at a time.
// If none of them has newer ones, the next attempt asks others.
const rowsPeers = 3

// nextPeers returns up to n addresses, beginning at an offset that counts on from call to
// call.
func nextPeers(addresses []string, offset, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	next := make([]string, n)
	for i := range next {
		next[i] = addresses[(offset+i)%len(addresses)]
	}
	return next
}

// fetchOperatorRows asks some of the other entries for newer operators' rows. attempt
// counts the calls and selects which ones.
func (l *links) fetchOperatorRows(ctx context.Context, attempt int) {
	d := l.dispatcher
	rows, _, _ := d.view.current()
	peers := nextPeers(l.peerAddresses(), attempt*rowsPeers, rowsPeers)
	l.callPeers(ctx, peers, func(ctx context.Context, _ string, peer linkpbconnect.EntryPeerClient) error {
		requestedAt := clock.Now()
		res, err := peer.Operator(ctx, connect.NewRequest(&linkpb.OperatorRequest{Version: rows.Version}))
		if err != nil {
			d.cfg.Log.Debug("peer doesn't answer", telemetry.Err(err))
			return err
		}
		if res.Msg.GetRows().GetVersion() == 0 {
			return nil
		}
		got, err := link.OperatorOf(res.Msg.GetRows())
		if err != nil {
			d.cfg.Log.Warn("invalid operators' rows from a peer", telemetry.Err(err))
			return nil
		}
		d.setOperatorRows(got, requestedAt-link.Millis(res.Msg.GetAgeMs()), "peer")
		return nil
	})
}

// Peer serves the calls of other entries, and announcements of agents.
type Peer struct{ Dispatcher *Dispatcher }

// Announce adds the announced process, relays the announcement to the other entries
// unless it was relayed already, and returns the known processes. With an agent that
// announces itself here, because too few entries use it, it opens a session.
func (p Peer) Announce(_ context.Context, req *connect.Request[linkpb.AnnounceRequest]) (*connect.Response[linkpb.AnnounceResponse], error) {
	d := p.Dispatcher
	member := link.MemberOf(req.Msg.GetMember())
	d.links.addMember(member)
	d.links.peerCalled(member.Address, nil) // as good as an answer, if it is an entry
	if !req.Msg.GetRelayed() {
		if member.Role == directory.RoleAgent {
			d.links.pinAgent(member)
		}
		relayed := &linkpb.AnnounceRequest{Member: req.Msg.GetMember(), Relayed: true}
		go d.links.callPeers(d.base, d.links.peerAddresses(), func(ctx context.Context, _ string, peer linkpbconnect.EntryPeerClient) error {
			_, err := peer.Announce(ctx, connect.NewRequest(relayed))
			if err != nil {
				d.cfg.Log.Debug("peer doesn't answer", telemetry.Err(err))
			}
			return err
		})
	}
	res := &linkpb.AnnounceResponse{}
	for _, m := range d.links.members() {
		res.Members = append(res.Members, link.MemberMessage(&m))
	}
	return connect.NewResponse(res), nil
}

// Cancel cancels a job at this entry, also if it arrives later, and tells whether the entry has
// it.
func (p Peer) Cancel(_ context.Context, req *connect.Request[linkpb.CancelRequest]) (*connect.Response[linkpb.CancelResponse], error) {
	found := p.Dispatcher.cancelLocal(work.JobID(req.Msg.GetJob()))
	return connect.NewResponse(&linkpb.CancelResponse{Found: found}), nil
}

// Operator returns this entry's copy of the operators' rows and its age. The rows are
// left out if they are unknown or older than the version in the request, and the
// manifest also if they have that version. An error means that they can't be encoded.
func (p Peer) Operator(_ context.Context, req *connect.Request[linkpb.OperatorRequest]) (*connect.Response[linkpb.OperatorResponse], error) {
	rows, age, known := p.Dispatcher.view.current()
	res := &linkpb.OperatorResponse{AgeMs: age.Milliseconds()}
	if !known || rows.Version < req.Msg.GetVersion() {
		return connect.NewResponse(res), nil
	}
	if rows.Version == req.Msg.GetVersion() {
		res.Rows = link.WithdrawnMessage(&rows)
		return connect.NewResponse(res), nil
	}
	full, err := link.OperatorMessage(&rows)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	res.Rows = full
	return connect.NewResponse(res), nil
}
