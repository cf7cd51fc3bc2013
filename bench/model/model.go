// Package model runs the decision cores of the system against each other in
// simulated time: several agents and entries, a network that loses and delays
// messages, a platform that commits epochs and withdrawals, backend servers that
// count every start, and callers that submit and resubmit.
//
// A run depends only on its Trace: the seed and the list of commands. The cores
// are those that ship; the parts around them repeat what the shells do.
package model

import (
	"fmt"
	"io"
	"time"
)

// Trace is one run that can be repeated.
type Trace struct {
	// Seed drives delays, losses and run times.
	Seed uint64
	// Mutation names the rule that is broken on purpose, if any.
	Mutation Mutation
	// Planned says that the commands hold no fault, so that every job has to
	// complete.
	Planned  bool
	Commands []Command
}

// Rule names a promise that a run can break.
type Rule string

// The promises.
const (
	// RuleStartOnce: starts per (job key, index) are at most one.
	RuleStartOnce Rule = "start-once"
	// RuleRefusedNotRun: a job of which every submission was refused has no
	// start until it is submitted again, and a submission that was made
	// after a start of its job is never refused.
	RuleRefusedNotRun Rule = "refused-not-run"
	// RuleWhole: a complete answer has every index exactly once, each with the
	// result of that task of this job.
	RuleWhole Rule = "complete-is-whole"
	// RuleDomainOut: nothing starts in a withdrawn failure domain later than
	// one lease after the withdrawal was committed.
	RuleDomainOut Rule = "withdrawn-domain"
	// RuleMonotonic: versions and epochs of a permit never go down.
	RuleMonotonic Rule = "never-back"
	// RuleSettles: every submission is answered within its deadline and a
	// short slack unless its entry was paused, and once faults end nothing
	// stays active anywhere.
	RuleSettles Rule = "settles"
	// RulePlanned: without faults, planned changes cost no job its answer.
	RulePlanned Rule = "planned-changes"
	// RuleWorks: once faults end, new jobs complete.
	RuleWorks Rule = "works-again"
)

// Violation is a broken promise.
type Violation struct {
	Rule   Rule
	At     time.Duration
	Detail string
}

// Error implements error.
func (v *Violation) Error() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Detail) }

// Result is what a run did.
type Result struct {
	// Steps is the number of commands, Events the number of simulated events.
	Steps, Events int
	Starts        int
	Outcomes      Outcomes
	// Broken is the first broken promise, or nil.
	Broken *Violation
}

// Outcomes counts the answers to submissions.
type Outcomes struct {
	Complete, Failed, Refused, Lost int
}

// Run runs a trace: its commands, then the end of all faults, then a settling
// time in which everything has to come to an end.
func Run(trace Trace) Result { return RunLogged(trace, nil) }

// RunLogged is Run with a log of the events that concern jobs; log may be nil.
func RunLogged(trace Trace, log io.Writer) Result {
	c := newCluster(trace, log)
	for _, cmd := range trace.Commands {
		c.apply(cmd)
		c.advance(time.Duration(cmd.Wait) * time.Millisecond)
		c.steps++
		if c.broken != nil {
			return c.result()
		}
	}
	c.settle()
	return c.result()
}
