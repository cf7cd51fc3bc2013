// Package job defines what callers submit and what they get back. The types are
// plain values, free of transport, and are shared by the decision cores, the
// shells and the callers' interface.
package job

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtaildock.example/dock/ident"
)

// Bounds on one submission. A submission beyond a bound is refused before
// anything of it is started.
const (
	// MaxTasks is the largest number of tasks in one job.
	MaxTasks = 1000
	// MaxTaskPayload is the largest payload of one task, in bytes.
	MaxTaskPayload = 64 << 10
	// MaxJobPayload is the largest sum of payloads in one job, in bytes.
	MaxJobPayload = 8 << 20
	// MaxKeyLength is the longest job key or team name, in bytes.
	MaxKeyLength = 128
	// MaxDeadline is the longest time a caller may allow for a job.
	MaxDeadline = 5 * time.Minute
	// AcceptWindow is how long after its first attempt a job may still be
	// submitted again and started. Records outlive it by ClockSkew twice.
	AcceptWindow = 10 * time.Minute
	// ClockSkew bounds the difference between two wall clocks that the
	// accept window tolerates.
	ClockSkew = 30 * time.Second
	// Retention is how long records and notes of jobs are kept after their
	// last use. It is longer than any submission or start can be delayed.
	Retention = AcceptWindow + MaxDeadline + 2*ClockSkew
)

// Task is one unit of work of a job.
type Task struct {
	// Index is the position of the task in its job, from 0.
	Index int
	// Payload is passed to the backend server unchanged.
	Payload []byte
	// DeclaredRun is the run time the caller expects; it may be far off.
	DeclaredRun time.Duration
	// Size is the number of accelerators or abstract units that the caller
	// declares; zero means one slot.
	Size int
}

// Spec is one job as submitted.
type Spec struct {
	Key     ident.JobKey
	Service ident.Service
	Tasks   []Task
	// Deadline is the time left for the whole job, counted from receipt.
	Deadline time.Duration
	// Handicap sets the job back among those that wait at its home. The entry
	// sets it for teams that use more than their fair part.
	Handicap time.Duration
}

// Digest is a fingerprint of everything in the spec that a resubmission must
// repeat. Deadline and Handicap are not part of it, since they differ from try
// to try.
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

// Kind says how a job ended.
type Kind int

// The kinds of outcome.
const (
	// Complete means that every task ran once and every result is present.
	Complete Kind = iota + 1
	// Failed means that the job has no whole answer and may have run in part.
	Failed
	// Refused means that no task of the job was started, and none will be
	// started on account of this submission.
	Refused
)

// String returns the lower-case name used in the callers' interface.
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

// Reason says why a job was refused or failed. The values are part of the
// callers' interface and are explained in docs/OPERATIONS.md.
type Reason string

// The reasons.
const (
	ReasonOverloaded    Reason = "overloaded"           // a queue or table is full
	ReasonQuota         Reason = "quota"                // the team's rate or concurrency is used up
	ReasonDeadline      Reason = "deadline"             // the deadline passed or can't be met
	ReasonCancelled     Reason = "cancelled"            // the caller cancelled
	ReasonCannotRun     Reason = "cannot-run"           // no worker could ever run it
	ReasonNoPermit      Reason = "no-permit"            // no live permit, so nothing may start here
	ReasonNotHome       Reason = "not-home"             // the placement moved; try again
	ReasonDomainOut     Reason = "failure-domain-out"   // the failure domain is withdrawn
	ReasonStopping      Reason = "stopping"             // the process is leaving
	ReasonHomeLost      Reason = "home-lost"            // the agent that held the job's record is gone
	ReasonWorkerLost    Reason = "worker-lost"          // the worker that ran a task is gone
	ReasonTaskError     Reason = "task-error"           // the backend server answered with an error
	ReasonUnresolved    Reason = "unresolved"           // an earlier attempt can't be looked up now
	ReasonKeyReused     Reason = "key-reused"           // the same key with another body
	ReasonTooOld        Reason = "too-old"              // first attempted before the accept window
	ReasonSealed        Reason = "sealed"               // a newer home has taken the key over
	ReasonAnswerDropped Reason = "answer-dropped"       // the job ran; its answer made room for newer ones
	ReasonUnknownKey    Reason = "unknown-key"          // a look-up found no record
	ReasonNoHome        Reason = "no-home"              // no home can be reached
	ReasonInvalid       Reason = "invalid"              // the request is malformed
	ReasonWorkerFailing Reason = "worker-failing"       // the backend server refused before running
	ReasonUnauthorized  Reason = "unauthorized"         // missing or wrong credentials
	ReasonOutage        Reason = "platform-unavailable" // the platform can't be reached
)

// Outcome is the final answer to one submission.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// Detail is one sentence for a person.
	Detail string
	// RetryAfter is when the caller may come back; zero if that is pointless.
	RetryAfter time.Duration
	// Home is the incarnation that decided the outcome.
	Home ident.Incarnation
	// Results holds every result in the order of the indexes if Kind is
	// Complete, and is empty otherwise.
	Results []Result
}

// Refuse builds a refusal.
func Refuse(r Reason, retry time.Duration, detail string) Outcome {
	return Outcome{Kind: Refused, Reason: r, RetryAfter: retry, Detail: detail}
}

// Fail builds a failure.
func Fail(r Reason, retry time.Duration, detail string) Outcome {
	return Outcome{Kind: Failed, Reason: r, RetryAfter: retry, Detail: detail}
}
