package gate

import (
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
)

// Event is one input of the core.
type Event interface{ isGateEvent() }

// Task is one task as a home hands it to the gate.
type Task struct {
	job.Task
	// Attempt grows by one each time a gate refused the task. A refused
	// attempt is sealed: a delayed copy of it starts nothing.
	Attempt int
}

// Execute asks the gate to start tasks of one job. A repeated Execute attaches
// to the notes of the earlier one, and answers go to the newer request.
type Execute struct {
	Request ident.RequestID
	Home    ident.Incarnation
	Key     ident.JobKey
	Service ident.Service
	Tasks   []Task
	// Deadline is when the job's time is up, on the gate's clock.
	Deadline time.Duration
	// Rank orders waiting tasks, the least first, on the gate's clock.
	Rank time.Duration
	// Age is the wall-clock time since the home wrote the request. A request
	// older than the notes may be kept is refused.
	Age time.Duration
}

// Finished says that the backend server has answered, or never will.
type Finished struct {
	Task ident.TaskID
	// OK is true if the answer is a result; Body is then the result.
	OK     bool
	Body   []byte
	Detail string
}

// NotSent says that the shell did not write a single byte of the task to the
// backend server.
type NotSent struct {
	Task   ident.TaskID
	Reason job.Reason
}

// SetPermit hands the gate its newest permit.
type SetPermit struct{ Permit permit.Permit }

// SetBackend says what the backend server announced. Slots is zero while there
// is none.
type SetBackend struct {
	Services    []ident.Service
	Slots       int
	Connections int
}

// Revoke drops the waiting tasks of a job.
type Revoke struct {
	Home ident.Incarnation
	Key  ident.JobKey
}

// Leave stops the gate from starting anything.
type Leave struct{}

// Tick lets time pass: deadlines and expiry of notes.
type Tick struct{}

func (Execute) isGateEvent()    {}
func (Finished) isGateEvent()   {}
func (NotSent) isGateEvent()    {}
func (SetPermit) isGateEvent()  {}
func (SetBackend) isGateEvent() {}
func (Revoke) isGateEvent()     {}
func (Leave) isGateEvent()      {}
func (Tick) isGateEvent()       {}

// Action is one output of the core.
type Action interface{ isGateAction() }

// Send tells the shell to send the task to the backend server, once. The shell
// checks the permit again immediately before the first byte.
type Send struct {
	Task     ident.TaskID
	Service  ident.Service
	Payload  []byte
	Deadline time.Duration
}

// Verdict says what became of one attempt of a task.
type Verdict int

// The verdicts; the values are those of the protocol.
const (
	// Done means that the task ran and Body is its result.
	Done Verdict = iota + 1
	// Ran means that the task started and has no usable result.
	Ran
	// NotStarted means that this attempt has not started and never will.
	NotStarted
	// WrongIncarnation means that the request was meant for another life of
	// the process.
	WrongIncarnation
)

// Answer answers one task of a request.
type Answer struct {
	Request ident.RequestID
	Task    ident.TaskID
	Attempt int
	Verdict Verdict
	Body    []byte
	Reason  job.Reason
	Detail  string
	Load    dispatch.Load
	// Ran is how long the backend server took; zero for tasks not started.
	Ran time.Duration
}

func (Send) isGateAction()   {}
func (Answer) isGateAction() {}
