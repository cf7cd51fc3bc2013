package admission

import (
	"container/heap"
	"time"

	"foxtaildock.example/dock/ident"
)

// team is the state of one team at this entry.
type team struct {
	name   ident.Team
	limits Limits
	bucket bucket
	// demand measures the tasks submitted here, used the tasks admitted here.
	demand meter
	used   meter
	// running is the number of tasks admitted here and not finished.
	running int
	waiting jobHeap
	// queued is the number of tasks in waiting.
	queued int
	// startTag is the virtual time, in the sense of weighted fair queueing, at
	// which the team's next job is due. It grows by tasks/weight with each
	// admitted job, so that teams with waiting jobs get slots in proportion to
	// their weights.
	startTag float64
	// share is this entry's share of the team's limits, between 0 and 1.
	share float64
	// peers is the demand at the other entries, in tasks per second.
	peers       map[ident.Incarnation]float64
	heapIndex   int           // in readyTeams, or notInHeap
	readyAt     time.Duration // when the rate allows the next job, if rateLimited
	rateLimited bool          // in Admission.rateLimited
}

const notInHeap = -1

// finishTag returns the virtual time at which the team's next job would end if all
// teams were served simultaneously in proportion to their weights. Serving teams in
// this order shares the slots by weight and favours small jobs of teams with little
// demand.
func (t *team) finishTag() float64 {
	if len(t.waiting) == 0 {
		return t.startTag
	}
	return t.startTag + float64(t.waiting[0].tasks)/t.weight()
}

func (t *team) weight() float64 { return float64(max(1, t.limits.Weight)) }

// fitsRunningLimit reports whether n more tasks may run. A job may exceed the share
// if nothing else of the team runs here; otherwise a small share could block it
// forever.
func (t *team) fitsRunningLimit(n int) bool {
	if t.limits.Running == 0 || t.running == 0 {
		return true
	}
	return float64(t.running+n) <= t.share*float64(t.limits.Running)
}

// setRate applies the limits and the share to the bucket.
func (t *team) setRate(now time.Duration) {
	rate := t.share * float64(t.limits.StartsPerSecond)
	burst := t.share * float64(t.limits.Burst)
	if t.limits.Burst == 0 {
		burst = rate
	}
	t.bucket.set(now, rate, max(1, burst))
}

// waitingJob is a job that waits for admission.
type waitingJob struct {
	id         ident.RequestID
	team       *team
	tasks      int
	enqueuedAt time.Duration
	rank       time.Duration // time of arrival plus handicap for size
	deadline   time.Duration
	sequence   uint64
	heapIndex  int
}

// jobHeap implements heap.Interface: the waiting jobs of one team by rank, so that
// small jobs come first but large ones are not starved.
type jobHeap []*waitingJob

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	w := x.(*waitingJob)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}

// teamHeap implements heap.Interface: the teams with waiting jobs whose own limits
// allow the next one, the least finish tag first.
type teamHeap []*team

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool {
	if a, b := h[i].finishTag(), h[j].finishTag(); a != b {
		return a < b
	}
	return h[i].name < h[j].name
}

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = notInHeap
	return t
}

// readyTeams is the heap of the teams that may be served next, with the sum of their
// weights.
type readyTeams struct {
	heap   teamHeap
	weight float64
}

// add puts a team into the heap, unless it is there already.
func (r *readyTeams) add(t *team) {
	if t.heapIndex == notInHeap {
		heap.Push(&r.heap, t)
		r.weight += t.weight()
	}
}

// remove takes a team out of the heap, if it is there.
func (r *readyTeams) remove(t *team) {
	if t.heapIndex != notInHeap {
		heap.Remove(&r.heap, t.heapIndex)
		r.weight -= t.weight()
	}
}

// weightShare returns the team's share of the slots, by weight among the teams in
// the heap and itself.
func (r *readyTeams) weightShare(t *team) float64 {
	others := r.weight
	if t.heapIndex != notInHeap {
		others -= t.weight()
	}
	return t.weight() / (others + t.weight())
}
