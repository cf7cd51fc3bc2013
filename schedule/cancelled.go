package schedule

import (
	"time"

	"foxtaildock.example/dock/work"
)

// JobCancelled says that a caller has cancelled a job. The entry may have it, may get it later,
// since messages overtake each other and submissions are repeated, or may never see it.
type JobCancelled struct {
	ID work.JobID
	// Age is the time since the cancel.
	Age time.Duration
}

func (JobCancelled) event() {}

const (
	// CancelKept is how long a cancel is remembered: longer than a caller waits for an answer
	// and a request can be under way.
	CancelKept = time.Minute
	// maxCancelled bounds the remembered cancels; the oldest is forgotten first.
	maxCancelled = 20_000
)

const reasonCancelled = "cancelled"

// cancelledJobs are the jobs that were cancelled within CancelKept.
type cancelledJobs struct {
	at    map[work.JobID]time.Duration
	order []work.JobID // in the order in which this entry was told
}

// Cancelled returns the cancels that the entry remembers.
func (c *Core) Cancelled() []JobCancelled {
	c.cancelled.forget(c.now)
	list := make([]JobCancelled, 0, len(c.cancelled.order))
	for _, id := range c.cancelled.order {
		list = append(list, JobCancelled{ID: id, Age: c.now - c.cancelled.at[id]})
	}
	return list
}

func (c *Core) jobCancelled(e JobCancelled) {
	c.cancelled.add(c.now, e)
	if j := c.jobs[e.ID]; j != nil {
		c.finish(j, Dropped, reasonCancelled)
	}
}

// add records a cancel. A repeated one counts from the first.
func (l *cancelledJobs) add(now time.Duration, e JobCancelled) {
	l.forget(now)
	if _, known := l.at[e.ID]; known {
		return
	}
	l.at[e.ID] = now - e.Age
	l.order = append(l.order, e.ID)
}

// forget drops the cancels that are too old, and the oldest if there are too many.
func (l *cancelledJobs) forget(now time.Duration) {
	for len(l.order) > 0 && (len(l.order) >= maxCancelled || now-l.at[l.order[0]] > CancelKept) {
		delete(l.at, l.order[0])
		l.order = l.order[1:]
	}
}

func (l *cancelledJobs) has(now time.Duration, id work.JobID) bool {
	l.forget(now)
	_, known := l.at[id]
	return known
}
