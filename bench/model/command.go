package model

// Op is a kind of command.
type Op string

// The commands. A and B select an item, such as a job, a process or a failure
// domain, modulo the number of items.
const (
	// OpSubmit creates a job and submits it, marked as a first attempt, through
	// entry A. B selects its number of tasks and deadline.
	OpSubmit Op = "submit"
	// OpResubmit submits job A again through entry B. It is not marked as a
	// first attempt unless all submissions before were refused.
	OpResubmit Op = "resubmit"
	// OpReuseKey submits the key of job A with another body through entry B.
	OpReuseKey Op = "reuse"
	// OpCancel cancels job A through entry B.
	OpCancel Op = "cancel"
	// OpLookup looks up the state of job A through entry B. If B is odd, it
	// waits for the outcome.
	OpLookup Op = "lookup"
	// OpDisconnect makes the caller of the newest unanswered submission of job A
	// disconnect. The entry is notified of it if B is even.
	OpDisconnect Op = "hang-up"
	// OpKill ends the process at address A.
	OpKill Op = "kill"
	// OpRestart starts a new incarnation at address A if no live process has
	// that address.
	OpRestart Op = "restart"
	// OpPause pauses the process at address A; its messages wait.
	OpPause Op = "pause"
	// OpResume resumes all paused processes.
	OpResume Op = "resume"
	// OpCut drops all messages from address A to address B. Here 0 means the
	// platform, and the processes count from 1.
	OpCut Op = "cut"
	// OpHeal ends all cuts.
	OpHeal Op = "mend"
	// OpJoin adds the agent at address A to the placement.
	OpJoin Op = "join"
	// OpLeave begins the planned leave of the agent at address A.
	OpLeave Op = "leave"
	// OpRemove removes the agent at address A from the placement as if its
	// heartbeats had stopped, whatever its true state.
	OpRemove Op = "remove"
	// OpWithdraw takes failure domain A out of service.
	OpWithdraw Op = "withdraw"
	// OpRestore puts failure domain A back into service.
	OpRestore Op = "restore"
	// OpOutage makes the platform unreachable if A is odd and reachable if it
	// is even.
	OpOutage Op = "outage"
	// OpMessageFaults sets the rates of lost and of late messages to A percent
	// each, at most 40.
	OpMessageFaults Op = "storm"
	// OpBackend sets the behaviour of the backend server of agent A to B.
	OpBackend Op = "backend"
	// OpWait only lets time pass.
	OpWait Op = "wait"
)

// Command is one step of a trace. Wait is the simulated time in milliseconds
// that passes after it.
type Command struct {
	Op   Op  `json:"op"`
	A    int `json:"a,omitempty"`
	B    int `json:"b,omitempty"`
	Wait int `json:"wait,omitempty"`
}

// Mutation names a fault that is injected into the simulated processes around
// the cores.
type Mutation string

// The mutations. Each must make the test of a guarantee fail; otherwise that
// test would not detect the fault.
const (
	// MutationNone injects no fault.
	MutationNone Mutation = ""
	// MutationReuseIncarnation restarts a process under its old incarnation.
	MutationReuseIncarnation Mutation = "reuse-incarnation"
	// MutationPermitNeverExpires renews the lease of permits without a
	// confirmation, so that they never expire.
	MutationPermitNeverExpires Mutation = "endless-permit"
	// MutationFalseSeal answers every seal request with Sealed.
	MutationFalseSeal Mutation = "false-seal"
	// MutationSwitchHome reports a call that may have arrived as not sent, so
	// that the entry calls another home without an answer of the first.
	MutationSwitchHome Mutation = "switch-home"
	// MutationMoveTask reports a task that may have arrived as not sent, so
	// that the home sends it to another gate without an answer of the first.
	MutationMoveTask Mutation = "move-task"
	// MutationDropRecords makes gates drop their task records after a second.
	MutationDropRecords Mutation = "forget-notes"
	// MutationEmptyHandover hands over no records, while the receiver still
	// vouches for the sender.
	MutationEmptyHandover Mutation = "empty-handover"
	// MutationSendTwice sends a task to the backend server again after the
	// connection broke during the answer.
	MutationSendTwice Mutation = "send-twice"
	// MutationSkipPermitCheck omits the second check of the permit, immediately
	// before a task is sent to the backend server.
	MutationSkipPermitCheck Mutation = "one-check"
	// MutationAllFirstAttempts marks every resubmission as a first attempt that
	// is made now.
	MutationAllFirstAttempts Mutation = "all-first"
	// MutationMismatchAnswers matches the answers of a gate to tasks by order
	// instead of by index.
	MutationMismatchAnswers Mutation = "cross-answers"
	// MutationNoTicks sends no ticks to the cores of entries.
	MutationNoTicks Mutation = "no-ticks"
)

// Mutations returns all mutations but MutationNone.
func Mutations() []Mutation {
	return []Mutation{
		MutationReuseIncarnation, MutationPermitNeverExpires, MutationFalseSeal, MutationSwitchHome,
		MutationMoveTask, MutationDropRecords, MutationEmptyHandover, MutationSendTwice,
		MutationSkipPermitCheck, MutationAllFirstAttempts, MutationMismatchAnswers, MutationNoTicks,
	}
}
