package routing

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
)

// Event is one input of the core.
type Event interface{ isRoutingEvent() }

// Op is what a caller wants of a job.
type Op int

// The operations.
const (
	// OpSubmit starts or attaches to a job.
	OpSubmit Op = iota + 1
	// OpState asks for the state or the outcome.
	OpState
	// OpWait attaches to a job that must exist.
	OpWait
	// OpCancel cancels.
	OpCancel
)

// Request is one request of a caller.
type Request struct {
	ID  ident.RequestID
	Op  Op
	Key ident.JobKey
	// Spec is set for OpSubmit only.
	Spec *job.Spec
	// First is the caller's mark of a first attempt, FirstAttempt the caller's
	// wall-clock time of it.
	First        bool
	FirstAttempt time.Time
	// Deadline is the time allowed from now on.
	Deadline time.Duration
}

// Answered is a home's final outcome.
type Answered struct {
	ID      ident.RequestID
	Call    int
	Outcome job.Outcome
}

// State is a home's answer to OpState for an unfinished job.
type State struct {
	ID                       ident.RequestID
	Call                     int
	Total, Started, Finished int
}

// Redirected is a home's promise that it has not started the job, and where to
// ask instead.
type Redirected struct {
	ID   ident.RequestID
	Call int
	To   placement.Member
}

// Failed says that a call ended without an answer.
type Failed struct {
	ID   ident.RequestID
	Call int
	// Sent is false only if no byte of the request can have left.
	Sent bool
	// Replaced is true if another incarnation answered at the address, so
	// the one that was meant is gone.
	Replaced bool
}

// Gone says that the caller hung up.
type Gone struct{ ID ident.RequestID }

// SetPlacement hands over a newer placement.
type SetPlacement struct{ Placement *placement.Placement }

// Tick lets time pass.
type Tick struct{}

func (Request) isRoutingEvent()      {}
func (Answered) isRoutingEvent()     {}
func (State) isRoutingEvent()        {}
func (Redirected) isRoutingEvent()   {}
func (Failed) isRoutingEvent()       {}
func (Gone) isRoutingEvent()         {}
func (SetPlacement) isRoutingEvent() {}
func (Tick) isRoutingEvent()         {}

// Action is one output of the core.
type Action interface{ isRoutingAction() }

// Call sends a request to an agent incarnation. Call numbers the calls of one
// request, so that the answer to an earlier one is told from the present one's.
type Call struct {
	ID    ident.RequestID
	Call  int
	Op    Op
	To    placement.Member
	Key   ident.JobKey
	Spec  *job.Spec
	Fresh bool
	// FirstAttempt is passed on from the request.
	FirstAttempt time.Time
	// Deadline is the end of the job's time on the core's clock, GiveUp that
	// of the call.
	Deadline time.Duration
	GiveUp   time.Duration
}

// Reply answers the caller with a final outcome.
type Reply struct {
	ID      ident.RequestID
	Outcome job.Outcome
}

// ReplyState answers the caller with the state of an unfinished job.
type ReplyState struct {
	ID                       ident.RequestID
	Total, Started, Finished int
}

func (Call) isRoutingAction()       {}
func (Reply) isRoutingAction()      {}
func (ReplyState) isRoutingAction() {}
