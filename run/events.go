package run

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Event is something that the core has to react to.
type Event interface{ event() }

// ServerReported says what a backend server tells of itself. It counts only if
// it is newer than the last report of the same incarnation.
type ServerReported struct {
	Server work.Server
	// Born is the start of the incarnation by the server's own time of day. It
	// tells incarnations apart and is the same in every answer of one.
	Born int64
	// Clock is the server's steady clock when it sent the report.
	Clock time.Duration
	// Sequence rises with each report of an incarnation.
	Sequence int64
}

// ServerLeft says that the backend server has ended by plan.
type ServerLeft struct{ Incarnation string }

// Offered hands a task to the agent.
type Offered struct {
	Entry    ident.Incarnation
	Run      work.Run
	Spec     string
	Service  ident.Service
	Priority work.Priority
	Demand   work.Demand
	// Expected is how long the task takes on a usual backend server, as far as the
	// entry knows; 0 if it doesn't.
	Expected time.Duration
}

// StopAsked asks for the end of a run, whether it waits or runs.
type StopAsked struct {
	Entry ident.Incarnation
	Run   work.Run
}

// EntryHeard renews the lease of the entry's runs.
type EntryHeard struct {
	Entry ident.Incarnation
	// AsOf is the agent's clock when it sent the newest message that the entry had
	// worked off. The lease counts from there: the entry knows that it was given.
	AsOf time.Duration
}

// DomainWithdrawn says whether the agent's failure domain is out of service.
type DomainWithdrawn struct{ Withdrawn bool }

// Closing says that the agent takes no more work, since its process ends.
type Closing struct{}

// StartAnswered is the outcome of CallStart.
type StartAnswered struct {
	Run   work.Run
	Reply StartReply
	// Stamp is the answer's stamp, if there was an answer.
	Stamp Stamp
}

// StartReply is what a backend server says to a start.
type StartReply int

// The replies.
const (
	// Started: the run is there.
	Started StartReply = iota + 1
	// RefusedOld: the server has seen this run or a higher one end.
	RefusedOld
	// RefusedLate: the expiry of the start was past on the server's clock.
	RefusedLate
	// RefusedRoom: the server guards its capacity and has no room.
	RefusedRoom
	// RefusedFence: the server has seen a higher fencing token.
	RefusedFence
	// RefusedBad: the server can't make sense of the start.
	RefusedBad
	// RefusedBusy: the server is unhealthy and has done nothing.
	RefusedBusy
	// NoAnswer: the start may have been carried out, or may be later.
	NoAnswer
)

// String names the reply for logs.
func (r StartReply) String() string {
	return [...]string{"unknown", "started", "old", "late", "room", "fence", "bad", "busy", "no answer"}[r]
}

// StopAnswered is the outcome of CallStop.
type StopAnswered struct {
	Run      work.Run
	Answered bool
	Stamp    Stamp
}

// Stamp tells by which incarnation, and when on its clock, an answer was given.
// A zero Born means that the answer didn't say.
type Stamp struct {
	Born  int64
	Clock time.Duration
}

// HoldAnswered is the answer to CallHold: what runs, and what has ended.
type HoldAnswered struct {
	// Call is the number of the call.
	Call    uint64
	Stamp   Stamp
	Running []RunningRun
	Ended   []EndedRun
}

// RunningRun is one run in a backend server's list.
type RunningRun struct {
	Run     work.Run
	Percent int
}

// EndedRun is one end in a backend server's list.
type EndedRun struct {
	// Number rises with each end of an incarnation.
	Number int64
	Run    work.Run
	How    End
}

// End is how a run ended on the backend server.
type End int

// The ends.
const (
	EndDone End = iota + 1
	EndFailed
	// EndStopped, EndLapsed: by an order, by the end of the lease.
	EndStopped
	EndLapsed
	// EndBroken, EndAlone: another member of the gang ended, or never came.
	EndBroken
	EndAlone
)

// HoldFailed says that CallHold got no answer.
type HoldFailed struct {
	Call uint64
	// Refused is true if the server has answered that it does nothing for the
	// agent's fencing token.
	Refused bool
	Stamp   Stamp
}

// Tick lets time pass.
type Tick struct{}

func (ServerReported) event()  {}
func (ServerLeft) event()      {}
func (Offered) event()         {}
func (StopAsked) event()       {}
func (EntryHeard) event()      {}
func (DomainWithdrawn) event() {}
func (Closing) event()         {}
func (StartAnswered) event()   {}
func (StopAnswered) event()    {}
func (HoldAnswered) event()    {}
func (HoldFailed) event()      {}
func (Tick) event()            {}

// Action is something that the core wants done.
type Action interface{ action() }

// CallStart orders the backend server to start a run.
type CallStart struct {
	Run    work.Run
	Spec   string
	Expiry time.Duration // on the server's clock
	Fence  int64
}

// CallStop orders the backend server to stop a run.
type CallStop struct {
	Run   work.Run
	Fence int64
}

// CallHold renews the lease and asks what runs and what has ended.
type CallHold struct {
	Call uint64
	// Expiry is the new end of the lease on the server's clock. 0 renews nothing.
	Expiry   time.Duration
	Fence    int64
	LastSeen int64
	// Wait is how long the server may wait for an end before it answers.
	Wait time.Duration
}

// Report tells an entry how a run ended.
type Report struct {
	Entry   ident.Incarnation
	Run     work.Run
	Outcome work.Outcome
	Ran     time.Duration
	Reason  string
}

// ReportStalled tells an entry that a run has made no progress for a while.
type ReportStalled struct {
	Entry ident.Incarnation
	Run   work.Run
}

// Noted is a change of what the agent believes of its backend server, for the log.
type Noted struct {
	Event       string
	Incarnation string
	Age         time.Duration
}

func (CallStart) action()     {}
func (CallStop) action()      {}
func (CallHold) action()      {}
func (Report) action()        {}
func (ReportStalled) action() {}
func (Noted) action()         {}
