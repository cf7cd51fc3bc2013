package gate

import (
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
)

// Event is an input of the core.
type Event interface{ isGateEvent() }

// Task is one task as a home sends it to the gate.
type Task struct {
	job.Task
	// Attempt grows by one each time the home sends the task again after a
	// refusal. A refused attempt is sealed: a delayed copy of it starts nothing.
	Attempt int
}

// Execute asks the gate to start tasks of one job. A repeated Execute attaches
// to the records of the earlier one, and answers go to the newer request.
type Execute struct {
	Request ident.RequestID
	Home    ident.Incarnation
	Key     ident.JobKey
	Service ident.Service
	Tasks   []Task
	// Deadline is the deadline of the job, on the gate's clock.
	Deadline time.Duration
	// Rank orders waiting tasks, lowest first, on the gate's clock.
	Rank time.Duration
	// Age is the wall-clock time since the home wrote the request. A request
	// older than Config.MaxAge is refused, since the record of an earlier copy
	// may have expired.
	Age time.Duration
}

// Finished reports that the backend server has answered a task, or never will.
type Finished struct {
	Task ident.TaskID
	// OK is true if the answer is a result; Body is then the result.
	OK     bool
	Body   []byte
	Detail string
}

// NotSent reports that no byte of the task was written to the backend server.
type NotSent struct {
	Task   ident.TaskID
	Reason job.Reason
}

// SetPermit installs the newest permit.
type SetPermit struct{ Permit permit.Permit }

// SetBackend reports what the backend server announced. Slots is zero while there
// is no backend server.
type SetBackend struct {
	Services    []ident.Service
	Slots       int
	Connections int
}

// Revoke refuses the waiting tasks of a job. Running tasks continue.
type Revoke struct {
	Home ident.Incarnation
	Key  ident.JobKey
}

// StopStarting stops the gate from starting any further task.
type StopStarting struct{}

// Tick makes the core apply deadlines and expire records.
type Tick struct{}

func (Execute) isGateEvent()      {}
func (Finished) isGateEvent()     {}
func (NotSent) isGateEvent()      {}
func (SetPermit) isGateEvent()    {}
func (SetBackend) isGateEvent()   {}
func (Revoke) isGateEvent()       {}
func (StopStarting) isGateEvent() {}
func (Tick) isGateEvent()         {}

// Action is an output of the core, performed by the caller of Step.
type Action interface{ isGateAction() }

// Send sends the task to the backend server, once. The caller of Step checks the
// permit again immediately before it writes the first byte.
type Send struct {
	Task     ident.TaskID
	Service  ident.Service
	Payload  []byte
	Deadline time.Duration
}

// Verdict is the result of one attempt of a task.
type Verdict int

// The verdicts. The values are those of the protocol.
const (
	// Done means that the task ran and Body is its result.
	Done Verdict = iota + 1
	// Ran means that the task started, or may have started, and has no usable
	// result.
	Ran
	// NotStarted means that this attempt has not started and never will.
	NotStarted
	// WrongIncarnation means that the request was meant for another incarnation
	// of the agent.
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
