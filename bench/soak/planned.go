package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/usersite"
)

// longestRestart bounds the time from the end of a process that was stopped as planned to
// its next start.
const longestRestart = 500 * time.Millisecond

// longRunEvery is the number of runs of which one outlasts the grace period, in a soak of
// planned work.
const longRunEvery = 200

// thinkTimes are mean pauses of a caller between two jobs in a soak of planned work, one
// for each remainder of the seed. Entries are idle from time to time with the longer ones.
var thinkTimes = []time.Duration{0, 400 * time.Millisecond, 1200 * time.Millisecond}

// thinkTime returns the pause of a caller before its next job.
func (r *run) thinkTime(random *rand.Rand) time.Duration {
	if !r.cfg.Planned {
		return 0
	}
	mean := thinkTimes[r.cfg.Seed%uint64(len(thinkTimes))]
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// requestTimeout returns the timeout of a request whose caller has the remaining time for
// its job. In a soak of planned work three of four requests have a short one, since an
// entry that stops doesn't accept others.
func (r *run) requestTimeout(random *rand.Rand, remaining time.Duration) time.Duration {
	if !r.cfg.Planned || random.IntN(4) == 0 {
		return remaining
	}
	return min(remaining, time.Duration(500+random.IntN(1000))*time.Millisecond)
}

// plannedWork lists the kinds of planned work: stops and reloads. None of them may cost a
// caller an answer.
var plannedWork = []fault{
	{"stop entry", func(r *run, random *rand.Rand, d time.Duration) {
		r.background(func() { r.stopInTurn(pick(random, r.site.Entries), d) })
	}},
	{"stop agent", func(r *run, random *rand.Rand, d time.Duration) {
		r.background(func() { r.stopInTurn(pick(random, r.site.Agents), d) })
	}},
	{"stop entries in turn", func(r *run, _ *rand.Rand, d time.Duration) {
		r.background(func() { r.stopInTurn(r.site.Entries, d) })
	}},
	{"stop agents in turn", func(r *run, _ *rand.Rand, d time.Duration) {
		r.background(func() { r.stopInTurn(r.site.Agents, d) })
	}},
	{"reload entry", func(r *run, random *rand.Rand, _ time.Duration) { reload(pick(random, r.site.Entries)[0]) }},
	{"reload agent", func(r *run, random *rand.Rand, _ time.Duration) { reload(pick(random, r.site.Agents)[0]) }},
}

// pick returns one of the processes.
func pick(random *rand.Rand, from []*cluster.Process) []*cluster.Process {
	i := random.IntN(len(from))
	return from[i : i+1]
}

func reload(p *cluster.Process) { _ = p.Signal(syscall.SIGHUP) } // it may be down

// background runs a function that the load waits for. The random source must not be used in it,
// so that the planned work depends on the seed alone.
func (r *run) background(f func()) { r.planned.Go(f) }

// stopInTurn stops each process as planned and starts it again after at most
// longestRestart. It passes over those that are being stopped already.
func (r *run) stopInTurn(processes []*cluster.Process, down time.Duration) {
	for _, p := range processes {
		if _, busy := r.stopping.LoadOrStore(p, true); busy {
			continue
		}
		r.stopOnce(p, min(down, longestRestart))
		r.stopping.Delete(p)
	}
}

func (r *run) stopOnce(p *cluster.Process, down time.Duration) {
	killed, err := usersite.StopAsPlanned(p)
	if err != nil {
		r.site.Checks.Fail("%s can't be stopped: %v", p.Name, err)
	}
	r.countStop(killed)
	time.Sleep(down)
	if err := p.Start(); err != nil {
		r.site.Checks.Fail("%s can't be started again: %v", p.Name, err)
	}
}

func (r *run) countStop(killed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Stops++
	if killed {
		r.result.Killed++
	}
}

// checkPlanned reports the requests that were read and not answered, and the processes
// that have ended although they were started again.
func (r *run) checkPlanned() error {
	unanswered, err := r.site.Unanswered(r.exchanges)
	if err != nil {
		return err
	}
	for _, x := range unanswered {
		r.site.Checks.Fail("entry %d has read job %s, which was %s after %v; sent at %s",
			x.Entry, x.Job, x.Outcome, x.Ended.Sub(x.Sent).Round(time.Millisecond), x.Sent.Format("15:04:05.000"))
	}
	for _, p := range append(append([]*cluster.Process{}, r.site.Entries...), r.site.Agents...) {
		if !p.Running() {
			r.site.Checks.Fail("%s has ended by itself", p.Name)
		}
	}
	return nil
}
