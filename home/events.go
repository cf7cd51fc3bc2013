package home

import (
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// Event is an input of the core.
type Event interface{ isHomeEvent() }

// Submit is a job from an entry. A repeated Submit for the same key attaches to
// the existing record.
type Submit struct {
	Request ident.RequestID
	Spec    *job.Spec
	// Fresh means that this is the caller's first attempt, so no other
	// incarnation can have seen the job.
	Fresh bool
	// Age is the wall-clock time since the caller's first attempt. It is
	// negative if the caller's clock is ahead.
	Age time.Duration
}

// Lookup asks for the state or outcome of a job and starts nothing. With Wait
// it is answered when the outcome is known.
type Lookup struct {
	Request ident.RequestID
	Key     ident.JobKey
	Wait    bool
}

// Cancel ends a job. Running tasks are not stopped, but their results are
// dropped.
type Cancel struct {
	Request ident.RequestID
	Key     ident.JobKey
}

// CallerGone reports that the caller of a request no longer waits for the answer.
type CallerGone struct{ Request ident.RequestID }

// SealRequested is the request of a newer home to seal a key. The answer is that
// this home has the record, or the promise never to accept the key.
type SealRequested struct {
	Request ident.RequestID
	Key     ident.JobKey
	From    ident.Incarnation
	// Epoch is the epoch in which From considers itself the home.
	Epoch ident.Epoch
}

// SealVerdict is the result of a seal request.
type SealVerdict int

// The seal verdicts. The first three values are those of the protocol.
const (
	// Sealed means that the peer has no record and will never accept the key.
	Sealed SealVerdict = iota + 1
	// Held means that the peer has the record.
	Held
	// Replaced means that another incarnation answered at the peer's address,
	// so the one that was asked is gone.
	Replaced
	// Unreachable means that the peer did not answer or could not give a seal.
	Unreachable
)

// SealAnswered is the answer of a former home to RequestSeal.
type SealAnswered struct {
	Key     ident.JobKey
	Peer    ident.Incarnation
	Verdict SealVerdict
	Vouches []Vouch
	// GoneFor is the minimum time for which a replaced peer has been gone.
	GoneFor time.Duration
}

// Vouch states that Heir holds every record that Peer had of the keys whose home
// in Epoch is Heir.
type Vouch struct {
	Peer  ident.Incarnation
	Heir  ident.Incarnation
	Epoch ident.Epoch
}

// Answered is the answer of a gate to one task.
type Answered struct {
	Agent   ident.Incarnation
	Task    ident.TaskID
	Attempt int
	Verdict gate.Verdict
	Body    []byte
	Reason  job.Reason
	Detail  string
	Load    dispatch.Load
	// Ran is how long the backend server took; zero if the task has not started.
	Ran time.Duration
}

// NotSent reports that a task never left this process, so it may be sent to
// another executor.
type NotSent struct {
	Agent   ident.Incarnation
	Task    ident.TaskID
	Attempt int
}

// AgentGone reports that an incarnation is gone for good and will never answer.
type AgentGone struct{ Agent ident.Incarnation }

// GateLoad is the present load of the gate in the same process.
type GateLoad struct{ Load dispatch.Load }

// SetExecutors replaces the list of agents that can run tasks.
type SetExecutors struct{ Executors []dispatch.Executor }

// SetPlacement installs a newer placement. Older ones are ignored.
type SetPlacement struct{ Placement *placement.Placement }

// SetPermit installs the newest permit.
type SetPermit struct{ Permit permit.Permit }

// HandedOver is a batch of records from a leaving home. Last means that the peer
// has now sent all records meant for this home.
type HandedOver struct {
	From ident.Incarnation
	// Epoch is the epoch whose placement determined the new home of each record.
	Epoch   ident.Epoch
	Records []Record
	// Vouches lists the earlier handovers that the peer knew of.
	Vouches []Vouch
	Last    bool
}

// Tick makes the core apply deadlines, retention and retries.
type Tick struct{}

func (Submit) isHomeEvent()        {}
func (Lookup) isHomeEvent()        {}
func (Cancel) isHomeEvent()        {}
func (CallerGone) isHomeEvent()    {}
func (SealRequested) isHomeEvent() {}
func (SealAnswered) isHomeEvent()  {}
func (Answered) isHomeEvent()      {}
func (NotSent) isHomeEvent()       {}
func (AgentGone) isHomeEvent()     {}
func (GateLoad) isHomeEvent()      {}
func (SetExecutors) isHomeEvent()  {}
func (SetPlacement) isHomeEvent()  {}
func (SetPermit) isHomeEvent()     {}
func (HandedOver) isHomeEvent()    {}
func (Tick) isHomeEvent()          {}

// Action is an output of the core, performed by the caller of Step.
type Action interface{ isHomeAction() }

// Reply answers a request with a final outcome.
type Reply struct {
	Request ident.RequestID
	Outcome job.Outcome
}

// ReplyState answers a look-up of an unfinished job with numbers of tasks.
type ReplyState struct {
	Request  ident.RequestID
	Total    int
	Started  int
	Finished int
}

// Redirect answers a request with the incarnation to ask instead. It guarantees
// that this incarnation has not started the job.
type Redirect struct {
	Request ident.RequestID
	To      placement.Member
}

// AnswerSeal answers SealRequested.
type AnswerSeal struct {
	Request ident.RequestID
	Verdict SealVerdict
	Vouches []Vouch
}

// RequestSeal asks a former home to seal a key. The caller of Step answers with
// SealAnswered, after a time-out at the latest.
type RequestSeal struct {
	Peer  placement.Member
	Key   ident.JobKey
	Epoch ident.Epoch
}

// Execute sends tasks of one job to the gate of an agent, this one included.
// The caller of Step repeats the call to the same incarnation until every task is
// answered or the agent is gone.
type Execute struct {
	Agent   ident.Incarnation
	Key     ident.JobKey
	Service ident.Service
	Tasks   []gate.Task
	// Deadline is the deadline of the job, on the home's clock.
	Deadline time.Duration
	// Rank orders the tasks at the gate, lowest first, on the home's clock.
	Rank time.Duration
}

// Revoke drops tasks of a job that wait at a gate.
type Revoke struct {
	Agent ident.Incarnation
	Key   ident.JobKey
}

// Handover sends records to their next home. The caller of Step may split them
// into several messages. It marks a message as the last one only after all others
// were acknowledged.
type Handover struct {
	To      placement.Member
	Epoch   ident.Epoch
	Records []Record
	Vouches []Vouch
}

// Record is the record of one finished job as it is handed over.
type Record struct {
	Key     ident.JobKey
	Digest  uint64
	Sealed  bool
	Outcome job.Outcome
}

func (Reply) isHomeAction()       {}
func (ReplyState) isHomeAction()  {}
func (Redirect) isHomeAction()    {}
func (AnswerSeal) isHomeAction()  {}
func (RequestSeal) isHomeAction() {}
func (Execute) isHomeAction()     {}
func (Revoke) isHomeAction()      {}
func (Handover) isHomeAction()    {}
