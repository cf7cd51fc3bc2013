package report

import "foxtaildock.example/dock/job"

// Explanation describes a reason for a person in a few words.
type Explanation struct {
	Reason job.Reason
	// Meaning says what happened.
	Meaning string
	// Remedy says what the caller or an operator can do about it. It is empty
	// for an unknown reason.
	Remedy string
}

// explanations are short forms of the explanations in docs/OPERATIONS.md.
var explanations = []Explanation{
	{job.ReasonOverloaded, "a queue or table is full", "try again later; add VMs or lower the teams' limits if it lasts"},
	{job.ReasonQuota, "the team's rate or concurrency is used up", "spread the jobs, or raise the team's limits in the document"},
	{job.ReasonDeadline, "the deadline passed or can't be met", "allow more time, or add VMs if queues are long"},
	{job.ReasonCancelled, "the caller cancelled the job", "nothing to do"},
	{job.ReasonCannotRun, "no backend server could ever run it", "check the service's name and the declared sizes"},
	{job.ReasonNoPermit, "the process has no valid permit to start tasks", "check that its failure domain is in service and that it reaches entries"},
	{job.ReasonNotHome, "the placement changed while the job arrived", "send the same key again"},
	{job.ReasonFailureDomainOut, "the failure domain is out of service", "restore it when it is healthy; other domains go on"},
	{job.ReasonStopping, "the process is stopping as planned", "send the same key again, to another entry"},
	{job.ReasonHomeLost, "the agent with the job's record is gone", "check what ran before you use a new key"},
	{job.ReasonWorkerLost, "the agent or backend server that ran a task is gone", "check what ran before you use a new key"},
	{job.ReasonTaskError, "the backend server answered with an error", "read the detail; it is the service's error"},
	{job.ReasonUnresolved, "an earlier attempt can't be looked up now", "send the same key again later"},
	{job.ReasonKeyReused, "the key was used with another body", "use a new key for a new job"},
	{job.ReasonTooOld, "first sent too long ago to be started now", "check what ran; use a new key if nothing did"},
	{job.ReasonSealed, "another agent has taken over the job's key", "send the same key again"},
	{job.ReasonAnswerDropped, "the job ran; its answer was dropped to make room for newer ones", "ask for the answer sooner, or raise max_result_bytes of the agents"},
	{job.ReasonUnknownKey, "there is no record of the job", "check team and key; records are kept for 16 minutes"},
	{job.ReasonNoHome, "no agent that could keep the job's record can be reached", "check agents and the network between entries and agents"},
	{job.ReasonInvalid, "the request is malformed", "correct the field that is named"},
	{job.ReasonWorkerFailing, "the backend server refused the task before running it", "check the backend server; drain it if this continues"},
	{job.ReasonUnauthorized, "the token is missing or wrong", "use the team's own token"},
	{job.ReasonPlatformUnavailable, "the platform can't be reached", "tasks go on, document changes wait; check the platform"},
}

// Explain returns the explanation of a reason. The explanation of a reason that
// this version does not know repeats the reason and has no remedy.
func Explain(r job.Reason) Explanation {
	for _, e := range explanations {
		if e.Reason == r {
			return e
		}
	}
	return Explanation{Reason: r, Meaning: string(r)}
}

// Explanations returns all explanations, in the order of the reasons in package
// job.
func Explanations() []Explanation { return explanations }
