// Package sim measures the dispatch policy. It steps the decision cores of
// agents and entries (packages home, gate and admission) in simulated time, on
// generated or recorded traces, and compares the response times with those of
// an ideal scheduler: one central queue in front of all slots, without latency.
// A run depends only on its configuration. Package model tests the guarantees
// of the cores under network faults instead.
package sim

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"foxtaildock.example/dock/ident"
)

// Trace is the input of a run: the jobs that callers submit and the faults of
// VMs.
type Trace struct {
	// Length is the time during which jobs arrive.
	Length time.Duration
	Jobs   []Job
	Faults []Fault
}

// Job is one submission. At is the time at which an entry has received it, and
// Deadline counts from then.
type Job struct {
	At       time.Duration
	Key      ident.JobKey
	Deadline time.Duration
	// CancelAfter is the time from At until the caller cancels; zero means
	// never.
	CancelAfter time.Duration `json:",omitempty"`
	Tasks       []Task
}

// Task is one task with its actual run time and the one that its caller
// declares.
type Task struct {
	Run      time.Duration
	Declared time.Duration `json:",omitempty"`
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultSlow multiplies the run times by Fault.Factor.
	FaultSlow FaultKind = "slow"
	// FaultFailing answers each task with an error after one millisecond.
	FaultFailing FaultKind = "failing"
	// FaultOutOfService takes the VMs out of service; their running tasks
	// finish.
	FaultOutOfService FaultKind = "out"
)

// Fault is a fault of some VMs from At to Until. Trouble is its kind, and
// Workers are the indexes of the VMs; both keep their names in recorded traces.
// Factor is used by FaultSlow only.
type Fault struct {
	At      time.Duration
	Until   time.Duration
	Trouble FaultKind
	Workers []int
	Factor  float64 `json:",omitempty"`
}

// line is one line of a recorded trace; exactly one field is set.
type line struct {
	Length time.Duration `json:",omitempty"`
	Job    *Job          `json:",omitempty"`
	Fault  *Fault        `json:",omitempty"`
}

// Write writes the trace as JSON lines. It returns the error of the first
// failed write.
func (t *Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(line{Length: t.Length}); err != nil {
		return err
	}
	for i := range t.Faults {
		if err := enc.Encode(line{Fault: &t.Faults[i]}); err != nil {
			return err
		}
	}
	for i := range t.Jobs {
		if err := enc.Encode(line{Job: &t.Jobs[i]}); err != nil {
			return err
		}
	}
	return nil
}

// ReadTrace reads a trace that Write wrote. It returns an error with the number
// of the line if a line is not valid.
func ReadTrace(r io.Reader) (Trace, error) {
	var t Trace
	dec := json.NewDecoder(bufio.NewReader(r))
	for n := 1; ; n++ {
		var l line
		err := dec.Decode(&l)
		if err == io.EOF {
			return t, nil
		}
		if err != nil {
			return t, fmt.Errorf("reading line %d of the trace: %w", n, err)
		}
		switch {
		case l.Job != nil:
			t.Jobs = append(t.Jobs, *l.Job)
		case l.Fault != nil:
			t.Faults = append(t.Faults, *l.Fault)
		default:
			t.Length = l.Length
		}
	}
}
