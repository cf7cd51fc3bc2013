// Package soak injects overlapping faults into a site of real processes, while callers
// keep using their connections, and checks the guarantees of the system from what
// backend servers and callers see. It ends only processes that it started.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/runserver"
	"foxtaildock.example/bench/usersite"
	"foxtaildock.example/dock/work"
)

// Config describes a run of the soak.
type Config struct {
	Daemon  string // path of foxtaildockd
	Dir     string // for settings and logs
	Seed    uint64
	Length  time.Duration // of load and faults
	Entries int
	Agents  int
	Callers int
	// Pause is the mean time between the starts of two faults.
	Pause time.Duration
	// Planned restricts the faults to planned stops and reloads. Each request that an
	// entry has read must then be answered.
	Planned bool
	// Scarce adds servers of two speeds, stragglers, callers of three priorities, and
	// faults that take capacity away for a time.
	Scarce bool
}

// Result sums up a run: counts of jobs by outcome, the number of runs that started, the
// faults that were injected, and the violations of guarantees.
type Result struct {
	Jobs, Completed, Rejected, Unanswered, Starts int
	// Stops counts planned stops, and Killed those whose process had to be killed at the end
	// of its grace period. Both are 0 without Config.Planned.
	Stops, Killed int
	Faults        []string
	Violations    []string
}

// resend is the time after which the users' callers send a job again whose answer was
// lost.
const resend = 1300 * time.Millisecond

// callerTimeout is how long a caller waits for a job in all.
const callerTimeout = 8 * time.Second

// run is the state of one run of the soak.
type run struct {
	cfg      Config
	site     *usersite.Site
	planned  sync.WaitGroup // planned work that goes on
	stopping sync.Map       // processes that are being stopped as planned

	mu        sync.Mutex
	result    Result
	exchanges []usersite.Exchange
}

// Run runs the soak with one seed. It returns an error if the site can't be started.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	random := rand.New(rand.NewPCG(cfg.Seed, 3))
	taskPlanner := &planner{random: rand.New(rand.NewPCG(cfg.Seed, 5)), planned: cfg.Planned, stragglers: cfg.Scarce}
	siteConfig := usersite.Config{
		Daemon: cfg.Daemon, Dir: cfg.Dir, Entries: cfg.Entries, Agents: cfg.Agents, Plan: taskPlanner.plan, Priorities: cfg.Scarce,
	}
	if cfg.Scarce {
		siteConfig.Speed = scarceSpeeds
	}
	site, err := usersite.Start(siteConfig)
	if err != nil {
		return nil, err
	}
	defer site.Close()
	r := &run{cfg: cfg, site: site}
	r.loadAndFaults(ctx, random)
	if cfg.Planned {
		if err := r.checkPlanned(); err != nil {
			return nil, err
		}
	}
	r.result.Starts = site.Checks.Starts()
	r.result.Violations = site.Checks.Violations()
	return &r.result, nil
}

// loadAndFaults injects faults for the length of the run. The callers send jobs meanwhile,
// and until the planned work has ended.
func (r *run) loadAndFaults(ctx context.Context, random *rand.Rand) {
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	faultsCtx, endFaults := context.WithTimeout(ctx, r.cfg.Length)
	defer endFaults()
	var callers sync.WaitGroup
	for i := range r.cfg.Callers {
		callers.Go(func() { r.runCaller(loadCtx, i) })
	}
	r.injectFaults(faultsCtx, random)
	r.planned.Wait()
	endLoad()
	callers.Wait()
}

// planner decides at random what runs do. All backend servers share it.
type planner struct {
	mu      sync.Mutex
	random  *rand.Rand
	planned bool // whether some runs outlast the grace period of a planned stop
	// stragglers says whether one of stragglerEvery runs takes stragglerFactor times as long.
	stragglers bool
}

func (p *planner) plan(work.Run, string) runserver.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	plan := runserver.Plan{
		Demand: usersite.Demand,
		Length: time.Duration(20+p.random.IntN(180)) * time.Millisecond,
		Fails:  p.random.IntN(200) == 0,
	}
	if p.planned && p.random.IntN(longRunEvery) == 0 {
		plan.Length = usersite.GracePeriod + time.Second
	}
	if p.stragglers && p.random.IntN(stragglerEvery) == 0 {
		plan.Length *= stragglerFactor
	}
	return plan
}

// caller is one caller with a connection to each entry.
type caller struct {
	random *rand.Rand
	conns  []*usersite.Connection
}

// runCaller simulates one caller: it sends one job after the other, and sends a job
// again to a random entry while its answer is lost.
func (r *run) runCaller(ctx context.Context, number int) {
	c := &caller{random: rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+number)))}
	for entry := range r.cfg.Entries {
		conn := usersite.NewConnection(r.site.CallerAddress(entry))
		if r.cfg.Scarce {
			conn.Priority = number % 3
		}
		c.conns = append(c.conns, conn)
	}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%04x%04x%08x", r.cfg.Seed&0xffff, number, n)
		r.submitJob(c, id, 1+c.random.IntN(6))
		time.Sleep(r.thinkTime(c.random))
	}
	for _, conn := range c.conns {
		conn.Close()
	}
}

// refusedPause is the pause of a caller after an entry didn't accept its connection.
const refusedPause = 20 * time.Millisecond

// submitJob sends one job until it has a final answer or its caller's time is over.
func (r *run) submitJob(c *caller, id string, tasks int) {
	began := time.Now()
	submissions, rejections := 0, 0
	for time.Since(began) < callerTimeout {
		x := r.submitOnce(c, id, tasks, callerTimeout-time.Since(began))
		if x.Outcome == usersite.Refused {
			time.Sleep(refusedPause)
			continue
		}
		submissions++
		switch x.Reply.Status {
		case http.StatusOK:
			r.answered(id, tasks, x.Reply.State)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			rejections++
			r.rejected(id, submissions == rejections)
			time.Sleep(100 * time.Millisecond)
			return
		}
		time.Sleep(resend)
	}
	r.count(func(res *Result) { res.Unanswered++ })
}

// submitOnce sends a job to a random entry and records how that ended.
func (r *run) submitOnce(c *caller, id string, tasks int, timeout time.Duration) usersite.Exchange {
	entry := c.random.IntN(len(c.conns))
	x := c.conns[entry].Submit(id, tasks, 110*time.Millisecond, r.requestTimeout(c.random, timeout))
	x.Entry = entry
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges = append(r.exchanges, x)
	return x
}

func (r *run) count(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Jobs++
	f(&r.result)
}

func (r *run) answered(id string, tasks int, state string) {
	if n := r.site.Checks.Done(work.JobID(id), tasks); state == "completed" && n != tasks {
		r.site.Checks.Fail("job %s is answered as completed, but only %d of its %d tasks are", id, n, tasks)
	}
	r.count(func(res *Result) { res.Completed++ })
}

// rejected checks that a job whose submissions were all rejected has not run.
func (r *run) rejected(id string, allRejected bool) {
	if allRejected && r.site.Checks.Began(work.JobID(id)) {
		r.site.Checks.Fail("job %s is rejected although one of its tasks has started", id)
	}
	r.count(func(res *Result) { res.Rejected++ })
}

// fault is one kind of fault. inject starts it, and schedules its end after length.
type fault struct {
	name   string
	inject func(r *run, random *rand.Rand, length time.Duration)
}

// faults lists all kinds of faults.
var faults = []fault{
	{"kill agent", func(r *run, random *rand.Rand, d time.Duration) {
		killFor(r.site.Agents[random.IntN(len(r.site.Agents))], d)
	}},
	{"kill entry", func(r *run, random *rand.Rand, d time.Duration) {
		killFor(r.site.Entries[random.IntN(len(r.site.Entries))], d)
	}},
	{"pause agent", func(r *run, random *rand.Rand, d time.Duration) {
		pauseFor(r.site.Agents[random.IntN(len(r.site.Agents))], d)
	}},
	{"pause entry", func(r *run, random *rand.Rand, d time.Duration) {
		pauseFor(r.site.Entries[random.IntN(len(r.site.Entries))], d)
	}},
	{"stop agent", func(r *run, random *rand.Rand, d time.Duration) {
		stopFor(r.site.Agents[random.IntN(len(r.site.Agents))], d)
	}},
	{"stop entry", func(r *run, random *rand.Rand, d time.Duration) {
		stopFor(r.site.Entries[random.IntN(len(r.site.Entries))], d)
	}},
	{"reload", func(r *run, random *rand.Rand, _ time.Duration) {
		_ = r.site.Entries[random.IntN(len(r.site.Entries))].Signal(syscall.SIGHUP) // it may be down
	}},
	{"crash backend server", func(r *run, random *rand.Rand, _ time.Duration) {
		r.site.Backends[random.IntN(len(r.site.Backends))].Crash()
	}},
	{"silent backend server", func(r *run, random *rand.Rand, d time.Duration) {
		b := r.site.Backends[random.IntN(len(r.site.Backends))]
		b.SetSilent(true)
		time.AfterFunc(d, func() { b.SetSilent(false) })
	}},
	{"store busy", func(r *run, _ *rand.Rand, d time.Duration) { r.storeFault(usersite.StoreBusy, d) }},
	{"store silent", func(r *run, _ *rand.Rand, d time.Duration) { r.storeFault(usersite.StoreSilent, d) }},
	{"store loses answers", func(r *run, _ *rand.Rand, d time.Duration) { r.storeFault(usersite.StoreLosesAnswers, d) }},
	{"store drops history", func(r *run, _ *rand.Rand, _ time.Duration) { r.site.Store.DropHistory() }},
	{"withdraw domain", func(r *run, random *rand.Rand, d time.Duration) {
		key := "evacuate/" + usersite.Domains[random.IntN(len(usersite.Domains))]
		_ = r.site.Store.Put("op", key, map[string]any{}) // a map can always be encoded
		time.AfterFunc(d, func() { _ = r.site.Store.Put("op", key, nil) })
	}},
}

func (r *run) storeFault(f usersite.StoreFault, d time.Duration) {
	r.site.Store.SetFault(f)
	time.AfterFunc(d, func() { r.site.Store.SetFault(usersite.StoreHealthy) })
}

// killFor kills a process and starts it again after d. It does nothing if another fault
// has ended the process, which that fault then restarts.
func killFor(p *cluster.Process, d time.Duration) {
	if p.Running() && p.Kill() == nil {
		time.AfterFunc(d, func() { _ = p.Start() })
	}
}

func pauseFor(p *cluster.Process, d time.Duration) {
	if p.Pause() == nil {
		time.AfterFunc(d, func() { _ = p.Resume() })
	}
}

func stopFor(p *cluster.Process, d time.Duration) {
	if p.Signal(syscall.SIGTERM) != nil {
		return
	}
	go func() {
		if p.Wait(usersite.GracePeriod) != nil {
			_ = p.Kill()
		}
		time.Sleep(d)
		_ = p.Start()
	}()
}

// kinds returns the kinds of faults of the run.
func (r *run) kinds() []fault {
	if r.cfg.Planned {
		return plannedWork
	}
	if r.cfg.Scarce {
		return append(slices.Clone(scarceFaults), faults...)
	}
	return faults
}

// injectFaults injects one fault after the other, some of which overlap, until the load
// ends.
func (r *run) injectFaults(ctx context.Context, random *rand.Rand) {
	kinds := r.kinds()
	for {
		wait := time.Duration(random.ExpFloat64() * float64(r.cfg.Pause))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		f := kinds[random.IntN(len(kinds))]
		length := 200*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))
		r.mu.Lock()
		r.result.Faults = append(r.result.Faults, fmt.Sprintf("%s %s for %v", time.Now().Format("15:04:05.000"), f.name, length.Round(time.Millisecond)))
		r.mu.Unlock()
		f.inject(r, random, length)
	}
}
