// Package shutdown is the decision core of a planned stop of a process that serves
// callers: when it stops accepting connections, when it closes idle ones, and when it
// ends. It has no I/O and no clock; package daemon observes the connections and carries
// the decisions out.
//
// Invariants:
//   - Before the limit the process ends only when no connection of a caller is open, so
//     that each request that it has read has been answered.
//   - Connections are accepted until the balancer has had its time to notice the stop.
package shutdown

import "time"

// Margins before the end of the grace period, when the platform kills the process. Each
// takes at most its share of the period.
const (
	// answerMargin is how long before that end the last answer is due, so that it can
	// still be written.
	answerMargin      = 600 * time.Millisecond
	answerMarginShare = 0.2
	// exitMargin is the part of the grace period that is reserved for the exit itself.
	exitMargin      = 250 * time.Millisecond
	exitMarginShare = 0.1
)

// Quiet is how long no connection and no request may have arrived before idle connections
// are closed: several round trips to a caller. A request that is on its way to a
// connection while it is closed is lost.
const Quiet = 250 * time.Millisecond

// Plan holds the times of a stop, counted from the signal.
type Plan struct {
	// Balancer is until when the balancer may send new connections.
	Balancer time.Duration
	// LastAccept is until when the process waits for a moment without connections before
	// it accepts no more. Callers are refused after that and go elsewhere, while the
	// process still has time for the requests that it has read.
	LastAccept time.Duration
	// AnswerBy is when all work in progress is given up and answered.
	AnswerBy time.Duration
	// Limit is when the process ends in any case.
	Limit time.Duration
}

// NewPlan returns the plan of a stop with a grace period. balancer is how long the
// balancer may take to notice that the process isn't ready; at most half of the grace
// period is waited for it.
func NewPlan(grace, balancer time.Duration) Plan {
	p := Plan{
		Balancer: min(balancer, grace/2),
		AnswerBy: grace - min(answerMargin, share(grace, answerMarginShare)),
		Limit:    Limit(grace),
	}
	p.LastAccept = p.Balancer + (grace-p.Balancer)/3
	return p
}

// Limit returns how long after the signal a process with a grace period ends in any case.
func Limit(grace time.Duration) time.Duration {
	return grace - min(exitMargin, share(grace, exitMarginShare))
}

func share(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}

// Observation is the state of the process at one moment of its stop.
type Observation struct {
	// Elapsed is the time since the signal.
	Elapsed time.Duration
	// SinceArrival is the time since a connection was accepted or a request began to
	// arrive.
	SinceArrival time.Duration
	// Connections is the number of open connections of callers.
	Connections int
	// Working is true while the process has work that isn't answered.
	Working bool
}

// Decision is what the process does until the next observation.
type Decision struct {
	// CloseIdle closes the connections without a request in progress.
	CloseIdle bool
	// StopAccepting closes the listener of callers.
	StopAccepting bool
	// End ends the stop. Connections that are still open are cut.
	End bool
}

// Stop is the state of a planned stop.
type Stop struct {
	plan Plan
	// closing is true once idle connections are closed, refusing once no connection is
	// accepted.
	closing, refusing bool
}

// New returns a stop that follows the plan.
func New(plan Plan) *Stop { return &Stop{plan: plan} }

// Step decides what to do at a moment of the stop. At a quiet moment after the balancer's
// delay it begins to close idle connections. Once none is open it refuses new ones, and a
// step later it ends the stop, if none was accepted in between. No decision is reversed.
func (s *Stop) Step(o Observation) Decision {
	quiet := o.Elapsed >= s.plan.Balancer && o.SinceArrival >= Quiet
	overdue := o.Elapsed >= s.plan.LastAccept
	s.closing = s.closing || quiet || overdue
	idle := o.Connections == 0 && !o.Working
	finished := s.refusing && idle
	s.refusing = s.refusing || overdue || (s.closing && idle)
	return Decision{
		CloseIdle:     s.closing,
		StopAccepting: s.refusing,
		End:           finished || o.Elapsed >= s.plan.Limit,
	}
}
