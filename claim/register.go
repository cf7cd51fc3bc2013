// Package claim decides which entry runs a job of which several submissions may be under way,
// at different entries. It has no I/O; package dispatcher makes the calls.
//
// A caller that gets no answer submits its job again, at any entry. Its first request may be at
// an entry that doesn't know that its caller has left, or still be held up in the network. So an
// entry claims a job before it starts any of it. An arbiter, an entry that a hash of the job's ID
// selects, records who holds the job (Register); there are more of them while entries may disagree
// on who is there (Arbiters). An entry that is told of another holder asks that one, since only the holder knows whether the job is still there, and waits for its
// answer if so. Claims that are made at the same time are decided between their entries (Claims).
//
// Invariant: of two entries that claim a job at an arbiter that both reach, at most one runs it
// at a time, whatever the delays of requests and of the ends of connections.
package claim

import (
	"slices"
	"sync"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Holder is an entry that holds a job, or claims it.
type Holder struct {
	Incarnation ident.Incarnation
	// Address is the host and port at which other entries reach it.
	Address string
	// Number is that of the claim, rising within the incarnation, so that an entry that didn't
	// have the job and has claimed it since isn't taken for absent.
	Number uint64
}

// Request is a claim of a job at an arbiter.
type Request struct {
	Job work.JobID
	By  Holder
	// Absent are holders that said that they don't have the job, or that are gone. A record
	// that names one of them is replaced.
	Absent []Holder
	// Until is when the caller of the job stops waiting, on the arbiter's clock. The record is
	// needed no longer.
	Until time.Duration
}

// Register is what an arbiter remembers. It is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	limit   int
	records map[work.JobID]record
	order   []work.JobID // by time of the first claim
}

type record struct {
	holder    Holder
	cancelled bool
	until     time.Duration
}

// Reply is an arbiter's reply to a claim.
type Reply struct {
	// Other is the entry that holds the job. It is empty if the claim was recorded.
	Other Holder
	// Cancelled is true if the job was cancelled. Nobody may start it.
	Cancelled bool
}

// NewRegister returns an empty register of at most limit records; the oldest is dropped first.
func NewRegister(limit int) *Register {
	return &Register{limit: limit, records: map[work.JobID]record{}}
}

// Claim records that an entry holds a job, unless another one does already or it was cancelled.
func (r *Register) Claim(now time.Duration, q Request) Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	old, known := r.records[q.Job]
	switch {
	case old.cancelled:
		return Reply{Cancelled: true}
	case known && old.holder.Incarnation != q.By.Incarnation && !slices.Contains(q.Absent, old.holder):
		return Reply{Other: old.holder}
	}
	r.put(q.Job, record{holder: q.By, until: max(q.Until, old.until)})
	return Reply{}
}

// Cancel records that a job was cancelled, which is remembered until the given time.
func (r *Register) Cancel(now time.Duration, job work.JobID, until time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	r.put(job, record{cancelled: true, until: until})
}

func (r *Register) put(job work.JobID, n record) {
	if _, known := r.records[job]; !known {
		r.order = append(r.order, job)
	}
	r.records[job] = n
}

// forget drops the oldest records while they are out of date or too many.
func (r *Register) forget(now time.Duration) {
	for len(r.order) > 0 && (len(r.order) >= r.limit || r.records[r.order[0]].until < now) {
		delete(r.records, r.order[0])
		r.order = r.order[1:]
	}
}
