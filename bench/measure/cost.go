package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"foxtaildock.example/bench/proof"
)

// costStep is one row of the cost table: a number of jobs with the same number of tasks
// each.
type costStep struct {
	tasks int
	jobs  int
}

// costSteps returns the rows, from one task to 1,000 tasks in a job.
func costSteps() []costStep {
	return []costStep{{1, 4000}, {10, 2000}, {100, 400}, {1000, 60}}
}

// costConcurrency is the number of jobs in flight during the cost measurement.
const costConcurrency = 16

// goalEntryRate is the number of task starts per second that one core of an entry
// should sustain with jobs of 1,000 tasks.
const goalEntryRate = 50_000

// Cost measures the processor time of the entry and of the agents for each task
// start, with one to 1,000 tasks in a job, and prints them as a table. The error says if
// a job was not complete.
func Cost(ctx context.Context, opts proof.Options, out io.Writer) error {
	b, err := proof.NewTestbed(ctx, opts, "cost", measuredSpec(1))
	if err != nil {
		return err
	}
	defer b.Cluster.Close()
	runWorkload(ctx, b, workload(opts.Seed, "warm", 500, 10, 0), costConcurrency, 0)
	fmt.Fprintln(out, "processor time per task start (tasks run 0 ms)")
	fmt.Fprintln(out, "tasks/job  entry us  agents us  starts/s per entry core")
	for _, step := range costSteps() {
		if err := costRow(ctx, b, opts.Seed, step, out); err != nil {
			return err
		}
	}
	return printMemory(b, out)
}

// costRow measures and prints one row of the cost table.
func costRow(ctx context.Context, b *proof.Testbed, seed uint64, step costStep, out io.Writer) error {
	before, err := readTestbedUsage(b)
	if err != nil {
		return err
	}
	results := runWorkload(ctx, b, workload(seed, fmt.Sprintf("cost%d", step.tasks), step.jobs, step.tasks, 0), costConcurrency, 0)
	if err := allComplete(results); err != nil {
		return err
	}
	after, err := readTestbedUsage(b)
	if err != nil {
		return err
	}
	starts := float64(step.jobs * step.tasks)
	entry := microseconds(after.entries-before.entries) / starts
	agent := microseconds(after.agents-before.agents) / starts
	note := ""
	if step.tasks == 1000 {
		note = fmt.Sprintf("  (goal %d, %s)", goalEntryRate, goalResult(1e6/entry >= goalEntryRate))
	}
	fmt.Fprintf(out, "%9d  %8.1f  %9.1f  %8.0f%s\n", step.tasks, entry, agent, 1e6/entry, note)
	return nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// testbedUsage is the processor time of all entries and of all agents.
type testbedUsage struct{ entries, agents time.Duration }

// readTestbedUsage reads the processor time that the daemons have used so far.
func readTestbedUsage(b *proof.Testbed) (testbedUsage, error) {
	var u testbedUsage
	for _, e := range b.Cluster.Entries {
		one, err := readUsage(e.PID())
		if err != nil {
			return u, err
		}
		u.entries += one.cpu
	}
	for _, a := range b.Cluster.Agents {
		one, err := readUsage(a.PID())
		if err != nil {
			return u, err
		}
		u.agents += one.cpu
	}
	return u, nil
}

// printMemory prints the resident memory of the entry and of the largest agent.
func printMemory(b *proof.Testbed, out io.Writer) error {
	entry, err := readUsage(b.Cluster.Entries[0].PID())
	if err != nil {
		return err
	}
	largest := int64(0)
	for _, a := range b.Cluster.Agents {
		u, err := readUsage(a.PID())
		if err != nil {
			return err
		}
		largest = max(largest, u.resident)
	}
	fmt.Fprintf(out, "resident memory: entry %d MB, largest agent %d MB\n", entry.resident>>20, largest>>20)
	return nil
}

// idleTime is how long the processor time of idle daemons is measured.
const idleTime = 10 * time.Second

// goalControlCPU is the share of a core, in percent, that a daemon may use for control
// when it has no work.
const goalControlCPU = 1.3

// Idle measures the processor time of daemons that have no work, which is the cost of
// control: heartbeats, leases and the like.
func Idle(ctx context.Context, opts proof.Options, out io.Writer) error {
	b, err := proof.NewTestbed(ctx, opts, "idle", measuredSpec(2))
	if err != nil {
		return err
	}
	defer b.Cluster.Close()
	before, err := readTestbedUsage(b)
	if err != nil {
		return err
	}
	select {
	case <-time.After(idleTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	after, err := readTestbedUsage(b)
	if err != nil {
		return err
	}
	share := func(d time.Duration, processes int) float64 {
		return 100 * d.Seconds() / idleTime.Seconds() / float64(processes)
	}
	entry := share(after.entries-before.entries, 2)
	agent := share(after.agents-before.agents, agents)
	fmt.Fprintf(out, "control cost without work, %d agents, 2 entries, %% of a core per daemon\n", agents)
	fmt.Fprintf(out, "  entry %.2f (goal %.1f, %s)\n", entry, goalControlCPU, goalResult(entry <= goalControlCPU))
	fmt.Fprintf(out, "  agent %.2f (goal %.1f, %s)\n", agent, goalControlCPU, goalResult(agent <= goalControlCPU))
	return nil
}
