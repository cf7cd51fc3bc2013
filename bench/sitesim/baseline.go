package sitesim

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/work"
)

// entryCore is the decision core of an entry.
type entryCore interface {
	Step(now time.Duration, e schedule.Event) []schedule.Action
}

// baseline is the simple policy that the experiments compare with: a bounded FIFO
// queue, each task on the least loaded backend server with enough free capacity, and
// retries of failed runs until the attempts are used up. It ignores priorities,
// estimates, speeds and health, and never gives up a run of its own accord.
type baseline struct {
	queue        []*baselineJob
	jobs         map[work.JobID]*baselineJob
	agents       map[ident.Incarnation]*baselineAgent
	sortedAgents []*baselineAgent
	actions      []schedule.Action
}

// baselineQueueLimit is the limit of the queue in jobs: about what arrives at one of
// three entries in half a second of the users' usual load.
const baselineQueueLimit = 25

type baselineJob struct {
	schedule.Job
	waiting   []work.Run
	remaining int
	failures  int
}

type baselineAgent struct {
	id       ident.Incarnation
	server   work.Server
	used     work.Demand
	sequence uint64
	inFlight []work.Demand
	sent     []uint64
}

func newBaseline() *baseline {
	return &baseline{jobs: map[work.JobID]*baselineJob{}, agents: map[ident.Incarnation]*baselineAgent{}}
}

// Step processes one event and returns the actions that follow from it.
func (b *baseline) Step(now time.Duration, e schedule.Event) []schedule.Action {
	b.actions = nil
	switch e := e.(type) {
	case schedule.JobArrived:
		b.arrived(e.Job)
	case schedule.AgentAttached:
		a := &baselineAgent{id: e.Agent}
		b.agents[e.Agent] = a
		b.sortedAgents = append(b.sortedAgents, a)
		slices.SortFunc(b.sortedAgents, func(x, y *baselineAgent) int { return cmp.Compare(x.id, y.id) })
	case schedule.AgentRoomReported:
		b.room(e)
	case schedule.RunEnded:
		b.ended(e)
	case schedule.Tick:
		b.expire(now)
	}
	b.dispatch()
	return b.actions
}

func (b *baseline) arrived(job schedule.Job) {
	if len(b.queue) >= baselineQueueLimit {
		b.actions = append(b.actions, schedule.Answer{ID: job.ID, Verdict: schedule.Rejected, FirstStart: -1})
		return
	}
	j := &baselineJob{Job: job, remaining: job.Steps[0].Count}
	for i := range job.Steps[0].Count {
		j.waiting = append(j.waiting, work.Run{Task: work.Task{Job: job.ID, Index: i}, ID: 1})
	}
	b.jobs[job.ID] = j
	b.queue = append(b.queue, j)
}

func (b *baseline) room(e schedule.AgentRoomReported) {
	a := b.agents[e.Agent]
	a.server, a.used = e.Server, e.Used
	for _, q := range e.Queued {
		a.used = a.used.Plus(q.Demand)
	}
	for len(a.sent) > 0 && a.sent[0] <= e.LastOfferIncluded {
		a.sent, a.inFlight = a.sent[1:], a.inFlight[1:]
	}
}

func (b *baseline) ended(e schedule.RunEnded) {
	j := b.jobs[e.Run.Task.Job]
	if j == nil {
		return
	}
	if e.Outcome == work.Done {
		if j.remaining--; j.remaining == 0 {
			b.answer(j, schedule.Completed)
		}
		return
	}
	if e.Outcome == work.Failed {
		if j.failures++; j.failures >= j.Route.Attempts {
			b.answer(j, schedule.FailedJob)
			return
		}
	}
	if len(j.waiting) == 0 {
		b.queue = append([]*baselineJob{j}, b.queue...)
	}
	j.waiting = append(j.waiting, work.Run{Task: e.Run.Task, ID: e.Run.ID + 1})
}

func (b *baseline) answer(j *baselineJob, v schedule.Verdict) {
	delete(b.jobs, j.ID)
	b.queue = slices.DeleteFunc(b.queue, func(q *baselineJob) bool { return q == j })
	b.actions = append(b.actions, schedule.Answer{ID: j.ID, Verdict: v})
}

func (b *baseline) expire(now time.Duration) {
	for _, id := range sortedKeys(b.jobs) {
		if j := b.jobs[id]; now >= j.Deadline {
			b.answer(j, schedule.TimedOut)
		}
	}
}

func (b *baseline) dispatch() {
	for len(b.queue) > 0 {
		j := b.queue[0]
		for len(j.waiting) > 0 {
			a := b.leastLoaded(j.Steps[0].Demand)
			if a == nil {
				return
			}
			b.place(a, j, j.waiting[0])
			j.waiting = j.waiting[1:]
		}
		b.queue = b.queue[1:]
	}
}

func (a *baselineAgent) free() work.Demand {
	free := a.server.Capacity.Minus(a.used)
	for _, d := range a.inFlight {
		free = free.Minus(d)
	}
	return free
}

func (b *baseline) leastLoaded(d work.Demand) *baselineAgent {
	var best *baselineAgent
	for _, a := range b.sortedAgents {
		if a.server.Incarnation == "" || a.server.Draining || !d.Fits(a.free()) {
			continue
		}
		if best == nil || a.free().CPUMilli > best.free().CPUMilli {
			best = a
		}
	}
	return best
}

func (b *baseline) place(a *baselineAgent, j *baselineJob, r work.Run) {
	a.sequence++
	a.sent = append(a.sent, a.sequence)
	a.inFlight = append(a.inFlight, j.Steps[0].Demand)
	b.actions = append(b.actions, schedule.SendOffers{
		Agent: a.id, Sequence: a.sequence, Job: j.ID, Spec: j.Spec, Service: j.Route.Service,
		Tasks: []schedule.OfferedTask{{Run: r, Demand: j.Steps[0].Demand}},
	})
}
