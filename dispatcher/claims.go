package dispatcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/claim"
	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// How an entry claims the jobs that it gets (package claim).
const (
	// claimTimeout bounds a call about a claim: a few round trips between the entries farthest
	// apart. A job is started without the arbiters that don't answer within it.
	claimTimeout = 100 * time.Millisecond
	// locatePause is the pause before an entry is asked again for a job of which it stops the
	// last runs, or if it didn't answer.
	locatePause = 10 * time.Millisecond
	// maxRegistered bounds the records of an arbiter: a few hundred jobs a second, each for as
	// long as its caller waits.
	maxRegistered = 50_000
)

// jobCalls makes the calls about the claim of one job.
type jobCalls struct {
	d   *Dispatcher
	job work.JobID
	// until is when the job's caller stops waiting.
	until time.Duration
	// recent is true if the request was sent shortly before its first claim. That is made in this
	// entry's own register only.
	recent bool
	// began is when the last calls to the arbiters began, and asked are the other entries that
	// were asked then.
	began time.Duration
	asked []string
	// via is the address at which the last located holder is reached: its own, or that of an
	// entry that passes calls on.
	via string
}

// Claim implements claim.Calls. It claims once more if this process was paused meanwhile, since calls
// that got no answer say nothing then.
func (j *jobCalls) Claim(ctx context.Context, mine claim.Holder, absent []claim.Holder) ([]claim.Holder, error) {
	for try := 1; ; try++ {
		j.began = clock.Now()
		holders := j.claimOnce(ctx, mine, absent)
		j.recent = false // what is claimed again may have been held up meanwhile
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if try > 1 || !j.d.tookTooLong(j.began) { // an entry that is always slow doesn't try for ever
			j.d.cfg.Metrics.recordClaim(clock.Now()-j.began, len(holders) > 0)
			return holders, nil
		}
	}
}

// claimAgain claims a job that the core has, after a pause of this process in which other entries
// may have given it up. The job is ended here if another one has it now.
func (d *Dispatcher) claimAgain(ctx context.Context, id work.JobID) {
	mine := d.claims.Another()
	calls := &jobCalls{d: d, job: id, until: clock.Now() + schedule.CancelKept}
	named, err := calls.Claim(ctx, mine, nil)
	if err != nil {
		return // the entry ends
	}
	holder, _, err := claim.Find(ctx, calls, mine, named)
	if err == nil && holder != (claim.Holder{}) {
		d.cfg.Log.Info("another entry has taken over a job", telemetry.JobID(string(id)), telemetry.Peer(holder.Incarnation))
		d.enqueue(schedule.JobMoved{ID: id})
	}
}

// tookTooLong reports whether a claim that began at a time has taken so long that this process must
// have been paused. Other entries take over its jobs after twice as long at the earliest.
func (d *Dispatcher) tookTooLong(began time.Duration) bool {
	return clock.Now()-began > d.cfg.Terms.MaxRunAfterEntryLoss()/2
}

// claimOnce claims the job at its arbiters and in this entry's own register, and returns the other
// holders that they name. An arbiter that doesn't answer counts as silent from then on, and the
// next ones are asked in its place.
func (j *jobCalls) claimOnce(ctx context.Context, mine claim.Holder, absent []claim.Holder) []claim.Holder {
	d := j.d
	named := &holders{}
	named.add(d.register.Claim(j.began, claim.Request{Job: j.job, By: mine, Absent: absent, Until: j.until}))
	if j.recent {
		return named.result(j)
	}
	answering, silent := d.links.arbiters(j.job, j.began)
	req := &linkpb.ClaimRequest{
		Job: string(j.job), By: link.HolderMessage(mine), Absent: link.HolderMessages(absent), WaitMs: (j.until - j.began).Milliseconds(),
	}
	if len(silent) > 0 {
		go d.links.callPeersWithin(d.base, claimTimeout, silent, j.claimCall(req, &holders{}))
	}
	j.asked = nil
	for len(answering) > 0 && ctx.Err() == nil {
		d.links.callPeersWithin(ctx, claimTimeout, answering, j.claimCall(req, named))
		j.asked = append(j.asked, answering...)
		answering, _ = d.links.arbiters(j.job, clock.Now())
		answering = slices.DeleteFunc(answering, func(address string) bool { return slices.Contains(j.asked, address) })
	}
	return named.result(j)
}

// holders are the holders of a job that arbiters name, and whether one knows that it was cancelled.
// They are safe for concurrent use.
type holders struct {
	mu        sync.Mutex
	list      []claim.Holder
	cancelled bool
}

// result returns the holders, none if the job was cancelled: the core answers it so.
func (h *holders) result(j *jobCalls) []claim.Holder {
	if h.cancelled {
		j.d.rememberCancel(schedule.JobCancelled{ID: j.job})
		return nil
	}
	return h.list
}

func (h *holders) add(r claim.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelled = h.cancelled || r.Cancelled
	if r.Other != (claim.Holder{}) && !slices.Contains(h.list, r.Other) {
		h.list = append(h.list, r.Other)
	}
}

// claimCall returns the call that claims the job at an arbiter and adds the holder that it names.
func (j *jobCalls) claimCall(req *linkpb.ClaimRequest, named *holders) peerCall {
	return func(ctx context.Context, address string, _ linkpbconnect.EntryPeerClient) error {
		res, err := j.d.links.claimPeer(address).Claim(ctx, connect.NewRequest(req))
		if err != nil {
			j.d.cfg.Log.Info("arbiter doesn't answer a claim", telemetry.JobID(string(j.job)), telemetry.ReasonText(address), telemetry.Err(err))
		} else {
			named.add(claim.Reply{Other: link.HolderOf(res.Msg.GetHolder()), Cancelled: res.Msg.GetCancelled()})
		}
		return unlessAnswered(err)
	}
}

// unlessAnswered returns nil instead of an error that is an answer of the other entry: it is of an
// older version without the call, or another incarnation, or didn't reach the one that the call
// was for.
func unlessAnswered(err error) error {
	if rpc.IsReplaced(err) || connect.CodeOf(err) == connect.CodeUnimplemented || connect.CodeOf(err) == connect.CodeAborted {
		return nil
	}
	return err
}

// locations are the locations by their messages. A holder that is ending the job is asked again.
var locations = map[linkpb.Location]claim.Location{
	linkpb.Location_LOCATION_UNSPECIFIED: claim.Nowhere,
	linkpb.Location_LOCATION_HERE:        claim.Here,
	linkpb.Location_LOCATION_ELSEWHERE:   claim.Elsewhere,
}

// Locate implements claim.Calls. It asks again while the last runs of the job are being stopped
// there, or if there is no answer, until runs of that holder would have ended.
func (j *jobCalls) Locate(ctx context.Context, mine, holder claim.Holder) (claim.Location, claim.Holder, error) {
	d := j.d
	req := &linkpb.LocateRequest{Job: string(j.job), Holder: link.HolderMessage(holder), By: link.HolderMessage(mine)}
	began := clock.Now()
	for {
		res, err := j.locateOnce(ctx, holder.Address, req)
		switch {
		case err != nil:
			if gone := d.goneFor(holder, err, began); gone >= d.cfg.Terms.MaxRunAfterEntryLoss() {
				d.cfg.Log.Info("entry that held a job is gone", telemetry.JobID(string(j.job)), telemetry.Peer(holder.Incarnation), telemetry.ReasonText(holder.Address), telemetry.Age(gone), telemetry.Err(err))
				return claim.Nowhere, claim.Holder{}, nil
			}
		case res.GetLocation() != linkpb.Location_LOCATION_ENDING:
			return locations[res.GetLocation()], link.HolderOf(res.GetFollowed()), nil
		}
		if !pause.For(ctx, locatePause) {
			return claim.Nowhere, claim.Holder{}, ctx.Err()
		}
	}
}

// located is the answer of a holder, which was reached at the address via.
type located struct {
	via string
	res *linkpb.LocateResponse
	err error
}

// locateOnce asks the holder at an address for the job, also by way of the arbiters. They may reach
// it if this entry doesn't, since one of them has recorded its claim.
func (j *jobCalls) locateOnce(ctx context.Context, address string, req *linkpb.LocateRequest) (*linkpb.LocateResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the first answer is enough
	ways := []string{address}
	for _, via := range j.asked {
		if via != address {
			ways = append(ways, via)
		}
	}
	answers := make(chan located, len(ways))
	for _, via := range ways {
		go func() { answers <- j.locateBy(ctx, via, req) }()
	}
	var err error
	for range ways {
		a := <-answers
		if a.err == nil || rpc.IsReplaced(a.err) {
			j.via = a.via
			return a.res, a.err
		}
		err = a.err
	}
	return nil, err
}

// locateBy asks the holder for the job by way of an entry, which may be the holder itself.
func (j *jobCalls) locateBy(ctx context.Context, via string, req *linkpb.LocateRequest) located {
	a := located{via: via}
	j.d.links.callPeersWithin(ctx, 2*claimTimeout, []string{via}, func(ctx context.Context, _ string, peer linkpbconnect.EntryPeerClient) error {
		res, err := peer.Locate(ctx, connect.NewRequest(req))
		if a.err = err; err == nil {
			a.res = res.Msg
		}
		return unlessAnswered(err)
	})
	return a
}

// goneFor returns for how long a holder that doesn't answer has been gone or unreachable, as far
// as this entry knows.
func (d *Dispatcher) goneFor(h claim.Holder, err error, began time.Duration) time.Duration {
	if rpc.IsReplaced(err) {
		return rpc.TargetGoneFor(err)
	}
	return clock.Now() - min(began, d.links.failingSince(h.Address))
}

// Claim records, as an arbiter of the job, which entry holds it.
func (p Peer) Claim(_ context.Context, req *connect.Request[linkpb.ClaimRequest]) (*connect.Response[linkpb.ClaimResponse], error) {
	now := clock.Now()
	reply := p.Dispatcher.register.Claim(now, claim.Request{
		Job: work.JobID(req.Msg.GetJob()), By: link.HolderOf(req.Msg.GetBy()), Absent: link.HoldersOf(req.Msg.GetAbsent()),
		Until: now + link.Millis(req.Msg.GetWaitMs()),
	})
	res := &linkpb.ClaimResponse{Cancelled: reply.Cancelled}
	if reply.Other != (claim.Holder{}) {
		res.Holder = link.HolderMessage(reply.Other)
	}
	return connect.NewResponse(res), nil
}

// Locate tells whether the holder has a job that another entry claims.
func (p Peer) Locate(ctx context.Context, req *connect.Request[linkpb.LocateRequest]) (*connect.Response[linkpb.LocateResponse], error) {
	d := p.Dispatcher
	if err := d.checkHolder(req.Msg.GetHolder(), req.Msg.GetRelayed()); err != nil {
		return nil, err
	}
	if req.Msg.GetHolder().GetAddress() != d.cfg.Self.Address {
		return d.relayLocate(ctx, req.Msg)
	}
	id := work.JobID(req.Msg.GetJob())
	stand, followed := d.claims.Asked(id, link.HolderOf(req.Msg.GetBy()))
	res := &linkpb.LocateResponse{}
	switch stand {
	case claim.GoesFirst:
		res.Location = linkpb.Location_LOCATION_HERE
	case claim.Follows:
		res.Location, res.Followed = linkpb.Location_LOCATION_ELSEWHERE, link.HolderMessage(followed)
	case claim.NoClaim, claim.Yields: // a job that the core has may be claimed for a further submission
		res.Location = d.locationInCore(id)
	}
	return connect.NewResponse(res), nil
}

// relayLocate passes a request on to the holder, which the entry that asks doesn't reach.
func (d *Dispatcher) relayLocate(ctx context.Context, m *linkpb.LocateRequest) (res *connect.Response[linkpb.LocateResponse], err error) {
	passed := &linkpb.LocateRequest{Job: m.GetJob(), Holder: m.GetHolder(), By: m.GetBy(), Relayed: true}
	d.links.callPeersWithin(ctx, claimTimeout, []string{m.GetHolder().GetAddress()}, func(ctx context.Context, _ string, peer linkpbconnect.EntryPeerClient) error {
		res, err = peer.Locate(ctx, connect.NewRequest(passed))
		return unlessAnswered(err)
	})
	return res, relayedError(err)
}

// errHolderUnreachable is the error of a call that an entry can't pass on.
var errHolderUnreachable = errors.New("the entry that holds the job can't be reached")

// relayedError returns the error of a call that was passed on, for the entry that made it.
func relayedError(err error) error {
	switch {
	case err == nil:
		return nil
	case rpc.IsReplaced(err):
		return rpc.NewReplacedErrorFor(rpc.TargetGoneFor(err))
	}
	return connect.NewError(connect.CodeAborted, errors.Join(errHolderUnreachable, err))
}

// checkHolder returns an error if a call is for another incarnation at this entry's address, or was
// passed on and is for another address.
func (d *Dispatcher) checkHolder(holder *linkpb.Holder, relayed bool) error {
	self := d.cfg.Self
	switch {
	case holder.GetAddress() != self.Address && relayed:
		return connect.NewError(connect.CodeAborted, errHolderUnreachable)
	case holder.GetAddress() == self.Address && holder.GetIncarnation() != string(self.Incarnation):
		return rpc.NewReplacedErrorFor(clock.Now() - d.createdAt)
	}
	return nil
}
