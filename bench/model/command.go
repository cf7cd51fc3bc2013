package model

// Op is a kind of command.
type Op string

// The commands. A and B choose among what exists, modulo its number.
const (
	// OpSubmit makes a new job and submits it, marked as a first attempt,
	// through entry A; B shapes the job.
	OpSubmit Op = "submit"
	// OpResubmit submits job A again, unmarked, through entry B.
	OpResubmit Op = "resubmit"
	// OpReuse submits the key of job A with another body through entry B.
	OpReuse Op = "reuse"
	// OpCancel cancels job A through entry B.
	OpCancel Op = "cancel"
	// OpLookup looks job A up through entry B.
	OpLookup Op = "lookup"
	// OpHangUp makes the caller of the newest submission of job A hang up;
	// the entry learns of it if B is even.
	OpHangUp Op = "hang-up"
	// OpKill ends the process at address A.
	OpKill Op = "kill"
	// OpRestart starts a new incarnation at address A if none lives there.
	OpRestart Op = "restart"
	// OpPause stops the process at address A; its messages wait.
	OpPause Op = "pause"
	// OpResume lets all paused processes go on.
	OpResume Op = "resume"
	// OpCut loses all messages from address A to address B.
	OpCut Op = "cut"
	// OpMend ends all cuts.
	OpMend Op = "mend"
	// OpJoin adds the agent at address A to the placement.
	OpJoin Op = "join"
	// OpLeave begins the planned leave of the agent at address A.
	OpLeave Op = "leave"
	// OpRemove takes the agent at address A out of the placement as if its
	// heartbeat had expired, whatever its true state.
	OpRemove Op = "remove"
	// OpWithdraw takes failure domain A out of service, OpRestore returns it.
	OpWithdraw Op = "withdraw"
	// OpRestore returns failure domain A.
	OpRestore Op = "restore"
	// OpOutage makes the platform unreachable if A is odd, else reachable.
	OpOutage Op = "outage"
	// OpStorm sets the rate of lost and late messages to A percent.
	OpStorm Op = "storm"
	// OpBackend sets how the backend server beside agent A behaves, by B.
	OpBackend Op = "backend"
	// OpWait only lets time pass.
	OpWait Op = "wait"
)

// Command is one step of a trace. Wait is the time in milliseconds that passes
// after it.
type Command struct {
	Op   Op  `json:"op"`
	A    int `json:"a,omitempty"`
	B    int `json:"b,omitempty"`
	Wait int `json:"wait,omitempty"`
}

// Mutation names a rule that the parts around the cores break on purpose.
type Mutation string

// The mutations. Each must make a property fail, or the property proves nothing.
const (
	// MutationNone breaks nothing.
	MutationNone Mutation = ""
	// MutationReuseIncarnation restarts a process under its old incarnation.
	MutationReuseIncarnation Mutation = "reuse-incarnation"
	// MutationEndlessPermit grants permits that never lapse.
	MutationEndlessPermit Mutation = "endless-permit"
	// MutationFalseSeal answers every question for a seal with Sealed.
	MutationFalseSeal Mutation = "false-seal"
	// MutationSwitchHome reports a call that may have arrived as not sent, so
	// that the entry goes to another home without an answer.
	MutationSwitchHome Mutation = "switch-home"
	// MutationMoveTask reports a task that may have arrived as not sent, so
	// that the home goes to another gate without an answer.
	MutationMoveTask Mutation = "move-task"
	// MutationForgetNotes makes gates forget their notes within a second.
	MutationForgetNotes Mutation = "forget-notes"
	// MutationEmptyHandover hands over no records and vouches all the same.
	MutationEmptyHandover Mutation = "empty-handover"
	// MutationSendTwice sends a task to the backend server again after a
	// broken answer.
	MutationSendTwice Mutation = "send-twice"
	// MutationOneCheck leaves out the check of the permit before the send.
	MutationOneCheck Mutation = "one-check"
	// MutationAllFirst marks every resubmission as a first attempt made now.
	MutationAllFirst Mutation = "all-first"
	// MutationCrossAnswers matches a gate's answers to tasks by their order.
	MutationCrossAnswers Mutation = "cross-answers"
	// MutationNoTicks lets no time pass in entries.
	MutationNoTicks Mutation = "no-ticks"
)

// Mutations lists all that break a rule.
func Mutations() []Mutation {
	return []Mutation{
		MutationReuseIncarnation, MutationEndlessPermit, MutationFalseSeal, MutationSwitchHome,
		MutationMoveTask, MutationForgetNotes, MutationEmptyHandover, MutationSendTwice,
		MutationOneCheck, MutationAllFirst, MutationCrossAnswers, MutationNoTicks,
	}
}
