// Package soak does harm to a site of real processes, with faults that overlap,
// while callers keep using their connections, and checks what the system promises
// from what backend servers and callers see. It ends only processes that it started.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/runserver"
	"foxtaildock.example/bench/usersite"
	"foxtaildock.example/dock/work"
)

// Config describes a run.
type Config struct {
	Daemon  string
	Dir     string
	Seed    uint64
	Length  time.Duration
	Entries int
	Agents  int
	Callers int
	// Pause is the mean time between two faults.
	Pause time.Duration
}

// Result is what a run came to.
type Result struct {
	Jobs, Completed, Rejected, Unanswered, Starts int
	Faults                                        []string
	Broken                                        []string
}

// resend is the users' delay before a job whose answer was lost comes again.
const resend = 1300 * time.Millisecond

// patience is how long a caller waits for a job in all.
const patience = 8 * time.Second

// run is one run of the soak.
type run struct {
	cfg    Config
	site   *usersite.Site
	mu     sync.Mutex
	result Result
}

// Run plays one seed.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	random := rand.New(rand.NewPCG(cfg.Seed, 3))
	plans := &planner{random: rand.New(rand.NewPCG(cfg.Seed, 5))}
	site, err := usersite.Start(usersite.Config{
		Daemon: cfg.Daemon, Dir: cfg.Dir, Entries: cfg.Entries, Agents: cfg.Agents, Plan: plans.plan,
	})
	if err != nil {
		return nil, err
	}
	defer site.Close()
	r := &run{cfg: cfg, site: site}
	loading, stop := context.WithTimeout(ctx, cfg.Length)
	defer stop()
	var wait sync.WaitGroup
	for i := range cfg.Callers {
		wait.Go(func() { r.call(loading, i) })
	}
	wait.Go(func() { r.harm(loading, random) })
	wait.Wait()
	r.result.Starts = site.Checks.Starts()
	r.result.Broken = site.Checks.Broken()
	return &r.result, nil
}

// planner says what tasks do. It is called by every backend server.
type planner struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (p *planner) plan(work.Run, string) runserver.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return runserver.Plan{
		Demand: work.Demand{CPUMilli: 1000, MemoryMB: 64},
		Length: time.Duration(20+p.random.IntN(180)) * time.Millisecond,
		Fails:  p.random.IntN(200) == 0,
	}
}

// call is one caller: it sends job after job, and each again while its answer is
// lost, at another entry.
func (r *run) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.cfg.Seed, uint64(100+number)))
	var c usersite.Caller
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%04x%04x%08x", r.cfg.Seed&0xffff, number, n)
		r.job(&c, random, id, 1+random.IntN(6))
	}
}

// job sends one job until it has a final answer or its caller's time is over.
func (r *run) job(c *usersite.Caller, random *rand.Rand, id string, tasks int) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	tries, refused := 0, 0
	for ctx.Err() == nil {
		entry := random.IntN(r.cfg.Entries)
		tries++
		reply := c.Submit(ctx, r.site.CallerAddress(entry), id, tasks, 110*time.Millisecond, patience)
		switch reply.Status {
		case http.StatusOK:
			r.answered(id, tasks, reply.State)
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			refused++
			r.rejected(id, tries == refused)
			time.Sleep(100 * time.Millisecond)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(resend):
		}
	}
	r.count(func(res *Result) { res.Unanswered++ })
}

func (r *run) count(f func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Jobs++
	f(&r.result)
}

func (r *run) answered(id string, tasks int, state string) {
	if n := r.site.Checks.Done(work.JobID(id), tasks); state == "completed" && n != tasks {
		r.site.Checks.Fail("job %s is answered as completed, but %d of its %d tasks are", id, n, tasks)
	}
	r.count(func(res *Result) { res.Completed++ })
}

// rejected checks that a job that was only ever rejected hasn't run.
func (r *run) rejected(id string, always bool) {
	if always && r.site.Checks.Began(work.JobID(id)) {
		r.site.Checks.Fail("job %s is rejected though a task of it has started", id)
	}
	r.count(func(res *Result) { res.Rejected++ })
}

// fault is one kind of harm, which undoes itself after the given time.
type fault struct {
	name string
	do   func(r *run, random *rand.Rand, length time.Duration)
}

// faults are the kinds of harm.
var faults = []fault{
	{"kill agent", func(r *run, random *rand.Rand, d time.Duration) {
		killed(r.site.Agents[random.IntN(len(r.site.Agents))], d)
	}},
	{"kill entry", func(r *run, random *rand.Rand, d time.Duration) {
		killed(r.site.Entries[random.IntN(len(r.site.Entries))], d)
	}},
	{"pause agent", func(r *run, random *rand.Rand, d time.Duration) {
		paused(r.site.Agents[random.IntN(len(r.site.Agents))], d)
	}},
	{"pause entry", func(r *run, random *rand.Rand, d time.Duration) {
		paused(r.site.Entries[random.IntN(len(r.site.Entries))], d)
	}},
	{"stop agent", func(r *run, random *rand.Rand, d time.Duration) {
		stopped(r.site.Agents[random.IntN(len(r.site.Agents))], d)
	}},
	{"stop entry", func(r *run, random *rand.Rand, d time.Duration) {
		stopped(r.site.Entries[random.IntN(len(r.site.Entries))], d)
	}},
	{"reload", func(r *run, random *rand.Rand, _ time.Duration) {
		_ = r.site.Entries[random.IntN(len(r.site.Entries))].Signal(syscall.SIGHUP) // it may be down
	}},
	{"crash backend server", func(r *run, random *rand.Rand, _ time.Duration) {
		r.site.Backends[random.IntN(len(r.site.Backends))].Crash()
	}},
	{"dark backend server", func(r *run, random *rand.Rand, d time.Duration) {
		b := r.site.Backends[random.IntN(len(r.site.Backends))]
		b.SetDark(true)
		time.AfterFunc(d, func() { b.SetDark(false) })
	}},
	{"store busy", func(r *run, _ *rand.Rand, d time.Duration) { r.storeFault(usersite.StoreBusy, d) }},
	{"store silent", func(r *run, _ *rand.Rand, d time.Duration) { r.storeFault(usersite.StoreSilent, d) }},
	{"store loses answers", func(r *run, _ *rand.Rand, d time.Duration) { r.storeFault(usersite.StoreLosing, d) }},
	{"store forgets", func(r *run, _ *rand.Rand, _ time.Duration) { r.site.Store.Forget() }},
	{"withdraw domain", func(r *run, random *rand.Rand, d time.Duration) {
		key := "evacuate/" + usersite.Domains[random.IntN(len(usersite.Domains))]
		_ = r.site.Store.Put("op", key, map[string]any{}) // a map always encodes
		time.AfterFunc(d, func() { _ = r.site.Store.Put("op", key, nil) })
	}},
}

func (r *run) storeFault(f usersite.StoreFault, d time.Duration) {
	r.site.Store.SetFault(f)
	time.AfterFunc(d, func() { r.site.Store.SetFault(usersite.StoreSound) })
}

// killed ends a process at once and starts it again after a while. A process that
// another fault has ended is left to that one.
func killed(p *cluster.Process, d time.Duration) {
	if p.Running() && p.Kill() == nil {
		time.AfterFunc(d, func() { _ = p.Start() })
	}
}

func paused(p *cluster.Process, d time.Duration) {
	if p.Pause() == nil {
		time.AfterFunc(d, func() { _ = p.Resume() })
	}
}

// graceful is the users' time from SIGTERM to SIGKILL.
const graceful = 6 * time.Second

func stopped(p *cluster.Process, d time.Duration) {
	if p.Signal(syscall.SIGTERM) != nil {
		return
	}
	go func() {
		if p.Wait(graceful) != nil {
			_ = p.Kill()
		}
		time.Sleep(d)
		_ = p.Start()
	}()
}

// harm does one fault after the other, some of which overlap, until shortly before
// the end of the load.
func (r *run) harm(ctx context.Context, random *rand.Rand) {
	for {
		wait := time.Duration(random.ExpFloat64() * float64(r.cfg.Pause))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		f := faults[random.IntN(len(faults))]
		length := 200*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))
		r.mu.Lock()
		r.result.Faults = append(r.result.Faults, fmt.Sprintf("%s %s for %v", time.Now().Format("15:04:05.000"), f.name, length.Round(time.Millisecond)))
		r.mu.Unlock()
		f.do(r, random, length)
	}
}
