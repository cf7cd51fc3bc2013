package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtaildock.example/dock/admission"
	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"

	"foxtaildock.example/bench/sim/eventqueue"
)

// Policy names a dispatch policy.
type Policy string

// The policies.
const (
	PolicyShortestQueue     Policy = "shortest-queue"
	PolicyRandom            Policy = "random"
	PolicyPowerOfTwoChoices Policy = "least-of-two"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	failedRun         = time.Millisecond
	// detectionTasks is the number of tasks that a faulty VM may start before
	// the policy must have detected the fault.
	detectionTasks = 20
	firstEpoch     = 1
	// messagesPerCall counts a call and its answer.
	messagesPerCall = 2
)

// Config configures one run.
type Config struct {
	Site   Site
	Policy Policy
	Seed   uint64
	Trace  Trace
	// WarmUp is the time from the start during which arriving jobs are not
	// measured.
	WarmUp time.Duration
	// Entries is the number of entries that admit jobs; with none every job is
	// sent to its home at once.
	Entries int
	Limits  []admission.Limits
	// Pool configures PolicyShortestQueue; zero means the defaults.
	Pool dispatch.Config
}

// Run runs the trace to its end and returns the measurements.
func Run(config Config) Report {
	w := newWorld(config)
	w.schedule()
	for {
		event, ok := w.events.Pop()
		if !ok {
			break
		}
		event()
	}
	return w.finalReport()
}

// world is a run of one simulated site.
type world struct {
	config    Config
	random    *rand.Rand
	events    eventqueue.Queue[func()]
	agents    []*agent
	entries   []*entry
	byID      map[ident.Incarnation]*agent
	placement *placement.Placement
	jobs      map[ident.JobKey]*jobProgress
	// requests holds the submissions in the order of their identifiers, which
	// start at 1.
	requests   []*jobProgress
	unanswered int
	// remainingArrivals is the number of submissions that are still to come.
	remainingArrivals int
	results           *responses
	report            Report
	faults            faultStats
	overload          overloadStats
}

func newWorld(config Config) *world {
	w := &world{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 2)),
		byID:    make(map[ident.Incarnation]*agent),
		jobs:    make(map[ident.JobKey]*jobProgress, len(config.Trace.Jobs)),
		results: newResponses(config.WarmUp),
	}
	w.report.Policy = config.Policy
	w.report.TasksPerVM = make([]int, config.Site.VMs)
	var members []placement.Member
	for i := range config.Site.VMs {
		a := newAgent(w, i)
		w.agents = append(w.agents, a)
		w.byID[a.self] = a
		members = append(members, placement.Member{Incarnation: a.self, Joined: firstEpoch})
	}
	w.placement = placement.New(firstEpoch, members)
	for i := range config.Entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	return w
}

// newPool returns a pool with the configured policy for the home on one VM.
func (w *world) newPool(vm int) dispatch.Pool {
	random := rand.New(rand.NewPCG(w.config.Seed, 100+uint64(vm)))
	switch w.config.Policy {
	case PolicyRandom:
		return dispatch.NewRandom(random)
	case PolicyPowerOfTwoChoices:
		return dispatch.NewPowerOfTwoChoices(random)
	case PolicyShortestQueue:
		c := w.config.Pool
		c.Own = incarnation(vm)
		c.Random = random
		return dispatch.NewShortestQueue(c)
	}
	panic(fmt.Sprintf("unknown policy %q", w.config.Policy))
}

// schedule adds the trace, the heartbeats and the ticks to the event queue.
func (w *world) schedule() {
	for _, a := range w.agents {
		a.start(w.placement)
	}
	for _, a := range w.agents {
		a.updateExecutors()
		w.after(w.randomUpTo(heartbeatInterval), a.heartbeat)
		w.after(w.randomUpTo(tickInterval), a.tick)
	}
	w.remainingArrivals = len(w.config.Trace.Jobs)
	for _, e := range w.entries {
		e.start()
	}
	for i := range w.config.Trace.Jobs {
		j := &w.config.Trace.Jobs[i]
		w.after(j.At, func() { w.arrive(j, 1) })
	}
	for i := range w.config.Trace.Faults {
		f := &w.config.Trace.Faults[i]
		w.after(f.At, func() { w.beginFault(f) })
		w.after(f.Until, func() { w.endFault(f) })
	}
}

// randomUpTo returns a random duration below d.
func (w *world) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *world) after(d time.Duration, event func()) {
	w.events.Push(w.events.Now()+d, event)
}

// send delivers a message between two VMs.
func (w *world) send(from, to int, event func()) {
	w.after(w.config.Site.latency(from, to), event)
}

// arrive processes a submission that an entry has received. Entries are in all
// failure domains, so a message to the home takes the latency between domains.
func (w *world) arrive(j *Job, attempt int) {
	w.remainingArrivals--
	w.unanswered++
	p := &jobProgress{job: j, started: w.events.Now(), remaining: len(j.Tasks), attempt: attempt}
	w.jobs[j.Key] = p
	w.requests = append(w.requests, p)
	p.request = ident.RequestID(len(w.requests))
	if len(w.entries) == 0 {
		w.submit(p, 0)
		return
	}
	p.entry = w.entries[w.random.IntN(len(w.entries))]
	p.entry.step(admission.Submit{ID: p.request, Team: j.Key.Team, Tasks: len(j.Tasks), Deadline: j.Deadline})
}

// cancelRequest identifies cancellations. Their replies are ignored, since the
// reply to the submission ends the job.
const cancelRequest ident.RequestID = 0

// reply processes the outcome of a job at its home. The entry learns of it
// after one more message.
func (w *world) reply(r home.Reply) {
	if r.Request == cancelRequest {
		return
	}
	w.unanswered--
	p := w.requests[r.Request-1]
	w.overload.recordOutcome(w, p, r.Outcome.Kind)
	if p.entry != nil {
		w.after(w.config.Site.LatencyAcrossDomains, func() { p.entry.step(admission.Done{ID: p.request}) })
	}
	switch r.Outcome.Kind {
	case job.Complete:
		w.report.Complete++
		w.results.add(p.job, w.events.Now()+w.config.Site.LatencyAcrossDomains-p.started)
	case job.Failed:
		w.report.Failed++
	case job.Refused:
		w.report.Refused++
	}
}

// countAnswer counts the messages of one execution of a task and its answer.
func (w *world) countAnswer(r gate.Answer, local bool) {
	m := &w.report.Messages
	switch {
	case r.Verdict != gate.NotStarted:
		m.Needed += messagesPerCall
		if local {
			m.Saved += messagesPerCall
		}
	case !local:
		m.Refused += messagesPerCall
	}
}

// finished reports whether all jobs have arrived and been answered.
func (w *world) finished() bool { return w.remainingArrivals == 0 && w.unanswered == 0 }

func (w *world) finalReport() Report {
	w.report.All = timesOf(w.results.all)
	w.report.Small = timesOf(w.results.small)
	i := runIdeal(w.config.Site, &w.config.Trace, w.config.WarmUp)
	w.report.Ideal = timesOf(i.all)
	w.report.IdealSmall = timesOf(i.small)
	w.report.FaultTasks = w.faults.onFaulty
	w.report.FaultAll = w.faults.total
	w.report.RecoveredAfter = w.faults.recoveredAfter
	w.overload.report(w, &w.report)
	return w.report
}
