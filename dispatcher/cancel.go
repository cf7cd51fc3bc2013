package dispatcher

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/clock"
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
	// maxUndelivered bounds the cancels that are kept for one entry; the oldest is dropped first.
	maxUndelivered = 4096
)

// cancelRelay holds the cancels that other entries have yet to be told.
type cancelRelay struct {
	mu sync.Mutex
	// queues are by address of the entry. One that is in the map has a goroutine that
	// empties it.
	queues map[string][]undelivered
}

type undelivered struct {
	id work.JobID
	at time.Duration // by package clock
}

// Cancel cancels a job at all entries. It reports whether one of them had it, or may have it
// since it hasn't answered yet.
func (d *Dispatcher) Cancel(ctx context.Context, id work.JobID) bool {
	found := d.cancelLocal(id)
	if found {
		for _, address := range d.links.peerAddresses() {
			d.tellLater(address, id)
		}
	} else {
		found = d.cancelOnPeers(ctx, id)
	}
	go d.cancelOnGonePeers(id)
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
	d.enqueue(schedule.JobCancelled{ID: id})
	return found
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

// cancelOnGonePeers tells the entries that count as gone once, in case one of them is back.
func (d *Dispatcher) cancelOnGonePeers(id work.JobID) {
	d.links.callPeers(d.base, d.links.gonePeers(), func(ctx context.Context, _ string, peer linkpbconnect.EntryPeerClient) error {
		_, err := cancelOn(ctx, peer, id)
		return err
	})
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
