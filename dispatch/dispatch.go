// Package dispatch decides, for a home (package home), which waiting task is sent
// next and to which executor. An executor is an agent whose backend server can run
// tasks; its gate (package gate) queues and starts them. Queue orders the waiting
// tasks of a home, and a Pool chooses the executor. How an entry chooses the home
// of a job is in package routing; the decisions for jobs whose record no agent
// keeps are in package schedule.
//
// The package is a pure decision core: it has no I/O, clock or goroutine.
package dispatch

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// Load is the load that a gate reports in answers and heartbeats.
type Load struct {
	// Free is the number of idle slots.
	Free int
	// Queued is the number of tasks that wait at the gate.
	Queued int
	// Pace is the busy time of slots per finished task, averaged over the latest
	// few dozen tasks; zero if there were too few. It rises as soon as running
	// tasks take longer to finish.
	Pace time.Duration
}

// idle returns the number of idle slots minus the number of queued tasks.
func (l Load) idle() int { return l.Free - l.Queued }

// Executor is what a home knows about one agent that can run tasks.
type Executor struct {
	Incarnation ident.Incarnation
	Domain      ident.FailureDomain
	Services    []ident.Service
	// Slots is the number of tasks the backend server runs at a time.
	Slots int
	// Load is the load in the latest heartbeat.
	Load Load
	// Accepting is false while the executor is leaving or its failure domain is
	// withdrawn.
	Accepting bool
}

// Report is what an answer to one task says about the executor.
type Report struct {
	Load Load
	// Started is false if the executor refused the task without starting it.
	Started bool
	// Failed is true if the task ran and its backend server answered with an
	// error.
	Failed bool
	// Late is true if the job had ended before the answer came. Such answers
	// don't count towards the executor's health, since one bad job would count
	// once for each of its tasks.
	Late bool
	// Ran is how long the backend server took; zero if that isn't known.
	Ran time.Duration
}

// Pool chooses executors and keeps their estimated load. Implementations differ in
// policy.
type Pool interface {
	// SetExecutors replaces the list of executors. Their load may be older than
	// that of the latest Report.
	SetExecutors(now time.Duration, executors []Executor)
	// Pick chooses an executor of the service for one task and returns its
	// incarnation, or false if the task has to wait at the home. A task is
	// urgent if fewer than UrgentInFlight tasks of its job are in flight.
	Pick(now time.Duration, service ident.Service, urgent bool) (ident.Incarnation, bool)
	// Report processes the answer to one task that Pick placed.
	Report(now time.Duration, executor ident.Incarnation, r Report)
	// Observe updates the load of an executor to its present load. The home's
	// own agent calls it when the load of its gate has changed.
	Observe(now time.Duration, executor ident.Incarnation, l Load)
	// Remove removes an executor.
	Remove(executor ident.Incarnation)
}
