package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/rpc/linkpb/linkpbconnect"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
	"foxtaildock.example/dock/work"
)

// A cancel has to reach every entry: the job may be at any of them, or arrive there later. One
// that doesn't answer, since it is frozen or cut off, is told again until it does.
const (
	// cancelRetry is the pause before an entry that didn't answer is told again.
	cancelRetry = 200 * time.Millisecond
	// maxCancelsAtOnce is how many cancels of callers other entries are told at the same time. Each
	// makes a call to every other entry, which takes some 15 KB, and is over in a few round trips.
	maxCancelsAtOnce = 128
	// maxUndelivered bounds the cancels that are kept for one entry; the oldest is dropped first.
	maxUndelivered = 4096
)

// cancelRelay holds the cancels that other entries have yet to be told.
type cancelRelay struct {
	mu sync.Mutex
	// queues are by address of the entry. One that is in the map has a goroutine that
	// empties it.
	queues map[string][]undelivered
	// telling and tellingGone have a place for each cancel that other entries are being told, and
	// for each that those are that count as gone.
	telling, tellingGone chan struct{}
}

type undelivered struct {
	id work.JobID
	at time.Duration // by package clock
}

// Cancel cancels a job at all entries. It reports whether one of them had it, or may have it
// since it hasn't answered yet. It returns after the others were told, so that the cancel that
// the caller sees acknowledged outlives this entry.
func (d *Dispatcher) Cancel(ctx context.Context, id work.JobID) bool {
	found := d.cancelLocal(id)
	select {
	case d.cancels.telling <- struct{}{}:
		defer func() { <-d.cancels.telling }()
	case <-ctx.Done(): // nobody is reached in time; all are told later
	}
	found = d.cancelOnPeers(ctx, id) || found
	d.cancelOnGonePeers(id)
	d.cfg.Log.Info("job cancelled", telemetry.JobID(string(id)), telemetry.OutcomeText(foundText(found)))
	return found
}

func foundText(found bool) string {
	if found {
		return "found"
	}
	return "not found"
}

// cancelLocal cancels a job at this entry, and reports whether the entry has it.
func (d *Dispatcher) cancelLocal(id work.JobID) bool {
	found := d.HasJob(id)
	d.rememberCancel(schedule.JobCancelled{ID: id})
	return found
}

// rememberCancel cancels a job here and, as its arbiter, at entries that claim it.
func (d *Dispatcher) rememberCancel(e schedule.JobCancelled) {
	now := clock.Now()
	d.register.Cancel(now, e.ID, now+schedule.CancelKept-e.Age)
	d.enqueue(e)
}

const (
	// cancelSources is the number of other entries that are asked for the cancels that they
	// remember. Each has been told of all, unless it was away itself.
	cancelSources = 3
	// minLearnInterval is the first pause before an entry that knows too few others, or got no
	// answer, tries again; it doubles up to maxLearnInterval.
	minLearnInterval = 20 * time.Millisecond
	maxLearnInterval = 1 * time.Second
	// missedCancelAfter is how long another entry has to be silent until this one asks for cancels
	// that it may have missed: longer than one call.
	missedCancelAfter = 2 * peerTimeout
	// settleLimit is how long an entry that starts waits for the others: while the store is
	// away it learns of them by its seeds.
	settleLimit = 1 * time.Second
)

// askForCancels makes the entry ask others for the cancels that it may have missed.
func (d *Dispatcher) askForCancels() {
	select {
	case d.cancelsMissed <- struct{}{}:
	default: // it is about to
	}
}

// watchCancels asks other entries for the cancels of before when this entry has started, and each
// time that it may have missed some.
func (d *Dispatcher) watchCancels(ctx context.Context) {
	for {
		d.learnCancels(ctx)
		select {
		case <-d.cancelsMissed:
		case <-ctx.Done():
			return
		}
	}
}

// learnCancels asks other entries for the cancels that they remember, until cancelSources or all have
// answered, this entry may have missed more, or no cancel of before is remembered any longer.
func (d *Dispatcher) learnCancels(ctx context.Context) {
	var mu sync.Mutex
	answered := map[string]bool{}
	interval := minLearnInterval
	for began := clock.Now(); clock.Now()-began < schedule.CancelKept; interval = min(2*interval, maxLearnInterval) {
		sources := d.peersExcept(answered)
		d.links.callPeers(ctx, sources[:min(len(sources), cancelSources-len(answered))], func(ctx context.Context, address string, peer linkpbconnect.EntryPeerClient) error {
			err := unlessAnswered(d.learnCancelsFrom(ctx, peer))
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered[address] = true
			}
			return err
		})
		known := d.listedMembers.Load() || clock.Now()-began > settleLimit
		if known {
			d.settle()
		}
		if len(answered) >= cancelSources || known && len(d.peersExcept(answered)) == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-d.cancelsMissed:
			d.askForCancels()
			return
		case <-time.After(interval):
		}
	}
}

// peersExcept returns the addresses of the other entries without those that have answered.
func (d *Dispatcher) peersExcept(answered map[string]bool) []string {
	return slices.DeleteFunc(d.links.peerAddresses(), func(address string) bool { return answered[address] })
}

// settle ends the time after its start in which the entry starts no jobs, since it doesn't know yet
// who else there is and which jobs were cancelled.
func (d *Dispatcher) settle() { d.settledOnce.Do(func() { close(d.settled) }) }

func (d *Dispatcher) isSettled() bool {
	select {
	case <-d.settled:
		return true
	default:
		return false
	}
}

// learnCancelsFrom asks one entry for the cancels that it remembers.
func (d *Dispatcher) learnCancelsFrom(ctx context.Context, peer linkpbconnect.EntryPeerClient) error {
	res, err := peer.Cancelled(ctx, connect.NewRequest(&linkpb.CancelledRequest{}))
	if err != nil {
		return err
	}
	for _, j := range res.Msg.GetJobs() {
		d.rememberCancel(schedule.JobCancelled{ID: work.JobID(j.GetJob()), Age: max(0, link.Millis(j.GetAgeMs()))})
	}
	if n := len(res.Msg.GetJobs()); n > 0 {
		d.cfg.Log.Info("cancels of before learned from another entry", telemetry.Count(n))
	}
	return nil
}

// Cancelled returns the cancels that this entry remembers.
func (p Peer) Cancelled(context.Context, *connect.Request[linkpb.CancelledRequest]) (*connect.Response[linkpb.CancelledResponse], error) {
	var list []schedule.JobCancelled
	p.Dispatcher.queryCore(func(c *schedule.Core) { list = c.Cancelled() })
	res := &linkpb.CancelledResponse{}
	for _, e := range list {
		res.Jobs = append(res.Jobs, &linkpb.CancelledJob{Job: string(e.ID), AgeMs: e.Age.Milliseconds()})
	}
	return connect.NewResponse(res), nil
}

// cancelOnPeers tells all other entries at once. It reports whether one of them had the job or
// didn't answer; the latter are told again later.
func (d *Dispatcher) cancelOnPeers(ctx context.Context, id work.JobID) bool {
	var mu sync.Mutex
	found := false
	addresses := d.links.peerAddresses()
	d.links.callPeers(ctx, addresses, func(ctx context.Context, address string, peer linkpbconnect.EntryPeerClient) error {
		had, err := cancelOn(ctx, peer, id)
		if err != nil {
			d.cfg.Log.Warn("peer doesn't answer a cancel; telling it again", telemetry.JobID(string(id)), telemetry.ReasonText(address), telemetry.Err(err))
			d.tellLater(address, id)
		}
		mu.Lock()
		defer mu.Unlock()
		found = found || had || err != nil
		return err
	})
	return found
}

// cancelOnGonePeers tells the entries that count as gone once, in case one of them is back. While
// many cancels are under way it leaves that to the entry, which asks for those that it missed.
func (d *Dispatcher) cancelOnGonePeers(id work.JobID) {
	gone := d.links.gonePeers()
	if len(gone) == 0 {
		return
	}
	select {
	case d.cancels.tellingGone <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-d.cancels.tellingGone }()
		d.links.callPeers(d.base, gone, func(ctx context.Context, _ string, peer linkpbconnect.EntryPeerClient) error {
			_, err := cancelOn(ctx, peer, id)
			return err
		})
	}()
}

func cancelOn(ctx context.Context, peer linkpbconnect.EntryPeerClient, id work.JobID) (had bool, err error) {
	res, err := peer.Cancel(ctx, connect.NewRequest(&linkpb.CancelRequest{Job: string(id)}))
	if err != nil {
		return false, err
	}
	return res.Msg.GetFound(), nil
}

// tellLater tells another entry of a cancel, again and again until it answers.
func (d *Dispatcher) tellLater(address string, id work.JobID) {
	r := &d.cancels
	r.mu.Lock()
	defer r.mu.Unlock()
	queue, running := r.queues[address]
	if len(queue) >= maxUndelivered {
		d.cfg.Log.Warn("too many cancels wait for a peer; the oldest is dropped", telemetry.JobID(string(queue[0].id)), telemetry.ReasonText(address))
		queue = queue[1:]
	}
	r.queues[address] = append(queue, undelivered{id, clock.Now()})
	if !running {
		go d.tell(d.base, address)
	}
}

// tell empties the queue of one entry, in order. A cancel that is older than what entries
// remember is dropped.
func (d *Dispatcher) tell(ctx context.Context, address string) {
	for {
		next, ok := d.cancels.first(address)
		if !ok {
			return
		}
		done := clock.Now()-next.at > schedule.CancelKept
		if !done {
			d.links.callPeers(ctx, []string{address}, func(ctx context.Context, _ string, peer linkpbconnect.EntryPeerClient) error {
				_, err := cancelOn(ctx, peer, next.id)
				done = err == nil
				return err
			})
		}
		if done {
			d.cancels.remove(address, next)
			continue
		}
		if !pause.For(ctx, cancelRetry) {
			return
		}
	}
}

// first returns the first cancel for an entry. If there is none, it returns false, and the next
// cancel begins a new queue.
func (r *cancelRelay) first(address string) (undelivered, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue := r.queues[address]
	if len(queue) == 0 {
		delete(r.queues, address)
		return undelivered{}, false
	}
	return queue[0], true
}

// remove removes the first cancel for an entry, unless it was dropped meanwhile.
func (r *cancelRelay) remove(address string, told undelivered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if queue := r.queues[address]; len(queue) > 0 && queue[0] == told {
		r.queues[address] = queue[1:]
	}
}
