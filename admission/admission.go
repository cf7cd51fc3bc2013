// Package admission is the decision core that an entry asks before it passes a
// job on. It holds each team to its rate and concurrency, shares what slots there
// are fairly between teams, and refuses early what would miss its deadline.
//
// A job costs the same small number of steps whatever the number of teams is,
// but for two heaps, one of the waiting jobs of its team and one of the teams
// with waiting jobs.
package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// Constants of admission.
const (
	// backlogTime is how long the tasks that wait at homes and gates may take.
	// Homes start small jobs first, so small jobs don't wait that long.
	backlogTime = 10 * time.Second
	// overuseHandicap sets the jobs of a team back at their homes for each time
	// that it exceeds its fair part, while tasks wait for slots.
	overuseHandicap = 2 * time.Second
	// longestOveruse is longer than the backlog, so that no job of a team far above
	// its part goes before a small job of another. It is no longer than needed:
	// jobs at the bound keep their order, which makes their wait predictable.
	longestOveruse = backlogTime + 5*time.Second
	// loadDelay is how old the numbers of heartbeats are when they are used.
	loadDelay = 500 * time.Millisecond
	// demandMemory is the time over which demand is measured.
	demandMemory = 2 * time.Second
	// defaultQueued is the number of jobs of a team that may wait, unless its
	// limits say otherwise.
	defaultQueued = 200
	// waitMargin is the safety factor of expected waits. A job that is refused
	// may come back; one that starts and misses its deadline has wasted slots.
	waitMargin = 1.5
	// Handicaps set larger jobs back, as in dispatch.Queue.
	taskHandicap    = time.Second
	longestHandicap = time.Minute
	// Bounds of the time after which a refused caller may come back. It is
	// drawn between one and retrySpread times the expected wait.
	shortestRetry = 200 * time.Millisecond
	longestRetry  = 30 * time.Second
	retrySpread   = 3
	// smallJob is the largest number of tasks in a job that may pass though
	// there is no room.
	smallJob = 8
)

// Config configures the core.
type Config struct {
	// Random spreads the callers that come back.
	Random *rand.Rand
}

// Admission is the core. The zero value is not usable; call New.
type Admission struct {
	config   Config
	teams    map[ident.Team]*team
	order    []*team // by name
	ready    readyTeams
	parked   []*team // wait for their rate
	waiting  map[ident.RequestID]*waitingJob
	admitted map[ident.RequestID]admittedJob
	capacity SetCapacity
	total    share
	running  int
	queued   int
	// activeWeight is the sum of the weights of the teams with demand.
	activeWeight float64
	// virtual is the tag of the team that was served last.
	virtual float64
	// recent counts the tasks admitted here too lately for heartbeats to show.
	recent   meter
	sequence uint64
	out      []Action
}

type admittedJob struct {
	team  *team
	tasks int
}

// New returns a core that admits everything until it has limits or a capacity.
func New(config Config) *Admission {
	return &Admission{
		config:   config,
		teams:    make(map[ident.Team]*team),
		waiting:  make(map[ident.RequestID]*waitingJob),
		admitted: make(map[ident.RequestID]admittedJob),
		total:    newShare(),
		recent:   meter{memory: loadDelay},
	}
}

// Load describes the core for metrics.
type Load struct {
	Teams   int
	Running int
	Queued  int
}

// Load returns the present load, in tasks.
func (a *Admission) Load() Load {
	return Load{Teams: len(a.teams), Running: a.running, Queued: a.queued}
}

// Step processes one event at the monotonic time now and returns what to do.
// The returned slice is valid until the next call.
func (a *Admission) Step(now time.Duration, e Event) []Action {
	a.out = a.out[:0]
	switch e := e.(type) {
	case Submit:
		a.submit(now, e)
	case Done:
		a.done(e)
	case Gone:
		a.gone(e)
	case SetLimits:
		a.setLimits(now, e)
	case SetCapacity:
		a.capacity = e
	case PeerDemand:
		a.peerDemand(now, e)
	case PeerGone:
		a.peerGone(now, e)
	case Tick:
		a.tick(now)
	}
	a.admit(now)
	return a.out
}

func (a *Admission) submit(now time.Duration, e Submit) {
	t := a.team(e.Team)
	t.demand.add(now, float64(e.Tasks))
	a.total.own.add(now, float64(e.Tasks))
	if t.limits.Running > 0 && e.Tasks > t.limits.Running {
		a.refuse(e.ID, job.ReasonQuota, "the job has more tasks than its team may run", 0)
		return
	}
	wait, reason, detail := a.expectedWait(now, t, e.Tasks)
	if t.queued > 0 && len(t.waiting) >= t.queueLimit() {
		a.refuse(e.ID, reason, "the team's queue is full: "+detail, a.retryAfter(wait))
		return
	}
	if wait > 0 && seconds(waitMargin*wait.Seconds())+a.usualRun() > e.Deadline {
		a.refuse(e.ID, reason, detail, a.retryAfter(wait))
		return
	}
	a.enqueue(now, t, e)
	a.bypass(now, t)
}

func (a *Admission) enqueue(now time.Duration, t *team, e Submit) {
	a.sequence++
	w := &waitingJob{
		id:       e.ID,
		team:     t,
		tasks:    e.Tasks,
		since:    now,
		rank:     now + handicap(e.Tasks),
		deadline: now + e.Deadline,
		sequence: a.sequence,
	}
	a.waiting[e.ID] = w
	if len(t.waiting) == 0 {
		t.tag = max(t.tag, a.virtual)
	}
	heap.Push(&t.waiting, w)
	if t.position != notInHeap {
		heap.Fix(&a.ready.heap, t.position)
	}
	t.queued += w.tasks
	a.queued += w.tasks
	if !t.parked {
		a.ready.enter(t)
	}
}

// admit passes waiting jobs on while there is room.
func (a *Admission) admit(now time.Duration) {
	for len(a.ready.heap) > 0 {
		t := a.ready.heap[0]
		w := t.waiting[0]
		switch {
		case now+a.usualRun() > w.deadline && now > w.since:
			a.drop(w)
			a.refuse(w.id, job.ReasonDeadline, "the deadline passed before a slot was free", a.retryAfter(shortestRetry))
		case !a.hasRoom(now):
			return
		case !t.runningRoom(w.tasks):
			a.ready.leave(t)
		case t.bucket.wait(now, w.tasks) > 0:
			a.park(now, t, w)
		default:
			a.pass(now, w)
		}
	}
}

// bypass passes a small job of a team that uses less than its fair part, though
// there is no room. Homes start it before the larger ones that fill the room.
func (a *Admission) bypass(now time.Duration, t *team) {
	if len(t.waiting) == 0 {
		return
	}
	w := t.waiting[0]
	if w.tasks > smallJob || t.demand.rate(now) > a.fairRate(now, t) {
		return
	}
	if t.runningRoom(w.tasks) && t.bucket.wait(now, w.tasks) == 0 {
		a.pass(now, w)
	}
}

// park takes a team out until its rate allows the next job.
func (a *Admission) park(now time.Duration, t *team, w *waitingJob) {
	a.ready.leave(t)
	t.parked = true
	t.readyAt = now + t.bucket.wait(now, w.tasks)
	a.parked = append(a.parked, t)
}

func (a *Admission) pass(now time.Duration, w *waitingJob) {
	t := w.team
	a.virtual = max(a.virtual, t.tag)
	t.bucket.take(now, w.tasks)
	t.used.add(now, float64(w.tasks))
	t.running += w.tasks
	a.running += w.tasks
	a.recent.add(now, float64(w.tasks))
	a.admitted[w.id] = admittedJob{team: t, tasks: w.tasks}
	a.drop(w)
	t.tag += float64(w.tasks) / t.weight()
	if t.position != notInHeap {
		heap.Fix(&a.ready.heap, t.position)
	}
	a.out = append(a.out, Admit{ID: w.id, Handicap: a.overuse(now, t)})
}

// drop takes a job out of its queue.
func (a *Admission) drop(w *waitingJob) {
	t := w.team
	heap.Remove(&t.waiting, w.position)
	delete(a.waiting, w.id)
	t.queued -= w.tasks
	a.queued -= w.tasks
	if len(t.waiting) == 0 {
		a.ready.leave(t)
	} else if t.position != notInHeap {
		heap.Fix(&a.ready.heap, t.position)
	}
}

func (a *Admission) done(e Done) {
	j, ok := a.admitted[e.ID]
	if !ok {
		return
	}
	delete(a.admitted, e.ID)
	j.team.running -= j.tasks
	a.running -= j.tasks
	if len(j.team.waiting) > 0 && !j.team.parked {
		a.ready.enter(j.team)
	}
}

func (a *Admission) gone(e Gone) {
	if w, ok := a.waiting[e.ID]; ok {
		a.drop(w)
	}
}

// tick lets parked teams go on and refreshes the shares.
func (a *Admission) tick(now time.Duration) {
	kept := a.parked[:0]
	for _, t := range a.parked {
		if now < t.readyAt {
			kept = append(kept, t)
			continue
		}
		t.parked = false
		if len(t.waiting) > 0 {
			a.ready.enter(t)
		}
	}
	clear(a.parked[len(kept):])
	a.parked = kept
	a.refreshShares(now)
}

func (a *Admission) refuse(id ident.RequestID, r job.Reason, detail string, retry time.Duration) {
	a.out = append(a.out, Refuse{ID: id, Reason: r, Detail: detail, RetryAfter: retry})
}
