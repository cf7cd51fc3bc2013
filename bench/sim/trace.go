// Package sim steps the decision cores in simulated time, on generated or
// recorded traces, and compares them with one all-knowing queue in front of all
// slots. A run depends only on its configuration.
package sim

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"foxtaildock.example/dock/ident"
)

// Trace is what happens to a site from outside.
type Trace struct {
	// Length is the time during which jobs arrive.
	Length time.Duration
	Jobs   []Job
	Faults []Fault
}

// Job is one submission.
type Job struct {
	At       time.Duration
	Key      ident.JobKey
	Deadline time.Duration
	// CancelAfter is when the caller cancels, counted from At; zero is never.
	CancelAfter time.Duration `json:",omitempty"`
	Tasks       []Task
}

// Task is one task with its true run time.
type Task struct {
	Run      time.Duration
	Declared time.Duration `json:",omitempty"`
}

// Trouble says what is wrong with workers during a fault.
type Trouble string

// The troubles.
const (
	// Slow multiplies the run times by Fault.Factor.
	Slow Trouble = "slow"
	// Failing answers each task with an error after a millisecond.
	Failing Trouble = "failing"
	// Out takes the workers out of service; tasks under way finish.
	Out Trouble = "out"
)

// Fault is one trouble of some workers for some time.
type Fault struct {
	At      time.Duration
	Until   time.Duration
	Trouble Trouble
	Workers []int
	Factor  float64 `json:",omitempty"`
}

// line is one line of a recorded trace; exactly one field is set.
type line struct {
	Length time.Duration `json:",omitempty"`
	Job    *Job          `json:",omitempty"`
	Fault  *Fault        `json:",omitempty"`
}

// Write records the trace as JSON lines.
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

// ReadTrace reads a recorded trace.
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
			return t, fmt.Errorf("line %d of the trace: %w", n, err)
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
