package schedule

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/overload"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// Job is a job as its caller sent it. It is answered when it ends, and nothing of it
// is stored.
type Job struct {
	ID    work.JobID
	Route operator.Route
	// Spec tells the backend server what to run. This system does not interpret it.
	Spec  string
	Steps []Step
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
	// Recent is true if the caller got an answer on the same connection shortly before, so that
	// the request has been sent since.
	Recent bool
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count    int
	Demand   work.Demand
	Estimate time.Duration // the caller's estimate of the run time of one task
	// After are the indexes of earlier steps whose tasks must all be done first.
	After []int
	// Requires is a label that the backend server must have, or "".
	Requires string
	// Near is the label of the rack that holds the task's data, or "".
	Near string
}

// Event is an input of the core.
type Event interface{ event() }

// JobArrived is a submitted job. It may be a repeat of one that the core has.
type JobArrived struct{ Job Job }

// JobDropped ends a job whose last caller has left.
type JobDropped struct {
	ID     work.JobID
	Reason string
}

// JobMoved ends a job that another entry has taken over, while this one was paused.
type JobMoved struct{ ID work.JobID }

// AgentAttached is the start of a session with an agent. Results of earlier sessions
// are delivered before it.
type AgentAttached struct {
	Agent   ident.Incarnation
	Address string
	// Held are the runs of this entry that the agent holds. Any other run that
	// was offered to it never reached it.
	Held []work.Run
	// RequestedAt is when the entry requested the session. The agent accepted it later.
	RequestedAt time.Duration
}

// AgentDetached is the end of a session. The agent may still be alive and its runs
// may continue.
type AgentDetached struct {
	Agent  ident.Incarnation
	Reason string
}

// AgentRoomReported is an agent's report of the capacity and load of its backend server.
type AgentRoomReported struct {
	Agent ident.Incarnation
	// Server is the zero value while no backend server is in use.
	Server work.Server
	Used   work.Demand
	// Queued is the demand of the tasks that wait at the agent, by rising priority
	// number.
	Queued []run.QueuedDemand
	// Pace is the ratio of the time that running tasks take to the expected time, 0
	// if unknown.
	Pace float64
	// Speed is that of the runs of all entries that have ended there.
	Speed run.SpeedFigure
	// LastOfferIncluded is the sequence of the last offer that Used and Queued include.
	LastOfferIncluded uint64
}

// AgentMessageReceived is the receipt of any message of an agent. Heartbeats that are
// sent after this step renew the lease from the time at which the agent sent the
// message.
type AgentMessageReceived struct {
	Agent ident.Incarnation
	// AckedHeartbeatSentAt is when the newest heartbeat that renewed the entry's lease at
	// the agent was sent, 0 if unknown.
	AckedHeartbeatSentAt time.Duration
	// LastOfferIncluded is the sequence of the last offer that the agent had processed, if
	// the message has no room report: the last one that it sent then includes the offer. 0
	// if the room report of the message follows.
	LastOfferIncluded uint64
}

// RunEnded is the end of a run.
type RunEnded struct {
	Agent   ident.Incarnation
	Run     work.Run
	Outcome work.Outcome
	Ran     time.Duration // since the agent asked its backend server to start it, 0 if it never did
	Reason  string
}

// RunCrashedElsewhere reports a run of another entry that went down with its backend
// server. The job may be, or may later be, submitted to this entry.
type RunCrashedElsewhere struct {
	Agent ident.Incarnation
	Run   work.Run
}

// RunStalled reports a run that has made no progress for a while.
type RunStalled struct {
	Agent ident.Incarnation
	Run   work.Run
}

// OperatorChanged is a new version of the operators' rows.
type OperatorChanged struct{ Rows operator.Rows }

// EntryDraining says that the entry process stops as planned. Jobs that haven't ended by
// AnswerBy are answered then.
type EntryDraining struct{ AnswerBy time.Duration }

// Tick is the periodic event on which the core checks deadlines and leases.
type Tick struct{}

func (JobArrived) event()           {}
func (JobDropped) event()           {}
func (JobMoved) event()             {}
func (AgentAttached) event()        {}
func (AgentDetached) event()        {}
func (AgentRoomReported) event()    {}
func (AgentMessageReceived) event() {}
func (RunEnded) event()             {}
func (RunCrashedElsewhere) event()  {}
func (RunStalled) event()           {}
func (OperatorChanged) event()      {}
func (EntryDraining) event()        {}
func (Tick) event()                 {}

// Action is an output of the core, for the process to carry out.
type Action interface{ action() }

// SendOffers offers tasks of one job to an agent.
type SendOffers struct {
	Agent    ident.Incarnation
	Sequence uint64 // counts the offers to the agent from 1
	Job      work.JobID
	Spec     string
	Server   string // incarnation of the backend server that the tasks are meant for
	Service  ident.Service
	Priority work.Priority
	Route    string // name of the job's route
	Tasks    []OfferedTask
}

// OfferedTask is one task of an offer.
type OfferedTask struct {
	Run      work.Run
	Demand   work.Demand
	Expected time.Duration // run time on a backend server of normal speed
	// Slack is the time until the latest start with which the job can still end within
	// its latency objective, negative if that has passed.
	Slack time.Duration
	// Estimate is the caller's estimate of the run time, 0 if unknown.
	Estimate time.Duration
}

// SendStops asks an agent to stop runs.
type SendStops struct {
	Agent ident.Incarnation
	Runs  []work.Run
}

// Answer is the final answer to the callers of a job.
type Answer struct {
	ID      work.JobID
	Verdict Verdict
	Reason  string
	// RetryAfter is the delay after which a rejected caller should retry.
	RetryAfter time.Duration
	// Waited is the time from the arrival of the job to its answer, FirstStart the
	// time to its first offer, negative if there was none.
	Waited     time.Duration
	FirstStart time.Duration
	Runs       int
	Basis      Basis
	Priority   work.Priority
}

// AdmittedLate says that a job was admitted although it is expected to be late, to be
// logged.
type AdmittedLate struct {
	ID    work.JobID
	Basis Basis
}

// Basis holds the figures on which the admission or the refusal of a job was decided.
type Basis struct {
	// ExpectedWait is how long the job was expected to wait, and AllowedWait how long
	// it could have waited and still have ended in time.
	ExpectedWait time.Duration
	AllowedWait  time.Duration
	// HeadWait is how long the first waiting job of the same service and priority that
	// could still end in time had waited.
	HeadWait time.Duration
	// CapacityMilli is the CPU capacity of the backend servers that may run the job, in
	// thousandths of a core. Agents is the number of agents that the entry knows.
	CapacityMilli int64
	Agents        int
	// RateMilli is the CPU rate that work of the job's priority was expected to get, and
	// RateAge the time since the entry last placed such work, on which the rate is based.
	RateMilli int64
	RateAge   time.Duration
	// ReservedMilli is the CPU capacity that the job had to leave to more urgent work.
	ReservedMilli int64
	Prospect      overload.Prospect
	// RowsVersion is the version of the operators' rows.
	RowsVersion uint64
}

// Verdict is how a job was answered.
type Verdict int

// The verdicts.
const (
	// Completed: every task is done.
	Completed Verdict = iota + 1
	// FailedJob: a task has used up the attempts that its route allows, or has taken down
	// too many backend servers.
	FailedJob
	// Rejected: nothing of the job has run, and nothing will.
	Rejected
	// TimedOut: the caller's deadline has passed; running tasks were stopped.
	TimedOut
	// Dropped: the caller left or cancelled the job; running tasks were stopped.
	Dropped
	// Interrupted: the entry ended before the job did. Its tasks may have run; the agents
	// stop those that still do.
	Interrupted
)

// String names the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"unknown", "completed", "failed", "rejected", "timed out", "dropped", "interrupted"}[v]
}

// LogMessage is a decision or a change in what the core knows, to be logged.
type LogMessage struct {
	Text   string
	Agent  ident.Incarnation
	Run    work.Run
	Reason string
	// Age is the age of the information behind the decision.
	Age time.Duration
	// Crashes is the number of backend servers that went down under the task.
	Crashes int
	// Speed is that of the backend server by which was decided, 0 if none was.
	Speed float64
}

// Resumed says that the entry process was paused for long enough that other entries may have
// taken over its jobs meanwhile.
type Resumed struct{ Jobs []work.JobID }

func (Resumed) action()      {}
func (SendOffers) action()   {}
func (SendStops) action()    {}
func (Answer) action()       {}
func (AdmittedLate) action() {}
func (LogMessage) action()   {}
