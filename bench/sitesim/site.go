package sitesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxtaildock.example/bench/sim/eventqueue"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/lease"
	"foxtaildock.example/dock/operator"
)

// Site is one simulation of a site.
type Site struct {
	cfg     Config
	terms   lease.Terms
	queue   eventqueue.Queue[func()]
	random  *rand.Rand
	entries []*entryNode
	vms     []*vm
	callers callers
	checks  *checks
	// operator holds the operators' rows that are in force.
	operator operator.Rows
	cuts     map[[2]int]bool // by entry and agent
	// lags hold the delay with which an entry processes the messages of an agent,
	// by entry and agent.
	lags         map[[2]int]time.Duration
	orders       orderFaults
	incarnations int
	// steps counts the events that the decision cores have processed.
	steps int
}

// orderFaults are the shares of orders to backend servers that are executed late, or
// whose answers are lost.
type orderFaults struct{ late, lost float64 }

// New returns a site that is ready to run. It returns an error if the times of the
// configuration allow no lease.
func New(cfg Config) (*Site, error) {
	terms, err := lease.New(cfg.Resend, cfg.LeaseMax, cfg.StopTime)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	s := &Site{
		cfg: cfg, terms: terms, random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		cuts: map[[2]int]bool{}, lags: map[[2]int]time.Duration{}, operator: operator.Rows{Version: 1, Manifest: manifestOf(cfg.Kinds)},
	}
	s.checks = newChecks(s)
	s.callers = callers{site: s, jobs: map[string]*callerJob{}}
	for i := range cfg.Agents {
		s.vms = append(s.vms, newVM(s, i))
	}
	for i := range cfg.Entries {
		s.entries = append(s.entries, newEntryNode(s, i))
	}
	return s, nil
}

func manifestOf(kinds []Kind) *operator.Manifest {
	m := &operator.Manifest{Version: 1}
	for i := range kinds {
		m.Routes = append(m.Routes, kinds[i].Route)
	}
	return m
}

// drainTime is how long a simulation continues after the last arrival, so that every
// job gets its answer.
const drainTime = 25 * time.Second

// warmUp is the time before the first job arrives.
const warmUp = 3 * time.Second

// Run simulates the site until its end, or until a guarantee is violated, and returns
// what callers saw.
func (s *Site) Run() *Result {
	for _, v := range s.vms {
		v.start()
	}
	for _, e := range s.entries {
		e.start()
	}
	s.callers.schedule()
	for _, f := range s.cfg.Faults {
		s.at(warmUp+f.At, func() { s.inject(f) })
	}
	end := warmUp + s.cfg.Length + drainTime
	for {
		next, ok := s.queue.Next()
		if !ok || next > end || len(s.checks.violations) > 0 {
			break
		}
		event, _ := s.queue.Pop()
		event()
	}
	return s.callers.result()
}

// Violations returns the violations of guarantees that were found, with their times.
func (s *Site) Violations() []string { return s.checks.violations }

// Steps returns how many events the decision cores of the site have processed.
func (s *Site) Steps() int { return s.steps }

func (s *Site) now() time.Duration { return s.queue.Now() }

func (s *Site) at(when time.Duration, f func()) { s.queue.Push(when, f) }

func (s *Site) after(d time.Duration, f func()) { s.queue.Push(s.now()+d, f) }

// incarnation returns the name of a new incarnation of a process.
func (s *Site) incarnation(kind string, index int) ident.Incarnation {
	s.incarnations++
	return ident.Incarnation(fmt.Sprintf("%s-%d-%d", kind, index, s.incarnations))
}

func (s *Site) domain(index int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("domain-%d", index%s.cfg.Domains))
}

// process is a process that may be dead or frozen.
type process struct {
	site        *Site
	generation  int
	alive       bool
	frozenUntil time.Duration
}

// deliver runs f in the process, unless the process is dead or of a later generation
// than the one that f was meant for. A frozen process runs f when it resumes.
func (p *process) deliver(generation int, f func()) {
	if !p.alive || p.generation != generation {
		return
	}
	if now := p.site.now(); now < p.frozenUntil {
		p.site.at(p.frozenUntil, func() { p.deliver(generation, f) })
		return
	}
	f()
}

// later runs f after d, unless this generation of the process has ended by then.
func (p *process) later(d time.Duration, f func()) {
	generation := p.generation
	p.site.after(d, func() { p.deliver(generation, f) })
}
