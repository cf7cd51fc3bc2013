// Package job defines the jobs that callers submit and the outcomes that they get
// back. The types are plain values, independent of transport and encoding. They are
// shared by the decision cores (pure state machines without I/O), the processes
// around the cores, and the callers' interface.
package job

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtaildock.example/dock/ident"
)

// Bounds on submissions. A submission beyond a bound is refused before any of its
// tasks is started.
const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 1000
	// MaxTaskPayload is the largest payload of one task, in bytes.
	MaxTaskPayload = 64 << 10
	// MaxJobPayload is the largest total size of the payloads of one job, in bytes.
	MaxJobPayload = 8 << 20
	// MaxKeyLength is the longest job key or team name, in bytes.
	MaxKeyLength = 128
	// MaxDeadline is the longest deadline that a caller may set for a job.
	MaxDeadline = 5 * time.Minute
	// AcceptWindow is the time after the first attempt of a job during which the
	// job may still be resubmitted and started. Records are kept for at least
	// twice ClockSkew longer.
	AcceptWindow = 10 * time.Minute
	// ClockSkew is the largest difference between two wall clocks that the
	// accept window tolerates.
	ClockSkew = 30 * time.Second
	// Retention is how long job records are kept after their last use, and the
	// least time for which former members stay in the placement. It is longer than
	// any submission or start can be delayed.
	Retention = AcceptWindow + MaxDeadline + 2*ClockSkew
)

// Task is one unit of work of a job.
type Task struct {
	// Index is the position of the task in its job, from 0.
	Index int
	// Payload is passed to the backend server unchanged.
	Payload []byte
	// DeclaredRun is the run time that the caller declares. It is a hint and may
	// be far off.
	DeclaredRun time.Duration
	// Size is the number of accelerators or other units that the caller declares;
	// zero means one slot.
	Size int
}

// Spec is a job as submitted.
type Spec struct {
	Key     ident.JobKey
	Service ident.Service
	Tasks   []Task
	// Deadline is the time allowed for the whole job, counted from receipt of the
	// submission.
	Deadline time.Duration
	// Handicap is added to the arrival time by which the job is ordered at its
	// home (the agent that keeps its record), so that it starts later than others.
	// The entry sets it for teams that use more than their fair share.
	Handicap time.Duration
}

// Digest returns a hash of everything in the spec that a resubmission under the same
// key must repeat. Deadline and Handicap are not part of it, since they differ
// between attempts.
func (s *Spec) Digest() uint64 {
	h := xxhash.New()
	var word [8]byte
	put := func(v uint64) {
		binary.LittleEndian.PutUint64(word[:], v)
		_, _ = h.Write(word[:])
	}
	put(uint64(len(s.Service)))
	_, _ = h.WriteString(string(s.Service))
	for i := range s.Tasks {
		t := &s.Tasks[i]
		put(uint64(t.Index))
		put(uint64(t.DeclaredRun))
		put(uint64(t.Size))
		put(uint64(len(t.Payload)))
		_, _ = h.Write(t.Payload)
	}
	return h.Sum64()
}

// Result is the answer of the backend server to one task.
type Result struct {
	Index int
	Body  []byte
}

// Kind is the kind of outcome of a job.
type Kind int

// Kinds of outcome.
const (
	// Complete means that every task ran once and every result is present.
	Complete Kind = iota + 1
	// Failed means that not every result is available, and that some or all tasks
	// may have run.
	Failed
	// Refused means that no task of the job was started, and that none will be
	// started because of this submission.
	Refused
)

// String returns the name of the kind in the callers' interface.
func (k Kind) String() string {
	switch k {
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case Refused:
		return "refused"
	}
	return "unknown"
}

// Reason is why a job was refused or failed. The values are part of the callers'
// interface and are explained in docs/OPERATIONS.md.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonOverloaded          Reason = "overloaded"           // a queue or table is full
	ReasonQuota               Reason = "quota"                // the team's rate or concurrency is used up
	ReasonDeadline            Reason = "deadline"             // the deadline passed or can't be met
	ReasonCancelled           Reason = "cancelled"            // the caller cancelled the job
	ReasonCannotRun           Reason = "cannot-run"           // no backend server could ever run it
	ReasonNoPermit            Reason = "no-permit"            // no live permit, so nothing may start here
	ReasonNotHome             Reason = "not-home"             // the placement has changed; try again
	ReasonFailureDomainOut    Reason = "failure-domain-out"   // the failure domain is withdrawn
	ReasonStopping            Reason = "stopping"             // the process is stopping
	ReasonHomeLost            Reason = "home-lost"            // the agent that held the job's record is gone
	ReasonWorkerLost          Reason = "worker-lost"          // the agent or backend server that ran a task is gone
	ReasonTaskError           Reason = "task-error"           // the backend server answered with an error
	ReasonUnresolved          Reason = "unresolved"           // an earlier attempt can't be looked up now
	ReasonKeyReused           Reason = "key-reused"           // the key was used before for a different job
	ReasonTooOld              Reason = "too-old"              // first attempted before the accept window
	ReasonSealed              Reason = "sealed"               // a newer home has taken over the key
	ReasonAnswerDropped       Reason = "answer-dropped"       // the job ran; its answer was dropped to make room for newer ones
	ReasonUnknownKey          Reason = "unknown-key"          // a look-up found no record
	ReasonNoHome              Reason = "no-home"              // no agent that could be the home can be reached
	ReasonInvalid             Reason = "invalid"              // the request is malformed
	ReasonWorkerFailing       Reason = "worker-failing"       // the backend server refused the task before running it
	ReasonUnauthorized        Reason = "unauthorized"         // missing or wrong credentials
	ReasonPlatformUnavailable Reason = "platform-unavailable" // the platform can't be reached
)

// Outcome is the final answer to one submission.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Detail is a sentence for human readers.
	Detail string
	// RetryAfter is the time after which the caller may retry; zero if a retry is
	// pointless.
	RetryAfter time.Duration
	// Home is the incarnation that decided the outcome.
	Home ident.Incarnation
	// Results holds the results of all tasks in the order of their indexes if Kind
	// is Complete, and is empty otherwise.
	Results []Result
}

// Refuse returns an outcome of kind Refused.
func Refuse(r Reason, retry time.Duration, detail string) Outcome {
	return Outcome{Kind: Refused, Reason: r, RetryAfter: retry, Detail: detail}
}

// Fail returns an outcome of kind Failed.
func Fail(r Reason, retry time.Duration, detail string) Outcome {
	return Outcome{Kind: Failed, Reason: r, RetryAfter: retry, Detail: detail}
}
