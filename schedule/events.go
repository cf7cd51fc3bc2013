package schedule

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// Job is a job as its caller sent it. It is answered at its end and nothing of
// it is stored.
type Job struct {
	ID    work.JobID
	Route operator.Route
	Spec  string
	Steps []Step
	// Deadline is when the caller stops waiting.
	Deadline time.Duration
}

// Tasks returns the number of tasks of all steps.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Step is a group of like tasks.
type Step struct {
	Count    int
	Demand   work.Demand
	Estimate time.Duration // of one task, as the caller believes
	// After are earlier steps whose tasks must all be done first.
	After []int
	// Requires is a label that the backend server must have, or "".
	Requires string
	// Near is the label of the rack where the data is, or "".
	Near string
}

// Event is something that the core has to react to.
type Event interface{ event() }

// JobArrived is a new job, or one that came again.
type JobArrived struct{ Job Job }

// JobDropped ends a job that nobody waits for any more.
type JobDropped struct {
	ID     work.JobID
	Reason string
}

// AgentAttached opens a session with an agent. Results of earlier sessions have
// been delivered before it.
type AgentAttached struct {
	Agent   ident.Incarnation
	Address string
	// Held are the runs of this entry that the agent holds. Any other run that
	// was sent to it never arrived.
	Held []work.Run
	// Asked is when the session was asked for. The agent has taken it since.
	Asked time.Duration
}

// AgentDetached ends a session. The agent may be alive and its runs may go on.
type AgentDetached struct {
	Agent  ident.Incarnation
	Reason string
}

// AgentRoom is the state of an agent's backend server.
type AgentRoom struct {
	Agent ident.Incarnation
	// Server is the zero value while no backend server is in use.
	Server work.Server
	Used   work.Demand
	// Queued is what waits at the agent, by priority in rising order.
	Queued []run.QueuedDemand
	// Pace is by how much running tasks take longer than expected, 0 if unknown.
	Pace float64
	// Taken is the sequence of the last offer that Used and Queued count.
	Taken uint64
}

// AgentHeard is any word of an agent. Heartbeats that are sent after the step renew
// the lease from the time when the agent sent the word.
type AgentHeard struct {
	Agent ident.Incarnation
	// Taken is when the newest heartbeat that the agent has taken was sent, 0 if
	// that isn't known.
	Taken time.Duration
}

// RunEnded is the end of a run.
type RunEnded struct {
	Agent   ident.Incarnation
	Run     work.Run
	Outcome work.Outcome
	Ran     time.Duration
	Reason  string
}

// RunStalled says that a run has made no progress for a while.
type RunStalled struct {
	Agent ident.Incarnation
	Run   work.Run
}

// OperatorChanged is a new belief about what operators want.
type OperatorChanged struct{ Rows operator.Rows }

// Tick lets time pass.
type Tick struct{}

func (JobArrived) event()      {}
func (JobDropped) event()      {}
func (AgentAttached) event()   {}
func (AgentDetached) event()   {}
func (AgentRoom) event()       {}
func (AgentHeard) event()      {}
func (RunEnded) event()        {}
func (RunStalled) event()      {}
func (OperatorChanged) event() {}
func (Tick) event()            {}

// Action is something that the core wants done.
type Action interface{ action() }

// SendOffers hands tasks of one job to an agent.
type SendOffers struct {
	Agent    ident.Incarnation
	Sequence uint64
	Job      work.JobID
	Spec     string
	Service  ident.Service
	Priority work.Priority
	Tasks    []OfferedTask
}

// OfferedTask is one task of an offer.
type OfferedTask struct {
	Run      work.Run
	Demand   work.Demand
	Expected time.Duration
}

// SendStops asks an agent to end runs.
type SendStops struct {
	Agent ident.Incarnation
	Runs  []work.Run
}

// Answer is the final answer to the callers of a job.
type Answer struct {
	ID      work.JobID
	Verdict Verdict
	Reason  string
	// RetryAfter is when a rejected caller should come back.
	RetryAfter time.Duration
	// Waited is the time from the arrival of the job; FirstStart that to its
	// first offer, negative if there was none.
	Waited     time.Duration
	FirstStart time.Duration
	Runs       int
	Basis      Basis
}

// Basis is what a decision about a job rests on.
type Basis struct {
	// ExpectedWait is how long the job was expected to wait, and AllowedWait how long
	// it could have waited and still have ended in time.
	ExpectedWait time.Duration
	AllowedWait  time.Duration
	// HeadWait is how long the first job of the same priority had waited.
	HeadWait time.Duration
	// CapacityMilli is the room of the backend servers in use, in thousandths of a
	// core, Agents how many agents have told of it.
	CapacityMilli int64
	Agents        int
	// RowsVersion is the version of the operators' rows.
	RowsVersion uint64
}

// Verdict is what became of a job.
type Verdict int

// The verdicts.
const (
	// Completed: every task is done.
	Completed Verdict = iota + 1
	// FailedJob: a task has failed as often as its route allows.
	FailedJob
	// Rejected: nothing of the job has run, and nothing will.
	Rejected
	// TimedOut: the caller's time is over; what ran was stopped.
	TimedOut
	// Dropped: the caller left or cancelled; what ran was stopped.
	Dropped
)

// String names the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"unknown", "completed", "failed", "rejected", "timed out", "dropped"}[v]
}

// Noted is a decision or a change of belief, for the log.
type Noted struct {
	Event  string
	Agent  ident.Incarnation
	Run    work.Run
	Reason string
	// Age is the age of what the decision rests on.
	Age time.Duration
}

func (SendOffers) action() {}
func (SendStops) action()  {}
func (Answer) action()     {}
func (Noted) action()      {}
