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
	PolicyShortestQueue Policy = "shortest-queue"
	PolicyRandom        Policy = "random"
	PolicyLeastOfTwo    Policy = "least-of-two"
)

const (
	heartbeatEvery = 500 * time.Millisecond
	failAfter      = time.Millisecond
	// firstTasks is how many tasks a bad worker may draw before it has to be
	// noticed.
	firstTasks = 20
	firstEpoch = 1
	// messagesPerCall counts a call and its answer.
	messagesPerCall = 2
)

// Config configures one run.
type Config struct {
	Site   Site
	Policy Policy
	Seed   uint64
	Trace  Trace
	// WarmUp is the time during which arriving jobs aren't measured.
	WarmUp time.Duration
	// Entries is the number of entries that admit jobs; with none every job is
	// passed on at once.
	Entries int
	Limits  []admission.Limits
	// Pool configures the policy; zero means defaults.
	Pool dispatch.Config
}

// Run runs the trace and returns what was measured.
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

// world is one site in simulated time.
type world struct {
	config    Config
	random    *rand.Rand
	events    eventqueue.Queue[func()]
	agents    []*agent
	entries   []*entry
	byID      map[ident.Incarnation]*agent
	placement *placement.Placement
	jobs      map[ident.JobKey]*progress
	// waiting holds the jobs in the order of their requests.
	waiting []*progress
	open    int
	// arrivals is the number of jobs still to come.
	arrivals int
	results  *responses
	report   Report
	faults   faultLog
	overload overloadLog
}

func newWorld(config Config) *world {
	w := &world{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 2)),
		byID:    make(map[ident.Incarnation]*agent),
		jobs:    make(map[ident.JobKey]*progress, len(config.Trace.Jobs)),
		results: newResponses(config.WarmUp),
	}
	w.report.Policy = config.Policy
	w.report.TasksOn = make([]int, config.Site.Workers)
	var members []placement.Member
	for i := range config.Site.Workers {
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

// newPool builds the policy for the home on one worker.
func (w *world) newPool(worker int) dispatch.Pool {
	random := rand.New(rand.NewPCG(w.config.Seed, 100+uint64(worker)))
	switch w.config.Policy {
	case PolicyRandom:
		return dispatch.NewRandom(random)
	case PolicyLeastOfTwo:
		return dispatch.NewPowerOfTwoChoices(random)
	case PolicyShortestQueue:
		c := w.config.Pool
		c.Own = incarnation(worker)
		c.Random = random
		return dispatch.NewShortestQueue(c)
	}
	panic(fmt.Sprintf("unknown policy %q", w.config.Policy))
}

// schedule puts the trace, the heartbeats and the ticks into the event queue.
func (w *world) schedule() {
	for _, a := range w.agents {
		a.begin(w.placement)
	}
	for _, a := range w.agents {
		a.learnExecutors()
		w.after(w.upTo(heartbeatEvery), a.heartbeat)
		w.after(w.upTo(tickEvery), a.tick)
	}
	w.arrivals = len(w.config.Trace.Jobs)
	for _, e := range w.entries {
		e.begin()
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

func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *world) after(d time.Duration, event func()) {
	w.events.Push(w.events.Now()+d, event)
}

// send delivers a message between two workers.
func (w *world) send(from, to int, event func()) {
	w.after(w.config.Site.latency(from, to), event)
}

// arrive is the moment at which an entry has received the job. Entries are in
// all domains, so the way to the home takes the latency between domains.
func (w *world) arrive(j *Job, try int) {
	w.arrivals--
	w.open++
	p := &progress{job: j, started: w.events.Now(), left: len(j.Tasks), try: try}
	w.jobs[j.Key] = p
	w.waiting = append(w.waiting, p)
	p.request = ident.RequestID(len(w.waiting))
	if len(w.entries) == 0 {
		w.submit(p, 0)
		return
	}
	p.entry = w.entries[w.random.IntN(len(w.entries))]
	p.entry.step(admission.Submit{ID: p.request, Team: j.Key.Team, Tasks: len(j.Tasks), Deadline: j.Deadline})
}

// cancelRequest marks replies to cancellations, which end nothing by themselves.
const cancelRequest ident.RequestID = 0

// reply is the moment at which a home knows how its job ended. The entry knows
// it after one more message.
func (w *world) reply(r home.Reply) {
	if r.Request == cancelRequest {
		return
	}
	w.open--
	p := w.waiting[r.Request-1]
	w.overload.noteEnd(w, p, r.Outcome.Kind)
	if p.entry != nil {
		w.after(w.config.Site.Across, func() { p.entry.step(admission.Done{ID: p.request}) })
	}
	switch r.Outcome.Kind {
	case job.Complete:
		w.report.Complete++
		w.results.add(p.job, w.events.Now()+w.config.Site.Across-p.started)
	case job.Failed:
		w.report.Failed++
	case job.Refused:
		w.report.Refused++
	}
}

// countAnswer counts the messages of one task.
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

// over reports whether nothing is left to do.
func (w *world) over() bool { return w.arrivals == 0 && w.open == 0 }

func (w *world) finalReport() Report {
	w.report.All = timesOf(w.results.all)
	w.report.Small = timesOf(w.results.small)
	i := runIdeal(w.config.Site, &w.config.Trace, w.config.WarmUp)
	w.report.Ideal = timesOf(i.all)
	w.report.IdealSmall = timesOf(i.small)
	w.report.FaultTasks = w.faults.on
	w.report.FaultAll = w.faults.all
	w.report.Back = w.faults.back
	w.overload.report(w, &w.report)
	return w.report
}
