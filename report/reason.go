package report

import "foxtaildock.example/dock/job"

// Explanation says in a few words what a reason means and what helps.
type Explanation struct {
	Reason job.Reason
	// Meaning is what happened.
	Meaning string
	// Remedy is what a person does about it.
	Remedy string
}

// explanations are those of docs/OPERATIONS.md in short form.
var explanations = []Explanation{
	{job.ReasonOverloaded, "a queue or table is full", "come back later; add workers or lower the teams' limits if it lasts"},
	{job.ReasonQuota, "the team's rate or concurrency is used up", "spread the jobs, or raise the team's limits in the document"},
	{job.ReasonDeadline, "the deadline passed or can't be met", "allow more time, or add workers if queues are long"},
	{job.ReasonCancelled, "the caller cancelled the job", "nothing to do"},
	{job.ReasonCannotRun, "no worker could ever run it", "check the service's name and the declared sizes"},
	{job.ReasonNoPermit, "the process has no live permit to start work", "check that its failure domain is in service and that it reaches entries"},
	{job.ReasonNotHome, "the placement moved while the job arrived", "send the same key again"},
	{job.ReasonFailureDomainOut, "the failure domain is out of service", "restore it when it is fit; other domains go on"},
	{job.ReasonStopping, "the process is stopping as planned", "send the same key again, to another entry"},
	{job.ReasonHomeLost, "the agent with the job's record is gone", "check what ran before you use a new key"},
	{job.ReasonWorkerLost, "the worker that ran a task is gone", "check what ran before you use a new key"},
	{job.ReasonTaskError, "the backend server answered with an error", "read the detail; it is the service's error"},
	{job.ReasonUnresolved, "an earlier attempt can't be looked up now", "send the same key again later"},
	{job.ReasonKeyReused, "the key was used with another body", "use a new key for a new job"},
	{job.ReasonTooOld, "first sent longer ago than may still start", "look at what ran; use a new key if nothing did"},
	{job.ReasonSealed, "a newer home has taken the key over", "send the same key again"},
	{job.ReasonAnswerDropped, "the job ran; its answer made room for newer ones", "ask sooner, or raise max_result_bytes of the agents"},
	{job.ReasonUnknownKey, "there is no record of the job", "check team and key; records are kept for 16 minutes"},
	{job.ReasonNoHome, "no agent can be reached that may keep the job", "check agents and the network between entries and agents"},
	{job.ReasonInvalid, "the request is malformed", "correct the field that is named"},
	{job.ReasonWorkerFailing, "the backend server refused before it ran", "check the backend server; drain it if it goes on"},
	{job.ReasonUnauthorized, "the token is missing or wrong", "use the team's own token"},
	{job.ReasonPlatformUnavailable, "the platform can't be reached", "work goes on without changes; check the platform"},
}

// Explain returns the explanation of a reason. A reason that this version does
// not know is returned without a remedy.
func Explain(r job.Reason) Explanation {
	for _, e := range explanations {
		if e.Reason == r {
			return e
		}
	}
	return Explanation{Reason: r, Meaning: string(r)}
}

// Explanations returns all of them, in the order of package job.
func Explanations() []Explanation { return explanations }
