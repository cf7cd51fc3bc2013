// Package admission is the admission control of an entry, as a decision core
// without I/O, clock or goroutines. It enforces the rate and concurrency limits of
// each team (a client account), shares the slots fairly between teams, and refuses
// early the jobs that would miss their deadline. It serves the jobs whose record an
// agent keeps: the entry process runs it before package routing, which sends an
// admitted job to its home, the agent that keeps its record. The gate of an agent is
// the part that sends tasks to its backend server.
//
// Teams are served by weighted fair queueing, the jobs of a team smallest first
// with aging. The cost of a job does not depend on the number of teams, except for
// operations on two heaps: that of the waiting jobs of its team, and that of the
// teams with waiting jobs.
//
// A handicap is a time that is added to a job's arrival time for ordering, so that
// the job is treated as if it had arrived that much later. Larger jobs get one, and so
// do the jobs of teams that use more than their fair share.
package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

const (
	// maxBacklogTime bounds the backlog: the time that the slots need to finish the
	// tasks waiting at homes and gates. Homes start small jobs first, so small
	// jobs wait less.
	maxBacklogTime = 10 * time.Second
	// handicapPerOveruse is the handicap that the jobs of a team get at their homes,
	// while tasks wait for slots, per multiple of its fair share by which the team
	// exceeds that share.
	handicapPerOveruse = 2 * time.Second
	// maxOveruseHandicap is longer than the backlog, so that no job of a team far
	// above its fair share starts before a small job of another team. It is no
	// longer than needed: jobs at the bound keep their order of arrival, which
	// makes their wait predictable.
	maxOveruseHandicap = maxBacklogTime + 5*time.Second
	// heartbeatAge is the assumed age of the load figures from heartbeats when they
	// are used.
	heartbeatAge = 500 * time.Millisecond
	// demandTimeConstant is the time constant of the decaying averages that measure
	// demand.
	demandTimeConstant = 2 * time.Second
	// defaultQueueLimit is the number of jobs of a team that may wait at an entry
	// if its limits set no other number.
	defaultQueueLimit = 200
	// waitMargin is the safety factor on expected waits. A refused job can be
	// submitted again; one that starts and misses its deadline has wasted slots.
	waitMargin = 1.5
	// The handicap for the size of a job, as in dispatch.Queue.
	handicapPerTask = time.Second
	maxSizeHandicap = time.Minute
	// Bounds of the time after which a refused caller is told to retry. The time
	// is drawn between one and retrySpread times the expected wait.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	retrySpread   = 3
	// maxBypassTasks is the largest number of tasks in a job that may be admitted
	// although the backlog is at its bound.
	maxBypassTasks = 8
)

// Config configures the core.
type Config struct {
	// Random draws the retry times of refused callers; if nil, all get the middle
	// of the range.
	Random *rand.Rand
}

// Admission is the decision core. The zero value is not usable; call New. It is
// not safe for concurrent use.
type Admission struct {
	config      Config
	teams       map[ident.Team]*team
	order       []*team // sorted by name
	ready       readyTeams
	rateLimited []*team // waiting until their rate allows the next job
	waiting     map[ident.RequestID]*waitingJob
	admitted    map[ident.RequestID]admittedJob
	capacity    SetCapacity
	total       totalDemand
	running     int
	queued      int
	// activeWeight is the sum of the weights of the teams with demand.
	activeWeight float64
	// virtualTime is the start tag of the team that was served last.
	virtualTime float64
	// recent counts the tasks admitted here too recently to show in heartbeats.
	recent   meter
	sequence uint64
	out      []Action
}

type admittedJob struct {
	team  *team
	tasks int
}

// New returns a core that admits every job until it receives limits or a capacity.
func New(config Config) *Admission {
	return &Admission{
		config:   config,
		teams:    make(map[ident.Team]*team),
		waiting:  make(map[ident.RequestID]*waitingJob),
		admitted: make(map[ident.RequestID]admittedJob),
		total:    newTotalDemand(),
		recent:   meter{timeConstant: heartbeatAge},
	}
}

// Load is the load of the core, for metrics.
type Load struct {
	Teams   int // teams known
	Running int // tasks admitted and not finished
	Queued  int // tasks waiting for admission
}

// Load returns the present load.
func (a *Admission) Load() Load {
	return Load{Teams: len(a.teams), Running: a.running, Queued: a.queued}
}

// Step processes one event at the monotonic time now and returns the actions to
// perform. The returned slice is valid until the next call.
func (a *Admission) Step(now time.Duration, e Event) []Action {
	a.out = a.out[:0]
	switch e := e.(type) {
	case Submit:
		a.submit(now, e)
	case Done:
		a.done(e)
	case CallerGone:
		a.callerGone(e)
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
	a.admitWaiting(now)
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
	if wait > 0 && seconds(waitMargin*wait.Seconds())+a.typicalRun() > e.Deadline {
		a.refuse(e.ID, reason, detail, a.retryAfter(wait))
		return
	}
	a.enqueue(now, t, e)
	a.bypass(now, t)
}

func (a *Admission) enqueue(now time.Duration, t *team, e Submit) {
	a.sequence++
	w := &waitingJob{
		id:         e.ID,
		team:       t,
		tasks:      e.Tasks,
		enqueuedAt: now,
		rank:       now + sizeHandicap(e.Tasks),
		deadline:   now + e.Deadline,
		sequence:   a.sequence,
	}
	a.waiting[e.ID] = w
	if len(t.waiting) == 0 {
		t.startTag = max(t.startTag, a.virtualTime)
	}
	heap.Push(&t.waiting, w)
	if t.heapIndex != notInHeap {
		heap.Fix(&a.ready.heap, t.heapIndex)
	}
	t.queued += w.tasks
	a.queued += w.tasks
	if !t.rateLimited {
		a.ready.add(t)
	}
}

// admitWaiting admits waiting jobs while there is room, and refuses those that can
// no longer meet their deadline.
func (a *Admission) admitWaiting(now time.Duration) {
	for len(a.ready.heap) > 0 {
		t := a.ready.heap[0]
		w := t.waiting[0]
		switch {
		case now+a.typicalRun() > w.deadline && now > w.enqueuedAt:
			a.dequeue(w)
			a.refuse(w.id, job.ReasonDeadline, "the deadline passed before a slot was free", a.retryAfter(minRetryAfter))
		case !a.hasRoom(now):
			return
		case !t.fitsRunningLimit(w.tasks):
			a.ready.remove(t)
		case t.bucket.wait(now, w.tasks) > 0:
			a.holdForRate(now, t, w)
		default:
			a.admitJob(now, w)
		}
	}
}

// bypass admits a small job of a team that demands no more than its fair share,
// whether or not there is room. Homes start it before the larger jobs that make up
// the backlog.
func (a *Admission) bypass(now time.Duration, t *team) {
	if len(t.waiting) == 0 {
		return
	}
	w := t.waiting[0]
	if w.tasks > maxBypassTasks || t.demand.rate(now) > a.fairRate(now, t) {
		return
	}
	if t.fitsRunningLimit(w.tasks) && t.bucket.wait(now, w.tasks) == 0 {
		a.admitJob(now, w)
	}
}

// holdForRate takes a team out of the heap until its rate allows the next job.
func (a *Admission) holdForRate(now time.Duration, t *team, w *waitingJob) {
	a.ready.remove(t)
	t.rateLimited = true
	t.readyAt = now + t.bucket.wait(now, w.tasks)
	a.rateLimited = append(a.rateLimited, t)
}

func (a *Admission) admitJob(now time.Duration, w *waitingJob) {
	t := w.team
	a.virtualTime = max(a.virtualTime, t.startTag)
	t.bucket.take(now, w.tasks)
	t.used.add(now, float64(w.tasks))
	t.running += w.tasks
	a.running += w.tasks
	a.recent.add(now, float64(w.tasks))
	a.admitted[w.id] = admittedJob{team: t, tasks: w.tasks}
	a.dequeue(w)
	t.startTag += float64(w.tasks) / t.weight()
	if t.heapIndex != notInHeap {
		heap.Fix(&a.ready.heap, t.heapIndex)
	}
	a.out = append(a.out, Admit{ID: w.id, Handicap: a.overuseHandicap(now, t)})
}

// dequeue removes a job from the queue of its team.
func (a *Admission) dequeue(w *waitingJob) {
	t := w.team
	heap.Remove(&t.waiting, w.heapIndex)
	delete(a.waiting, w.id)
	t.queued -= w.tasks
	a.queued -= w.tasks
	if len(t.waiting) == 0 {
		a.ready.remove(t)
	} else if t.heapIndex != notInHeap {
		heap.Fix(&a.ready.heap, t.heapIndex)
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
	if len(j.team.waiting) > 0 && !j.team.rateLimited {
		a.ready.add(j.team)
	}
}

func (a *Admission) callerGone(e CallerGone) {
	if w, ok := a.waiting[e.ID]; ok {
		a.dequeue(w)
	}
}

// tick puts teams whose rate allows the next job back into the heap, and updates
// the shares.
func (a *Admission) tick(now time.Duration) {
	kept := a.rateLimited[:0]
	for _, t := range a.rateLimited {
		if now < t.readyAt {
			kept = append(kept, t)
			continue
		}
		t.rateLimited = false
		if len(t.waiting) > 0 {
			a.ready.add(t)
		}
	}
	clear(a.rateLimited[len(kept):])
	a.rateLimited = kept
	a.refreshShares(now)
}

func (a *Admission) refuse(id ident.RequestID, r job.Reason, detail string, retry time.Duration) {
	a.out = append(a.out, Refuse{ID: id, Reason: r, Detail: detail, RetryAfter: retry})
}
