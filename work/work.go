// Package work defines the value types that entries and agents share for jobs that
// are answered at their end: identifiers of jobs, tasks and runs, resource demands,
// outcomes of runs, and backend servers. The types of jobs whose record an agent keeps
// are in package job.
package work

import (
	"cmp"
	"fmt"
	"time"

	"foxtaildock.example/dock/ident"
)

// JobID identifies a job. The caller chooses it.
type JobID string

// Task identifies one task of a job by the index of its step and its index in the step.
type Task struct {
	Job   JobID
	Step  int
	Index int
}

// String formats the task for logs.
func (t Task) String() string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index) }

// Compare orders tasks by job, step and index.
func (t Task) Compare(o Task) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// RunID numbers the starts of a task, increasing from 1. A backend server refuses a
// run whose number is not above that of a run of the task that it has seen end.
type RunID int

// Run identifies one start of a task.
type Run struct {
	Task Task
	ID   RunID
}

// String formats the run for logs. The zero value, which is no run, gives "".
func (r Run) String() string {
	if r == (Run{}) {
		return ""
	}
	return fmt.Sprintf("%s#%d", r.Task, r.ID)
}

// Demand is an amount of resources: what a task needs, or what a backend server has.
type Demand struct {
	CPUMilli int64 // thousandths of a core
	MemoryMB int64
	GPUs     int64
}

// Plus returns the sum.
func (d Demand) Plus(o Demand) Demand {
	return Demand{CPUMilli: d.CPUMilli + o.CPUMilli, MemoryMB: d.MemoryMB + o.MemoryMB, GPUs: d.GPUs + o.GPUs}
}

// Minus returns the difference, which may be negative.
func (d Demand) Minus(o Demand) Demand {
	return Demand{CPUMilli: d.CPUMilli - o.CPUMilli, MemoryMB: d.MemoryMB - o.MemoryMB, GPUs: d.GPUs - o.GPUs}
}

// Least returns the smaller amount of each resource.
func (d Demand) Least(o Demand) Demand {
	return Demand{CPUMilli: min(d.CPUMilli, o.CPUMilli), MemoryMB: min(d.MemoryMB, o.MemoryMB), GPUs: min(d.GPUs, o.GPUs)}
}

// Fits reports whether every resource of the demand is within the room.
func (d Demand) Fits(room Demand) bool {
	return d.CPUMilli <= room.CPUMilli && d.MemoryMB <= room.MemoryMB && d.GPUs <= room.GPUs
}

// Outcome is how a run ended.
type Outcome int

// The outcomes.
const (
	// Done means that the task ended successfully.
	Done Outcome = iota + 1
	// Failed means that the run ended with a failure, caused by the task or by the
	// backend server.
	Failed
	// Lost means that the run was stopped or its lease expired. It no longer runs.
	Lost
	// NotStarted means that the run never started and never will.
	NotStarted
)

// String names the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case Failed:
		return "failed"
	case Lost:
		return "lost"
	case NotStarted:
		return "not started"
	}
	return fmt.Sprintf("outcome %d", int(o))
}

// Priority orders jobs. 0 is the most urgent.
type Priority int

// Server describes a backend server that is in use.
type Server struct {
	// Incarnation changes with each start of the backend server.
	Incarnation string
	Service     ident.Service
	Domain      ident.FailureDomain
	Labels      []string
	Capacity    Demand
	// Draining is true once the backend server has announced that it will stop. It
	// then gets no new work.
	Draining bool
	// Remaining is the least time until a draining backend server ends, 0 if unknown.
	Remaining time.Duration
}

// MaxRemaining bounds Server.Remaining: a server that stays for longer is not about to end.
const MaxRemaining = 24 * time.Hour
