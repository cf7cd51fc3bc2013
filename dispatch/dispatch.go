// Package dispatch decides, inside a home, which waiting task goes next and to
// which executor. It is a pure decision core: no I/O, clock or goroutine.
package dispatch

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// Load is what a gate says about itself, in answers and heartbeats.
type Load struct {
	// Free is the number of idle slots.
	Free int
	// Queued is the number of tasks that wait at the gate.
	Queued int
	// Pace is the time that slots were busy for each task finished, over the
	// latest few dozen tasks; zero if there were too few. It rises as soon as
	// running tasks fail to finish.
	Pace time.Duration
}

// idle is the number of idle slots; a negative number is a queue.
func (l Load) idle() int { return l.Free - l.Queued }

// Executor is what a home knows about one agent that can run tasks.
type Executor struct {
	Incarnation ident.Incarnation
	Domain      ident.FailureDomain
	Services    []ident.Service
	// Slots is the number of tasks the backend server runs at a time.
	Slots int
	// Load is that of the latest heartbeat.
	Load Load
	// Accepting is false while the executor leaves or its failure domain is
	// withdrawn.
	Accepting bool
}

// Report is what an answer from an executor says beside its result.
type Report struct {
	Load Load
	// Started is false if the executor refused the task without starting it.
	Started bool
	// Failed is true if the task ran and its backend server answered with an
	// error.
	Failed bool
	// Late is true if the job had ended before. Such an answer says nothing
	// about the executor: one bad job would count with each of its tasks.
	Late bool
	// Ran is how long the backend server took; zero if that isn't known.
	Ran time.Duration
}

// Pool chooses executors. Implementations differ in policy.
type Pool interface {
	// SetExecutors replaces what is known about all executors. Load numbers
	// may be older than those of the latest Report.
	SetExecutors(now time.Duration, executors []Executor)
	// Pick chooses an executor of the service for one task and returns its
	// incarnation; false means that the task has to wait at the home. Urgent
	// means that only a few tasks of the job are in flight.
	Pick(now time.Duration, service ident.Service, urgent bool) (ident.Incarnation, bool)
	// Report notes the answer to one task that Pick placed.
	Report(now time.Duration, executor ident.Incarnation, r Report)
	// Observe notes the load of an executor as it is now. The home's own agent
	// calls it when the load of its gate has changed.
	Observe(now time.Duration, executor ident.Incarnation, l Load)
	// Remove forgets an executor.
	Remove(executor ident.Incarnation)
}
