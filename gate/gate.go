// Package gate is the decision core of the executor's gate, the only way to a
// backend server. It decides which task starts when, and it is where the promise
// that every task starts at most once is kept: a task is noted before it is sent,
// and a noted task is never sent again.
//
// The core does no I/O and has no clock. Its caller passes monotonic time to
// Step, performs the returned actions, and reports back by events.
package gate

import (
	"slices"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
)

// Config bounds a gate.
type Config struct {
	// QueueLimit is the number of tasks that may wait for a slot. A longer
	// queue hides load from the homes; a shorter one causes more refusals.
	QueueLimit int
	// Retention is how long notes are kept. It must be longer than any
	// request can be delayed and still be accepted (see MaxAge).
	Retention time.Duration
	// MaxAge is the age at which a request is refused unread.
	MaxAge time.Duration
	// MaxNotes bounds the notes. At the bound new tasks are refused; notes
	// are never dropped early, since that could let a task start twice.
	MaxNotes int
	// ResultBytes bounds the results that are kept for a home that lost its
	// connection. Beyond it the oldest results are dropped, not their notes.
	ResultBytes int
}

// DefaultConfig returns the bounds that a daemon uses unless its settings say
// otherwise.
func DefaultConfig() Config {
	return Config{
		QueueLimit:  256,
		Retention:   job.MaxDeadline + 3*job.ClockSkew,
		MaxAge:      job.MaxDeadline + job.ClockSkew,
		MaxNotes:    200_000,
		ResultBytes: 16 << 20,
	}
}

// noteState is what is known of a task at this gate.
type noteState int

const (
	stateQueued noteState = iota + 1
	stateRunning
	stateRefused
	stateFinished
)

// note is the memory of one task. Notes exist from the moment a task is
// accepted or refused until Retention after its last change.
type note struct {
	home     ident.Incarnation
	request  ident.RequestID
	service  ident.Service
	state    noteState
	attempt  int
	payload  []byte
	deadline time.Duration
	rank     time.Duration
	started  time.Duration
	ran      time.Duration
	verdict  Verdict
	body     []byte
	dropped  bool
	reason   job.Reason
	detail   string
	changed  time.Duration
}

// Stats counts what a gate did, for metrics.
type Stats struct {
	Started  uint64
	Finished uint64
	Failed   uint64
	Refused  uint64
	Attached uint64
	Expired  uint64
}

// Gate is the core. The zero value is not usable; call New.
type Gate struct {
	cfg      Config
	permit   permit.Permit
	services []ident.Service
	slots    int
	running  int
	leaving  bool
	notes    map[ident.TaskID]*note
	queue    rankQueue
	order    []aged // notes by time of last change, for expiry
	results  []ident.TaskID
	bytes    int
	pace     pace
	stats    Stats
	out      []Action
}

// aged is an entry of the expiry order. It is stale if its note has changed
// since.
type aged struct {
	task ident.TaskID
	at   time.Duration
}

// New returns a gate without a backend server and without a permit: it starts
// nothing until it has both.
func New(cfg Config) *Gate {
	return &Gate{
		cfg:   cfg,
		notes: make(map[ident.TaskID]*note),
	}
}

// Stats returns the counters.
func (g *Gate) Stats() Stats { return g.stats }

// Load describes the gate for heartbeats.
type Load struct {
	dispatch.Load
	Slots   int
	Running int
	Notes   int
}

// Load returns the present load.
func (g *Gate) Load() Load {
	return Load{Load: g.brief(), Slots: g.slots, Running: g.running, Notes: len(g.notes)}
}

// brief is what homes need to know.
func (g *Gate) brief() dispatch.Load {
	return dispatch.Load{Free: g.free(), Queued: g.queue.Len(), Pace: g.pace.value(g.slots)}
}

// Step processes one event at the monotonic time now and returns what to do.
// The returned slice is valid until the next call.
func (g *Gate) Step(now time.Duration, e Event) []Action {
	g.out = g.out[:0]
	g.pace.advance(now, g.running, g.slots)
	switch e := e.(type) {
	case Execute:
		g.execute(now, e)
	case Gone:
		// Answers to a request that is gone are kept with their notes.
	case Finished:
		g.finished(now, e)
	case NotSent:
		g.notSent(now, e)
	case SetPermit:
		g.permit = e.Permit
	case SetBackend:
		g.services = slices.Clone(e.Services)
		g.slots = e.Slots
	case Revoke:
		g.revoke(now, e)
	case Leave:
		g.leaving = true
	case Tick:
		g.expire(now)
	}
	g.advance(now)
	return g.out
}

// free returns the number of idle slots.
func (g *Gate) free() int {
	return max(0, g.slots-g.running)
}

// mayStart returns why nothing may start now, or "" if something may. Invariant:
// no Send leaves Step unless mayStart returned "" for the same now.
func (g *Gate) mayStart(now time.Duration) job.Reason {
	switch {
	case g.leaving:
		return job.ReasonStopping
	case !g.permit.Live(now):
		return job.ReasonNoPermit
	case !g.permit.InService:
		return job.ReasonDomainOut
	case g.slots == 0:
		return job.ReasonCannotRun
	}
	return ""
}

func (g *Gate) execute(now time.Duration, e Execute) {
	for i := range e.Tasks {
		g.executeOne(now, &e, &e.Tasks[i])
	}
}

func (g *Gate) executeOne(now time.Duration, e *Execute, t *Task) {
	id := ident.TaskID{Job: e.Key, Index: t.Index}
	n := g.notes[id]
	switch {
	case n == nil:
		g.admit(now, e, t, id)
	case n.home != e.Home:
		g.answerForeign(e, t, id, n)
	case n.state == stateRefused && t.Attempt > n.attempt:
		g.admit(now, e, t, id)
	default:
		g.attach(e, t, id, n)
	}
}

// answerForeign answers a home that asks for a task noted for another home. The
// task may have started on the other home's behalf, so "not started" would be
// a lie that lets it start twice.
func (g *Gate) answerForeign(e *Execute, t *Task, id ident.TaskID, n *note) {
	a := Answer{Request: e.Request, Task: id, Attempt: t.Attempt, Verdict: Ran, Reason: job.ReasonSealed}
	a.Detail = "the task is noted for home " + string(n.home)
	g.emit(a)
}

// attach directs the answer of a noted task to a newer request.
func (g *Gate) attach(e *Execute, t *Task, id ident.TaskID, n *note) {
	g.stats.Attached++
	n.request = e.Request
	switch n.state {
	case stateRefused:
		g.answerRefused(id, n, t.Attempt)
	case stateFinished:
		g.answerFinished(id, n)
	}
}

// admit starts, queues or refuses a task that has no note, or whose earlier
// attempts were refused.
func (g *Gate) admit(now time.Duration, e *Execute, t *Task, id ident.TaskID) {
	if len(g.notes) >= g.cfg.MaxNotes && g.notes[id] == nil {
		g.refuseUnnoted(e, t, id, job.ReasonOverloaded)
		return
	}
	if e.Age > g.cfg.MaxAge {
		g.refuseUnnoted(e, t, id, job.ReasonTooOld)
		return
	}
	n := &note{
		home:     e.Home,
		request:  e.Request,
		service:  e.Service,
		attempt:  t.Attempt,
		payload:  t.Payload,
		deadline: e.Deadline,
		rank:     e.Rank,
	}
	g.notes[id] = n
	if r := g.refusal(now, e); r != "" {
		g.refuse(now, id, n, r)
		return
	}
	n.state = stateQueued
	g.touch(now, id, n)
	g.queue.push(id, n.rank)
}

// refuseUnnoted refuses a task without a note, since there is no room for one or
// since an earlier copy may have run and been forgotten. Such an attempt is not
// sealed, so the verdict is the cautious one: the home gives the job up.
func (g *Gate) refuseUnnoted(e *Execute, t *Task, id ident.TaskID, r job.Reason) {
	g.stats.Refused++
	g.emit(Answer{Request: e.Request, Task: id, Attempt: t.Attempt, Verdict: Ran, Reason: r,
		Detail: "the gate can't promise that the task has not started"})
}

// refusal returns why a task can't be taken now, or "".
func (g *Gate) refusal(now time.Duration, e *Execute) job.Reason {
	if r := g.mayStart(now); r != "" {
		return r
	}
	switch {
	case now >= e.Deadline:
		return job.ReasonDeadline
	case !slices.Contains(g.services, e.Service):
		return job.ReasonCannotRun
	case g.queue.Len() >= g.free()+g.cfg.QueueLimit:
		return job.ReasonOverloaded
	}
	return ""
}

func (g *Gate) refuse(now time.Duration, id ident.TaskID, n *note, r job.Reason) {
	g.stats.Refused++
	n.state = stateRefused
	n.reason = r
	n.payload = nil
	g.touch(now, id, n)
	g.answerRefused(id, n, n.attempt)
}

func (g *Gate) answerRefused(id ident.TaskID, n *note, attempt int) {
	g.emit(Answer{Request: n.request, Task: id, Attempt: attempt, Verdict: NotStarted, Reason: n.reason,
		Load: g.brief()})
}

func (g *Gate) answerFinished(id ident.TaskID, n *note) {
	a := Answer{Request: n.request, Task: id, Attempt: n.attempt, Verdict: n.verdict, Body: n.body,
		Reason: n.reason, Detail: n.detail, Load: g.brief(), Ran: n.ran}
	if n.dropped {
		a.Verdict = Ran
		a.Reason = job.ReasonWorkerLost
		a.Detail = "the result was dropped to make room"
	}
	g.emit(a)
}

// advance starts waiting tasks while slots are idle and starting is allowed, and
// refuses them if it is not.
func (g *Gate) advance(now time.Duration) {
	if r := g.mayStart(now); r != "" {
		g.refuseQueue(now, r)
		return
	}
	for g.queue.Len() > 0 && g.running < g.slots {
		id := g.queue.pop()
		g.start(now, id, g.notes[id])
	}
}

func (g *Gate) refuseQueue(now time.Duration, r job.Reason) {
	for g.queue.Len() > 0 {
		id := g.queue.pop()
		g.refuse(now, id, g.notes[id], r)
	}
}

func (g *Gate) start(now time.Duration, id ident.TaskID, n *note) {
	if now >= n.deadline {
		g.refuse(now, id, n, job.ReasonDeadline)
		return
	}
	g.stats.Started++
	g.running++
	n.state = stateRunning
	n.started = now
	g.touch(now, id, n)
	g.emit(Send{Task: id, Service: n.service, Payload: n.payload, Deadline: n.deadline})
	n.payload = nil
}

func (g *Gate) finished(now time.Duration, e Finished) {
	n := g.notes[e.Task]
	if n == nil || n.state != stateRunning {
		return
	}
	g.running--
	g.stats.Finished++
	g.pace.finished()
	n.ran = now - n.started
	n.state = stateFinished
	n.verdict = Done
	n.body = e.Body
	if !e.OK {
		g.stats.Failed++
		n.verdict = Ran
		n.body = nil
		n.reason = job.ReasonTaskError
		n.detail = e.Detail
	}
	g.keepResult(e.Task, n)
	g.touch(now, e.Task, n)
	g.advance(now)
	g.answerFinished(e.Task, n)
}

// notSent returns a task that the shell could not start. Nothing of it reached
// the backend server, so its attempt is refused like one that never had a slot.
func (g *Gate) notSent(now time.Duration, e NotSent) {
	n := g.notes[e.Task]
	if n == nil || n.state != stateRunning {
		return
	}
	g.running--
	g.stats.Started--
	g.refuse(now, e.Task, n, e.Reason)
}

func (g *Gate) revoke(now time.Duration, e Revoke) {
	removed := g.queue.remove(func(id ident.TaskID) bool {
		return id.Job == e.Key && g.notes[id].home == e.Home
	})
	for _, id := range removed {
		g.refuse(now, id, g.notes[id], job.ReasonCancelled)
	}
}

// keepResult accounts for a result body and drops the oldest bodies beyond the
// bound. Notes stay.
func (g *Gate) keepResult(id ident.TaskID, n *note) {
	if len(n.body) == 0 {
		return
	}
	g.bytes += len(n.body)
	g.results = append(g.results, id)
	for g.bytes > g.cfg.ResultBytes && len(g.results) > 1 {
		g.dropResult(g.results[0])
		g.results = g.results[1:]
	}
}

func (g *Gate) dropResult(id ident.TaskID) {
	n := g.notes[id]
	if n == nil || n.body == nil {
		return
	}
	g.bytes -= len(n.body)
	n.body = nil
	n.dropped = true
}

// touch restarts the retention of a note.
func (g *Gate) touch(now time.Duration, id ident.TaskID, n *note) {
	n.changed = now
	g.order = append(g.order, aged{task: id, at: now})
}

// expire drops notes that are older than Retention and refuses waiting tasks
// whose deadline has passed.
func (g *Gate) expire(now time.Duration) {
	for len(g.order) > 0 && now-g.order[0].at >= g.cfg.Retention {
		g.forget(now, g.order[0])
		g.order = g.order[1:]
	}
	for len(g.results) > 0 && g.notes[g.results[0]] == nil {
		g.results = g.results[1:]
	}
	removed := g.queue.remove(func(id ident.TaskID) bool { return now >= g.notes[id].deadline })
	for _, id := range removed {
		g.refuse(now, id, g.notes[id], job.ReasonDeadline)
	}
}

// forget drops the note if it has not changed since the entry was made. A
// running or queued task is never forgotten.
func (g *Gate) forget(now time.Duration, a aged) {
	n := g.notes[a.task]
	if n == nil || n.changed != a.at {
		return
	}
	if n.state == stateRunning || n.state == stateQueued {
		g.touch(now, a.task, n)
		return
	}
	g.bytes -= len(n.body)
	g.stats.Expired++
	delete(g.notes, a.task)
}

func (g *Gate) emit(a Action) { g.out = append(g.out, a) }
