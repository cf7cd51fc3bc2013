package admission

import (
	"container/heap"
	"time"

	"foxtaildock.example/dock/ident"
)

// team is what an entry keeps of one team.
type team struct {
	name   ident.Team
	limits Limits
	bucket bucket
	demand meter
	// used is the rate of tasks admitted here.
	used meter
	// running is the number of tasks admitted here and not finished.
	running int
	waiting jobHeap
	// queued is the number of tasks that wait here.
	queued int
	// tag is the virtual time at which the team's next job is due. It grows
	// with the tasks admitted by the weight, so that teams with waiting jobs
	// get slots in proportion to their weights.
	tag float64
	// share is this entry's part of the team's limits.
	share float64
	// peers is the demand at the other entries.
	peers    map[ident.Incarnation]float64
	position int // in the heap of teams that may go on, or notInHeap
	readyAt  time.Duration
	parked   bool // in the list of teams that wait for their rate
}

const notInHeap = -1

// finishTag is the virtual time at which the team's next job would end if every
// team were served at once in proportion to its weight. Serving by it shares the
// slots by weight and favours small jobs of teams that ask for little.
func (t *team) finishTag() float64 {
	if len(t.waiting) == 0 {
		return t.tag
	}
	return t.tag + float64(t.waiting[0].tasks)/t.weight()
}

func (t *team) weight() float64 { return float64(max(1, t.limits.Weight)) }

// runningRoom reports whether n more tasks may run. A job may exceed the share
// if nothing else of the team runs here, or small shares would block it for good.
func (t *team) runningRoom(n int) bool {
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

// waitingJob is one job that waits for admission.
type waitingJob struct {
	id       ident.RequestID
	team     *team
	tasks    int
	since    time.Duration
	rank     time.Duration
	deadline time.Duration
	sequence uint64
	position int
}

// jobHeap implements heap.Interface: the waiting jobs of one team, small ones
// first with aging.
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
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	w := x.(*waitingJob)
	w.position = len(*h)
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

// teamHeap implements heap.Interface: the teams with waiting jobs that their own
// limits let pass, the least finish tag first.
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
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.position = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.position = notInHeap
	return t
}

// readyTeams is the heap together with the sum of its weights.
type readyTeams struct {
	heap   teamHeap
	weight float64
}

// enter puts a team that may go on into the heap.
func (r *readyTeams) enter(t *team) {
	if t.position == notInHeap {
		heap.Push(&r.heap, t)
		r.weight += t.weight()
	}
}

// leave takes a team out of the heap.
func (r *readyTeams) leave(t *team) {
	if t.position != notInHeap {
		heap.Remove(&r.heap, t.position)
		r.weight -= t.weight()
	}
}

// part is the team's part of the slots among the teams in the heap.
func (r *readyTeams) part(t *team) float64 {
	others := r.weight
	if t.position != notInHeap {
		others -= t.weight()
	}
	return t.weight() / (others + t.weight())
}
