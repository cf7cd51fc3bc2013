package model

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"foxtaildock.example/bench/sim/eventqueue"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
)

// Sizes of the simulated deployment. Agents have the addresses from 0 on,
// entries the addresses after them.
const (
	agentCount  = 5
	entryCount  = 2
	domainCount = 3
)

// Bounds used by the checks.
const (
	// leaseBound is the time after the commit of a withdrawal during which
	// tasks may still start in the failure domain.
	leaseBound = permit.Lease
	// answerTolerance is the time after its deadline within which a request may
	// still be answered.
	answerTolerance = 500 * time.Millisecond
	// settleTime is the time after the end of faults within which all jobs and
	// requests must end. It covers the longest deadline, message delay and
	// time-out.
	settleTime = 40 * time.Second
)

// endpointID is the incarnation that a call is addressed to; empty means any.
type endpointID string

// endpoint is an agent or an entry.
type endpoint interface{ base() *process }

// Cluster is the simulated deployment with its callers and the state of the
// checks.
type Cluster struct {
	trace               Trace
	log                 io.Writer
	queue               eventqueue.Queue[func()]
	random              *rand.Rand
	platform            *platform
	agents              []*agentProcess
	entries             []*entryProcess
	incarnations        int
	cuts                map[link]bool
	messageFaultPercent int
	backends            map[int]behaviour
	jobs                []*callerJob
	unanswered          []*submission

	starts     map[ident.TaskID]int
	firstStart map[ident.JobKey]time.Duration
	startCount int
	steps      int
	events     int
	outcomes   Outcomes
	violation  *Violation
}

func newCluster(trace Trace, log io.Writer) *Cluster {
	c := &Cluster{
		log:        log,
		trace:      trace,
		random:     rand.New(rand.NewPCG(trace.Seed, 0)),
		platform:   newPlatform(),
		cuts:       make(map[link]bool),
		backends:   make(map[int]behaviour),
		starts:     make(map[ident.TaskID]int),
		firstStart: make(map[ident.JobKey]time.Duration),
	}
	for i := range agentCount {
		a := newAgentProcess(c, i, "")
		c.agents = append(c.agents, a)
		c.platform.join(a.incarnation, a.address, a.domain)
	}
	for i := range entryCount {
		c.entries = append(c.entries, newEntryProcess(c, agentCount+i))
	}
	c.advance(warmUp)
	return c
}

// warmUp is the time within which permits and placements reach all processes.
const warmUp = 4 * time.Second

// after schedules f at d from now.
func (c *Cluster) after(d time.Duration, f func()) { c.queue.Push(c.queue.Now()+d, f) }

// advance runs the events that are due within d, up to the first violation.
func (c *Cluster) advance(d time.Duration) {
	end := c.queue.Now() + d
	reached := false
	c.queue.Push(end, func() { reached = true })
	for !reached && c.violation == nil {
		f, ok := c.queue.Pop()
		if !ok {
			return
		}
		f()
		c.events++
	}
	c.checkAnswered()
}

// newIncarnation returns the name of a new incarnation. Names are unique.
func (c *Cluster) newIncarnation() ident.Incarnation {
	c.incarnations++
	return ident.Incarnation(fmt.Sprintf("i%04d-%08x", c.incarnations, c.random.Uint32()))
}

func (c *Cluster) mutated(m Mutation) bool { return c.trace.Mutation == m }

// processAt returns the process at an address, or nil.
func (c *Cluster) processAt(address int) *process {
	switch {
	case address >= 0 && address < agentCount:
		return c.agents[address].process
	case address >= agentCount && address < agentCount+entryCount:
		return c.entries[address-agentCount].process
	}
	return nil
}

// endpointOf returns the live endpoint of a process, or nil if it is dead.
func (c *Cluster) endpointOf(p *process) endpoint {
	for _, a := range c.agents {
		if a.process == p && !p.dead {
			return a
		}
	}
	for _, e := range c.entries {
		if e.process == p && !p.dead {
			return e
		}
	}
	return nil
}

// logf writes a line to the log, if there is one.
func (c *Cluster) logf(source, format string, args ...any) {
	if c.log != nil {
		_, _ = fmt.Fprintf(c.log, "%v %s: %s\n", c.queue.Now(), source, fmt.Sprintf(format, args...))
	}
}

// apply performs one command. Commands that do not fit the current state, such
// as a restart of a live process, do nothing.
func (c *Cluster) apply(cmd Command) {
	c.logf("command", "%+v; %+v", cmd, c.platform.state)
	switch cmd.Op {
	case OpSubmit:
		c.submitNew(cmd.A, cmd.B)
	case OpResubmit, OpReuseKey, OpCancel, OpLookup, OpDisconnect:
		c.applyToJob(cmd)
	case OpKill, OpRestart, OpPause, OpJoin, OpLeave, OpRemove:
		c.applyToProcess(cmd)
	case OpResume:
		c.resumeAll()
	case OpCut:
		c.cuts[link{c.addressOrPlatform(cmd.A), c.addressOrPlatform(cmd.B)}] = true
	case OpHeal:
		clear(c.cuts)
	case OpWithdraw:
		c.platform.withdraw(c.queue.Now(), domainOf(cmd.A))
	case OpRestore:
		c.platform.restore(domainOf(cmd.A))
	case OpOutage:
		c.platform.down = cmd.A%2 == 1
	case OpMessageFaults:
		c.messageFaultPercent = min(max(cmd.A, 0), 40)
	case OpBackend:
		c.backends[index(cmd.A, agentCount)] = behaviour(index(cmd.B, int(behaviourCount)))
	}
}

func (c *Cluster) applyToProcess(cmd Command) {
	p := c.processAt(index(cmd.A, agentCount+entryCount))
	agent := c.agents[index(cmd.A, agentCount)]
	switch cmd.Op {
	case OpKill:
		p.dead = true
	case OpRestart:
		c.restart(p)
	case OpPause:
		p.paused = !p.dead
	case OpJoin:
		if !agent.dead {
			c.platform.join(agent.incarnation, agent.address, agent.domain)
		}
	case OpLeave:
		agent.after(0, agent.leave)
	case OpRemove:
		c.platform.remove(agent.incarnation)
	}
}

// restart starts a new incarnation at the address of a dead process.
func (c *Cluster) restart(p *process) {
	if !p.dead {
		return
	}
	if p.address >= agentCount {
		c.entries[p.address-agentCount] = newEntryProcess(c, p.address)
		return
	}
	var incarnation ident.Incarnation
	if c.mutated(MutationReuseIncarnation) {
		incarnation = p.incarnation
	}
	c.agents[p.address] = newAgentProcess(c, p.address, incarnation)
}

func (c *Cluster) resumeAll() {
	for i := range agentCount + entryCount {
		c.processAt(i).resume()
	}
}

// addressOrPlatform maps any number to the address of a process or the
// platform.
func (c *Cluster) addressOrPlatform(i int) int { return index(i, agentCount+entryCount+1) - 1 }

// index maps any number into [0, n).
func index(i, n int) int { return ((i % n) + n) % n }

func domainOf(address int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("zone-%d", index(address, domainCount)))
}

// endFaults ends all faults: it restarts dead processes under new incarnations,
// removes dead members from the placement and adds all live agents.
func (c *Cluster) endFaults() {
	clear(c.cuts)
	clear(c.backends)
	c.messageFaultPercent = 0
	c.platform.down = false
	for i := range domainCount {
		c.platform.restore(domainOf(i))
	}
	c.resumeAll()
	for i := range agentCount + entryCount {
		c.restart(c.processAt(i))
	}
	for _, m := range slices.Clone(c.platform.members) {
		if !c.isAlive(m.Incarnation) {
			c.platform.remove(m.Incarnation)
		}
	}
	for _, a := range c.agents {
		c.platform.join(a.incarnation, a.address, a.domain)
	}
}

// replaceRemoved restarts agents that are no longer members, as a process does
// that learns of its removal, and adds them to the placement.
func (c *Cluster) replaceRemoved() {
	for i := range agentCount {
		a := c.agents[i]
		if !c.platform.isMember(a.incarnation) {
			a.dead = true
			c.restart(a.process)
		}
		c.platform.join(c.agents[i].incarnation, i, c.agents[i].domain)
	}
}

func (c *Cluster) isAlive(id ident.Incarnation) bool {
	return slices.ContainsFunc(c.agents, func(a *agentProcess) bool { return a.incarnation == id && !a.dead })
}

func (c *Cluster) result() Result {
	return Result{Steps: c.steps, Events: c.events, Starts: c.startCount, Outcomes: c.outcomes, Violation: c.violation}
}

// fail records a violation; only the first one counts.
func (c *Cluster) fail(guarantee Guarantee, detail string) {
	c.logf("violation", "%s: %s", guarantee, detail)
	if c.violation == nil {
		c.violation = &Violation{Guarantee: guarantee, At: c.queue.Now(), Detail: detail}
	}
}
