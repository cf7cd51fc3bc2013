package run

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// Event is an input of the core.
type Event interface{ event() }

// ServerReported is a backend server's report about itself. It is ignored unless it is
// newer than the last report of the same incarnation. Anyone may have sent it: the answers of
// the server decide which incarnation is in use.
type ServerReported struct {
	Server work.Server
	// StartUnixMs is the start of the incarnation by the server's wall clock, in Unix
	// milliseconds. It identifies the incarnation and is the same in all its answers.
	StartUnixMs int64
	// Clock is the server's monotonic clock when it sent the report.
	Clock time.Duration
	// Sequence rises with each report of an incarnation.
	Sequence int64
}

// ServerLeft says that the backend server has shut down as planned.
type ServerLeft struct{ Incarnation string }

// Offered assigns a run of a task to the agent.
type Offered struct {
	Entry ident.Incarnation
	Run   work.Run
	Spec  string // tells the backend server what to run; this system doesn't interpret it
	// Server names the incarnation of the backend server that the entry chose the task for,
	// as in Room; "" if the sender doesn't tell. Another one may be of another kind.
	Server   string
	Service  ident.Service
	Priority work.Priority
	Demand   work.Demand
	// Expected is the entry's estimate of the run time on a typical backend server,
	// 0 if unknown.
	Expected time.Duration
	Route    string // name of the job's route, "" if an older entry sends the offer
	// Slack is the time until the latest start with which the job can still end within
	// its latency objective, negative if that has passed.
	Slack time.Duration
	// Estimate is the caller's estimate of the run time, 0 if unknown.
	Estimate time.Duration
}

// StopRequested asks the agent to end a run, whether it waits or has started.
type StopRequested struct {
	Entry ident.Incarnation
	Run   work.Run
}

// EntryHeartbeat renews the lease of the entry's runs.
type EntryHeartbeat struct {
	Entry ident.Incarnation
	// AsOf is the agent's clock when it sent the newest message that the entry had
	// processed. The lease counts from there, so that a delayed heartbeat doesn't keep
	// runs alive for longer than the entry knows.
	AsOf time.Duration
}

// DomainWithdrawn says whether the agent's failure domain is out of service.
type DomainWithdrawn struct{ Withdrawn bool }

// Closing says that the agent accepts no more tasks, since its process shuts down.
type Closing struct{}

// StartAnswered is the result of CallStart.
type StartAnswered struct {
	Run   work.Run
	Reply StartReply
	// Stamp is the stamp of the answer, zero if there was none.
	Stamp Stamp
}

// StartReply is a backend server's reply to CallStart.
type StartReply int

// The replies to CallStart.
const (
	// Started: the server has the run.
	Started StartReply = iota + 1
	// RefusedStaleRun: on this server, this run or a later run of the task has ended
	// already.
	RefusedStaleRun
	// RefusedExpired: the start arrived after its expiry on the server's clock.
	RefusedExpired
	// RefusedCapacity: the run doesn't fit into the server's free capacity.
	RefusedCapacity
	// RefusedFence: the server has seen a higher fencing token.
	RefusedFence
	// RefusedInvalid: the request is invalid.
	RefusedInvalid
	// RefusedBusy: the server is unhealthy and did nothing.
	RefusedBusy
	// RefusedConnection: no process listens at the server's address, so nothing was sent.
	RefusedConnection
	// RefusedIncarnation: the server at the address isn't known to be the incarnation that
	// the start is for, so nothing was sent.
	RefusedIncarnation
	// NoAnswer: the start may have been carried out, or may still be.
	NoAnswer
)

// String returns the reply's name for logs and for reasons of reports.
func (r StartReply) String() string {
	return [...]string{"unknown", "started", "old", "late", "room", "fence", "bad", "busy", "connection refused", "other incarnation", "no answer"}[r]
}

// StopAnswered is the result of CallStop.
type StopAnswered struct {
	Run      work.Run
	Answered bool
	Stamp    Stamp
}

// Stamp identifies the incarnation that gave an answer by its StartUnixMs, and the time
// on its clock. StartUnixMs is 0 if the answer didn't name the incarnation.
type Stamp struct {
	StartUnixMs int64
	Clock       time.Duration
}

// HoldAnswered is the answer to CallHold: the runs in progress and those that ended.
type HoldAnswered struct {
	// Call is the number of the CallHold.
	Call    uint64
	Stamp   Stamp
	Running []RunningRun
	Ended   []EndedRun
	// OddRows is the number of rows of the lists that couldn't be used, and OddRow the first
	// of them, with the reason, for the log.
	OddRows int
	OddRow  string
}

// RunningRun is one run in a backend server's list.
type RunningRun struct {
	Run     work.Run
	Percent int
}

// EndedRun is one ended run in a backend server's list.
type EndedRun struct {
	// Number counts the ends of an incarnation, rising.
	Number int64
	Run    work.Run
	How    End
}

// End is how a run ended on the backend server.
type End int

// The ways in which a run ends.
const (
	EndDone End = iota + 1
	EndFailed
	// EndStopped: by CallStop. EndLapsed: the lease lapsed.
	EndStopped
	EndLapsed
	// EndGangBroken: another task of the gang ended. EndGangIncomplete: another task of
	// the gang never started.
	EndGangBroken
	EndGangIncomplete
)

// HoldFailed says that CallHold got no answer.
type HoldFailed struct {
	Call uint64
	// Refused is true if the server has answered that it refuses the agent's fencing
	// token.
	Refused bool
	// ConnectionRefused is true if no process listens at the server's address: its process
	// has ended. A server that is cut off or frozen doesn't refuse connections.
	ConnectionRefused bool
	// OtherIncarnation is true if the server has answered that it isn't the one that the call
	// was for.
	OtherIncarnation bool
	Stamp            Stamp
}

// Tick is the passing of time without another event.
type Tick struct{}

func (ServerReported) event()  {}
func (ServerLeft) event()      {}
func (Offered) event()         {}
func (StopRequested) event()   {}
func (EntryHeartbeat) event()  {}
func (DomainWithdrawn) event() {}
func (Closing) event()         {}
func (StartAnswered) event()   {}
func (StopAnswered) event()    {}
func (HoldAnswered) event()    {}
func (HoldFailed) event()      {}
func (Tick) event()            {}

// Action is an output of the core, which its caller carries out.
type Action interface{ action() }

// CallStart asks the backend server to start a run. It must reach no other incarnation than
// Server.
type CallStart struct {
	Server Incarnation
	Run    work.Run
	Spec   string
	Expiry time.Duration // end of the lease on the server's clock, after which the server refuses the start
	Fence  int64         // fencing token
}

// CallStop asks the backend server to stop a run. It must reach no other incarnation than
// Server.
type CallStop struct {
	Server Incarnation
	Run    work.Run
	Fence  int64 // fencing token
}

// CallHold renews the lease and asks for the runs in progress and those that ended. The
// answer names the incarnation that gave it.
type CallHold struct {
	Server Incarnation
	Call   uint64
	// Expiry is the new end of the lease on the server's clock. 0 renews nothing.
	Expiry time.Duration
	Fence  int64 // fencing token
	// LastSeen is the number of the last end that was processed; the answer lists
	// later ones.
	LastSeen int64
	// Wait is how long the server may wait for an end before it answers.
	Wait time.Duration
}

// Report tells an entry how a run ended.
type Report struct {
	Entry   ident.Incarnation
	Run     work.Run
	Outcome work.Outcome
	Ran     time.Duration // since CallStart, 0 if it was never issued
	Reason  string
	// ForOtherEntry is true in the copy of the report for an entry that didn't start the
	// run, since the job may be submitted there next.
	ForOtherEntry bool
	// Server is the incarnation of the backend server that was told to start the run,
	// empty if none was.
	Server string
}

// ReportStalled tells an entry that a run has made no progress for Config.StallAfter.
type ReportStalled struct {
	Entry ident.Incarnation
	Run   work.Run
}

// LogMessage is a change of the agent's knowledge of its backend server, to be logged.
type LogMessage struct {
	Text        string        // the log message
	Incarnation string        // of the backend server, empty if unknown
	Age         time.Duration // how long the server has been silent, if that is the cause
	Remaining   time.Duration // least time until the server ends, 0 if unknown
	Reason      string
	// ReportIgnored is true if a report of a backend server was ignored.
	ReportIgnored bool
}

func (CallStart) action()     {}
func (CallStop) action()      {}
func (CallHold) action()      {}
func (Report) action()        {}
func (ReportStalled) action() {}
func (LogMessage) action()    {}
