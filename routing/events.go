package routing

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/placement"
)

// Event is an input of the core.
type Event interface{ isRoutingEvent() }

// Op is the operation that a caller requests.
type Op int

// Operations on jobs.
const (
	// OpSubmit submits a job, or attaches to it if it exists already, and waits for
	// its outcome.
	OpSubmit Op = iota + 1
	// OpState asks for the state of a job, or its outcome if it has ended.
	OpState
	// OpWait attaches to an existing job and waits for its outcome.
	OpWait
	// OpCancel cancels a job.
	OpCancel
)

// Request is a request of a caller.
type Request struct {
	ID  ident.RequestID
	Op  Op
	Key ident.JobKey
	// Spec is set for OpSubmit only.
	Spec *job.Spec
	// First is true if the caller marked the request as its first attempt.
	// FirstAttempt is the caller's wall-clock time of that attempt.
	First        bool
	FirstAttempt time.Time
	// Deadline is the time allowed, counted from this event.
	Deadline time.Duration
}

// Answered reports the final outcome from a home.
type Answered struct {
	ID      ident.RequestID
	Call    int
	Outcome job.Outcome
}

// JobState reports a home's answer to OpState for an unfinished job. The numbers count
// tasks.
type JobState struct {
	ID                       ident.RequestID
	Call                     int
	Total, Started, Finished int
}

// Redirected reports a redirect from a home to the member to call instead. It is a
// promise of the home that it has not started the job.
type Redirected struct {
	ID   ident.RequestID
	Call int
	To   placement.Member
}

// CallFailed reports that a call ended without an answer.
type CallFailed struct {
	ID   ident.RequestID
	Call int
	// Sent is false only if certainly no byte of the request was sent.
	Sent bool
	// Replaced is true if another incarnation answered at the address, which
	// means that the called one is gone.
	Replaced bool
}

// CallerGone reports that the caller has disconnected.
type CallerGone struct{ ID ident.RequestID }

// SetPlacement sets the placement, unless the core has it or a newer one.
type SetPlacement struct{ Placement *placement.Placement }

// Tick is sent periodically, so that retries are made and deadlines are noticed.
type Tick struct{}

func (Request) isRoutingEvent()      {}
func (Answered) isRoutingEvent()     {}
func (JobState) isRoutingEvent()     {}
func (Redirected) isRoutingEvent()   {}
func (CallFailed) isRoutingEvent()   {}
func (CallerGone) isRoutingEvent()   {}
func (SetPlacement) isRoutingEvent() {}
func (Tick) isRoutingEvent()         {}

// Action is an output of the core.
type Action interface{ isRoutingAction() }

// Call sends a request to an agent incarnation. Its field Call is the number of the
// call within the request, which tells the answer to the outstanding call from
// answers to earlier ones.
type Call struct {
	ID   ident.RequestID
	Call int
	Op   Op
	To   placement.Member
	Key  ident.JobKey
	Spec *job.Spec
	// Fresh is true if no incarnation other than To can have the job.
	Fresh bool
	// FirstAttempt is that of the request.
	FirstAttempt time.Time
	// Deadline is the end of the time of the job, ReplyDeadline that of the call,
	// both on the core's clock.
	Deadline      time.Duration
	ReplyDeadline time.Duration
}

// Reply answers the caller with the final outcome.
type Reply struct {
	ID      ident.RequestID
	Outcome job.Outcome
}

// ReplyState answers the caller with the state of an unfinished job. The numbers count
// tasks.
type ReplyState struct {
	ID                       ident.RequestID
	Total, Started, Finished int
}

func (Call) isRoutingAction()       {}
func (Reply) isRoutingAction()      {}
func (ReplyState) isRoutingAction() {}
