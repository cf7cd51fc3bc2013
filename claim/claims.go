package claim

import (
	"context"
	"sync"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Claims are the claims of one entry that aren't settled, and the jobs that it follows. It is
// safe for concurrent use.
type Claims struct {
	self Holder // without a number
	mu   sync.Mutex
	open map[work.JobID]*claim
	last uint64 // number of the newest claim
}

// claim is the claim of one job.
type claim struct {
	phase phase
	// other is the entry that goes before this one: one to which the claim has yielded, or the
	// one that the entry follows.
	other Holder
	// settled is closed once the claim is over or the entry follows another one.
	settled chan struct{}
}

type phase int

const (
	deciding phase = iota
	// granted: the job is about to be passed to the entry's core.
	granted
	// following: the entry waits for the answer of another one.
	following
)

// NewClaims returns the claims of an entry, which has none yet.
func NewClaims(self ident.Incarnation, address string) *Claims {
	return &Claims{self: Holder{Incarnation: self, Address: address}, open: map[work.JobID]*claim{}}
}

// Begin begins a claim, and returns the claim as other entries see it. It waits while another
// submission of the job is claimed at this entry. If the entry follows another one for it, it
// returns that one, and no claim begins. The error is the context's if that ends first. Only
// after a claim that has begun End has to be called.
func (c *Claims) Begin(ctx context.Context, job work.JobID) (mine, followed Holder, err error) {
	for {
		mine, earlier := c.begin(job)
		if earlier == nil {
			return mine, Holder{}, nil
		}
		select {
		case <-earlier.settled:
		case <-ctx.Done():
			return Holder{}, Holder{}, ctx.Err()
		}
		if other, follows := c.followed(job); follows {
			return Holder{}, other, nil
		}
	}
}

// begin begins a claim, or returns the earlier one.
func (c *Claims) begin(job work.JobID) (mine Holder, earlier *claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier := c.open[job]; earlier != nil {
		return Holder{}, earlier
	}
	c.open[job] = &claim{settled: make(chan struct{})}
	return c.next(), nil
}

// Another returns a further claim, of a job that the entry's core has already.
func (c *Claims) Another() Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next()
}

// next returns a claim with the next number.
func (c *Claims) next() Holder {
	c.last++
	mine := c.self
	mine.Number = c.last
	return mine
}

// followed returns the entry that this one follows for a job.
func (c *Claims) followed(job work.JobID) (Holder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[job]
	if o == nil || o.phase != following {
		return Holder{}, false
	}
	return o.other, true
}

// settle ends the decision: the entry runs the job, unless the claim has yielded to another one
// since it began, was resumed or should have been settled last. That one is returned then, and the
// claim goes on.
func (c *Claims) settle(job work.JobID) (other Holder, yielded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[job]
	if o.other != (Holder{}) {
		other, o.other = o.other, Holder{}
		return other, true
	}
	o.phase = granted
	return Holder{}, false
}

// follow records that the entry waits for the answer of another one.
func (c *Claims) follow(job work.JobID, other Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[job]
	o.phase, o.other = following, other
	close(o.settled)
}

// Resume makes the entry claim a job again, since the one that it followed hasn't answered it or
// its claim has become too old. It returns the new claim.
func (c *Claims) Resume(job work.JobID) Holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[job]
	if o.phase == following {
		o.settled = make(chan struct{})
	}
	o.phase, o.other = deciding, Holder{}
	return c.next()
}

// End ends a claim: the job was passed to the core, answered by another entry, or given up.
func (c *Claims) End(job work.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[job]
	delete(c.open, job)
	if o.phase != following {
		close(o.settled)
	}
}

// Stand is how an entry stands towards another one that claims a job.
type Stand int

// The stands.
const (
	// NoClaim: the entry doesn't claim the job. Its core may have it.
	NoClaim Stand = iota
	// GoesFirst: the entry runs the job, or goes on with its claim, and the other one has to
	// follow it.
	GoesFirst
	// Yields: the other entry goes first.
	Yields
	// Follows: the entry waits for the answer of a third one.
	Follows
)

// Asked returns how the entry stands towards one that claims a job, and whom it follows. Of two
// claims that are both being decided that of the lower incarnation goes first, whichever of the
// two entries is asked.
func (c *Claims) Asked(job work.JobID, by Holder) (Stand, Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.open[job]
	switch {
	case o == nil:
		return NoClaim, Holder{}
	case o.phase == following:
		return Follows, o.other
	case o.phase == granted || c.self.Incarnation < by.Incarnation:
		return GoesFirst, Holder{}
	}
	if o.other == (Holder{}) || by.Incarnation <= o.other.Incarnation {
		o.other = by
	}
	return Yields, Holder{}
}

// Settled waits until no claim of the job is being decided, or the context ends. It reports
// whether the entry's core may have the job then.
func (c *Claims) Settled(ctx context.Context, job work.JobID) bool {
	c.mu.Lock()
	o := c.open[job]
	if o == nil {
		c.mu.Unlock()
		return true
	}
	settled := o.settled
	c.mu.Unlock()
	select {
	case <-settled:
	case <-ctx.Done():
		return false
	}
	_, follows := c.followed(job)
	return !follows
}
