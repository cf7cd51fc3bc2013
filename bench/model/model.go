// Package model is a model test of the decision cores of agents and entries
// (packages home, gate, routing and permit). It runs them against each other in
// simulated time: several agents and entries, a network that loses and delays
// messages, a platform that commits epochs and withdrawals, backend servers
// that count every start, and callers that submit and resubmit. Package sim
// also runs cores in simulated time, but without network faults, to measure the
// dispatch policy.
//
// A run depends only on its Trace: the seed and the list of commands. The cores
// are the shipped ones; the simulated processes around them imitate what the
// agent and entry processes do.
package model

import (
	"fmt"
	"io"
	"time"
)

// Trace is the input of one run, which can be repeated.
type Trace struct {
	// Seed drives delays, losses and run times.
	Seed uint64
	// Mutation is the fault that is injected into the simulated processes, if
	// any.
	Mutation Mutation
	// FaultFree says that the commands contain planned changes but no faults, so
	// that every job must complete.
	FaultFree bool
	Commands  []Command
}

// Guarantee names a guarantee that a run can violate.
type Guarantee string

// The guarantees.
const (
	// GuaranteeStartOnce: each task, a job key with an index, starts at most once.
	GuaranteeStartOnce Guarantee = "start-once"
	// GuaranteeRefusedNotRun: a job whose submissions were all refused does not
	// start until it is submitted again, and a submission that was made after a
	// start of its job is never refused.
	GuaranteeRefusedNotRun Guarantee = "refused-not-run"
	// GuaranteeCompleteAnswer: the answer for a complete job has every index
	// exactly once, each with the result of that task of this job.
	GuaranteeCompleteAnswer Guarantee = "complete-is-whole"
	// GuaranteeWithdrawnDomain: no task starts in a withdrawn failure domain
	// later than one lease after the withdrawal was committed.
	GuaranteeWithdrawnDomain Guarantee = "withdrawn-domain"
	// GuaranteeMonotonic: the version and the epoch of an agent's permit never
	// decrease.
	GuaranteeMonotonic Guarantee = "never-back"
	// GuaranteeTerminates: every submission is answered within its deadline plus a
	// short tolerance unless its entry was paused, and once faults end no job,
	// task or request stays active anywhere.
	GuaranteeTerminates Guarantee = "settles"
	// GuaranteePlannedChanges: without faults, every job completes although
	// agents join and leave as planned.
	GuaranteePlannedChanges Guarantee = "planned-changes"
	// GuaranteeRecovers: once faults end, new jobs complete.
	GuaranteeRecovers Guarantee = "works-again"
)

// Violation reports a violated guarantee. At is the simulated time.
type Violation struct {
	Guarantee Guarantee
	At        time.Duration
	Detail    string
}

// Error implements error.
func (v *Violation) Error() string { return fmt.Sprintf("%s at %v: %s", v.Guarantee, v.At, v.Detail) }

// Result holds the counts of a run and its first violation.
type Result struct {
	// Steps is the number of commands, Events the number of simulated events.
	Steps, Events int
	// Starts is the number of task starts at the backend servers.
	Starts   int
	Outcomes Outcomes
	// Violation is the first violated guarantee, or nil.
	Violation *Violation
}

// Outcomes counts the answers to submissions. Lost counts the requests whose
// entry was killed before it answered.
type Outcomes struct {
	Complete, Failed, Refused, Lost int
}

// Run runs a trace: its commands, then the end of all faults, then a time
// within which all jobs and requests must end. A run stops at the first
// violation.
func Run(trace Trace) Result { return RunLogged(trace, nil) }

// RunLogged is Run with a log of the commands and of the events that concern
// jobs. log may be nil.
func RunLogged(trace Trace, log io.Writer) Result {
	c := newCluster(trace, log)
	for _, cmd := range trace.Commands {
		c.apply(cmd)
		c.advance(time.Duration(cmd.Wait) * time.Millisecond)
		c.steps++
		if c.violation != nil {
			return c.result()
		}
	}
	c.settle()
	return c.result()
}
