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

// Site is one run of the model.
type Site struct {
	cfg     Config
	terms   lease.Terms
	queue   eventqueue.Queue[func()]
	random  *rand.Rand
	entries []*entryNode
	vms     []*vm
	callers callers
	checks  *checks
	// operator is what operators want now.
	operator operator.Rows
	cuts     map[[2]int]bool // entry, agent
	// lags are by how much an entry takes what an agent sends late.
	lags   map[[2]int]time.Duration
	orders orderFaults
	lives  int
	// steps counts the events that the decision cores took.
	steps int
}

// orderFaults are the shares of orders to backend servers that go wrong.
type orderFaults struct{ late, lost float64 }

// New builds a site.
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

// drainTime is how long a run goes on after the last arrival, so that every job
// gets its answer.
const drainTime = 25 * time.Second

// warmUp is the time before the first job.
const warmUp = 3 * time.Second

// Run plays the site to its end and returns what callers saw.
func (s *Site) Run() *Result {
	for _, v := range s.vms {
		v.start()
	}
	for _, e := range s.entries {
		e.start()
	}
	s.callers.schedule()
	for _, f := range s.cfg.Faults {
		s.at(warmUp+f.At, func() { s.strike(f) })
	}
	end := warmUp + s.cfg.Length + drainTime
	for {
		next, any := s.queue.Next()
		if !any || next > end || len(s.checks.broken) > 0 {
			break
		}
		event, _ := s.queue.Pop()
		event()
	}
	return s.callers.result()
}

// Broken returns the promises that were found broken, with their times.
func (s *Site) Broken() []string { return s.checks.broken }

// Steps returns how many events the decision cores of the site took.
func (s *Site) Steps() int { return s.steps }

func (s *Site) now() time.Duration { return s.queue.Now() }

func (s *Site) at(when time.Duration, f func()) { s.queue.Push(when, f) }

func (s *Site) after(d time.Duration, f func()) { s.queue.Push(s.now()+d, f) }

// incarnation names a new life of a process.
func (s *Site) incarnation(kind string, index int) ident.Incarnation {
	s.lives++
	return ident.Incarnation(fmt.Sprintf("%s-%d-%d", kind, index, s.lives))
}

func (s *Site) domain(index int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("domain-%d", index%s.cfg.Domains))
}

// process is a process that may be dead or held up.
type process struct {
	site   *Site
	life   int
	alive  bool
	frozen time.Duration // until when
}

// deliver runs f in the process as of now, unless the life that it was meant for
// is over. A frozen process takes it when it wakes.
func (p *process) deliver(life int, f func()) {
	if !p.alive || p.life != life {
		return
	}
	if now := p.site.now(); now < p.frozen {
		p.site.at(p.frozen, func() { p.deliver(life, f) })
		return
	}
	f()
}

// later runs f in this life of the process after a while.
func (p *process) later(d time.Duration, f func()) {
	life := p.life
	p.site.after(d, func() { p.deliver(life, f) })
}
