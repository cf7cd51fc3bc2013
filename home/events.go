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

// Event is one input of the core.
type Event interface{ isHomeEvent() }

// Submit hands over a job from an entry. A repeated Submit attaches.
type Submit struct {
	Request ident.RequestID
	Spec    *job.Spec
	// Fresh means that no other incarnation can have seen the job.
	Fresh bool
	// Age is the wall-clock time since the caller's first attempt.
	Age time.Duration
}

// Lookup asks for the state or outcome of a job and starts nothing. With Wait
// it is answered when the outcome is known.
type Lookup struct {
	Request ident.RequestID
	Key     ident.JobKey
	Wait    bool
}

// Cancel ends a job. Tasks that run go on, and their results are dropped.
type Cancel struct {
	Request ident.RequestID
	Key     ident.JobKey
}

// Gone says that the caller of a request waits no longer.
type Gone struct{ Request ident.RequestID }

// SealAsked is a newer home asking for a record, or for the promise never to
// accept the key.
type SealAsked struct {
	Request ident.RequestID
	Key     ident.JobKey
	From    ident.Incarnation
	// Epoch is the epoch in which From takes itself for the home.
	Epoch ident.Epoch
}

// SealVerdict is what became of asking for a seal.
type SealVerdict int

// The verdicts; the first three values are those of the protocol.
const (
	// Sealed means that the peer has no record and will never accept the key.
	Sealed SealVerdict = iota + 1
	// Held means that the peer has the record.
	Held
	// Replaced means that another incarnation answered at the peer's address,
	// so the asked one is gone.
	Replaced
	// Unreachable means that no answer could be had.
	Unreachable
)

// SealAnswered is the answer of a former home.
type SealAnswered struct {
	Key     ident.JobKey
	Peer    ident.Incarnation
	Verdict SealVerdict
	Vouches []Vouch
	// GoneFor is how long a replaced peer has been gone at least.
	GoneFor time.Duration
}

// Vouch says that the heir has every record of the peer whose key has the heir
// for its home in the epoch.
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
	// Ran is how long the backend server took.
	Ran time.Duration
}

// NotSent says that a task never left this process, so it may go elsewhere.
type NotSent struct {
	Agent   ident.Incarnation
	Task    ident.TaskID
	Attempt int
}

// AgentGone says that an incarnation is gone for good.
type AgentGone struct{ Agent ident.Incarnation }

// GateLoad is the load of the gate in the same process as it is now.
type GateLoad struct{ Load dispatch.Load }

// SetExecutors replaces the view of the agents that can run tasks.
type SetExecutors struct{ Executors []dispatch.Executor }

// SetPlacement hands over a newer placement. Older ones are ignored.
type SetPlacement struct{ Placement *placement.Placement }

// SetPermit hands over the newest permit.
type SetPermit struct{ Permit permit.Permit }

// HandedOver brings records from a leaving home. Last says that the peer has
// sent all that was meant for this home.
type HandedOver struct {
	From ident.Incarnation
	// Epoch is the one whose homes the records were shared among.
	Epoch   ident.Epoch
	Records []Record
	// Vouches lists what the peer knew of handovers to it and before.
	Vouches []Vouch
	Last    bool
}

// Tick lets time pass: deadlines, retention, retries.
type Tick struct{}

func (Submit) isHomeEvent()       {}
func (Lookup) isHomeEvent()       {}
func (Cancel) isHomeEvent()       {}
func (Gone) isHomeEvent()         {}
func (SealAsked) isHomeEvent()    {}
func (SealAnswered) isHomeEvent() {}
func (Answered) isHomeEvent()     {}
func (NotSent) isHomeEvent()      {}
func (AgentGone) isHomeEvent()    {}
func (GateLoad) isHomeEvent()     {}
func (SetExecutors) isHomeEvent() {}
func (SetPlacement) isHomeEvent() {}
func (SetPermit) isHomeEvent()    {}
func (HandedOver) isHomeEvent()   {}
func (Tick) isHomeEvent()         {}

// Action is one output of the core.
type Action interface{ isHomeAction() }

// Reply answers a request with a final outcome.
type Reply struct {
	Request ident.RequestID
	Outcome job.Outcome
}

// ReplyState answers a look-up of an unfinished job.
type ReplyState struct {
	Request  ident.RequestID
	Total    int
	Started  int
	Finished int
}

// Redirect answers a request with the incarnation to ask instead. It is a
// promise that this incarnation has not started the job.
type Redirect struct {
	Request ident.RequestID
	To      placement.Member
}

// AnswerSeal answers SealAsked.
type AnswerSeal struct {
	Request ident.RequestID
	Verdict SealVerdict
	Vouches []Vouch
}

// AskSeal asks a former home. The shell answers with SealAnswered, at the
// latest after a time-out.
type AskSeal struct {
	Peer  placement.Member
	Key   ident.JobKey
	Epoch ident.Epoch
}

// Execute sends tasks of one job to the gate of an agent, this one included.
// The shell goes on calling the same incarnation until every task is answered
// or the agent is gone.
type Execute struct {
	Agent    ident.Incarnation
	Key      ident.JobKey
	Service  ident.Service
	Tasks    []gate.Task
	Deadline time.Duration
	// Rank orders the tasks at the gate, on the home's clock.
	Rank time.Duration
}

// Revoke drops tasks of a job that wait at a gate.
type Revoke struct {
	Agent ident.Incarnation
	Key   ident.JobKey
}

// Handover sends records to the home that follows this one for them. The shell
// may split them, and says that it sent the last only after all others were
// acknowledged.
type Handover struct {
	To      placement.Member
	Epoch   ident.Epoch
	Records []Record
	Vouches []Vouch
}

// Record is one finished or sealed job as it is handed over.
type Record struct {
	Key     ident.JobKey
	Digest  uint64
	Sealed  bool
	Outcome job.Outcome
}

func (Reply) isHomeAction()      {}
func (ReplyState) isHomeAction() {}
func (Redirect) isHomeAction()   {}
func (AnswerSeal) isHomeAction() {}
func (AskSeal) isHomeAction()    {}
func (Execute) isHomeAction()    {}
func (Revoke) isHomeAction()     {}
func (Handover) isHomeAction()   {}
