// Package dispatch decides, inside a home, which waiting task goes next and to
// which executor. It is a pure decision core: no I/O, clock or goroutine.
package dispatch

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// Executor is what a home knows about one agent that can run tasks.
type Executor struct {
	Incarnation ident.Incarnation
	Domain      ident.FailureDomain
	Services    []ident.Service
	// Slots is the number of tasks the backend server runs at a time.
	Slots int
	// Free is the number of idle slots at the last report.
	Free int
	// Accepting is false while the executor leaves or its failure domain is
	// withdrawn.
	Accepting bool
}

// Report is what an answer from an executor says beside its result.
type Report struct {
	// Credit is the number of idle slots kept for this home.
	Credit int
	// Free is the number of idle slots in all.
	Free int
	// Started is false if the executor refused the task without starting it.
	Started bool
	// Failed is true if the task ran and its backend server answered with an
	// error.
	Failed bool
	// Took is the time from the send to the answer.
	Took time.Duration
}

// Pool chooses executors. Implementations differ in policy.
type Pool interface {
	// SetExecutors replaces what is known about all executors. Load numbers
	// may be older than those of the latest Report.
	SetExecutors(now time.Duration, executors []Executor)
	// Pick takes one slot of an executor of the service and returns its
	// incarnation; false means that the task has to wait.
	Pick(now time.Duration, service ident.Service) (ident.Incarnation, bool)
	// Report notes the answer to one task that Pick placed.
	Report(now time.Duration, executor ident.Incarnation, r Report)
	// Offer notes that an executor keeps idle slots for this home.
	Offer(now time.Duration, executor ident.Incarnation, slots int)
	// Observe notes the number of idle slots of an executor, as it is now. The
	// home's own agent calls it whenever its gate's number changes.
	Observe(now time.Duration, executor ident.Incarnation, free int)
	// Remove forgets an executor.
	Remove(executor ident.Incarnation)
	// Wants returns the executors to be told that tasks of the service wait,
	// at most once per change worth telling.
	Wants(now time.Duration, service ident.Service, waiting int, oldest time.Duration) []ident.Incarnation
}
