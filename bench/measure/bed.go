package measure

import (
	"context"
	"fmt"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/load"
	"foxtaildock.example/bench/proof"
)

// The deployment that the requirements describe: 11 agents, each beside a backend server
// with 8 slots and 64 connections.
const (
	agents      = 11
	slots       = 8
	connections = 64
)

// deadline is the time that every measured job allows for its answer.
const deadline = 60 * time.Second

// measuredSpec describes the system that is measured.
func measuredSpec(entries int) cluster.Spec {
	return cluster.Spec{
		Cell:        "north-1",
		Domains:     []string{"lulea", "umea", "sundsvall"},
		Entries:     entries,
		Agents:      agents,
		Services:    []string{"serial"},
		Slots:       slots,
		Connections: connections,
		LogLevel:    "warn",
	}
}

// workload returns a workload of jobs with equal task counts and run times.
func workload(seed uint64, prefix string, jobs, tasks int, run time.Duration) load.Workload {
	return load.Workload{
		Seed:     seed,
		Prefix:   prefix,
		Team:     "norrbrand",
		Service:  "serial",
		Jobs:     jobs,
		MinTasks: tasks,
		MaxTasks: tasks,
		MinRun:   run,
		MaxRun:   run,
		Deadline: deadline,
	}
}

// runWorkload runs a workload against the system of a test bed and returns the results.
func runWorkload(ctx context.Context, b *proof.Testbed, w load.Workload, concurrency int, interval time.Duration) []load.Result {
	caller := &load.Caller{Entries: b.Cluster.CallerAddresses(), Token: b.Token, AttemptTimeout: deadline}
	d := load.Driver{Caller: caller, Workload: w, Concurrency: concurrency, Interval: interval}
	return d.Run(ctx)
}

// countComplete returns how many results are complete and correct.
func countComplete(results []load.Result) int {
	n := 0
	for i := range results {
		if results[i].Outcome == load.Complete && results[i].Defect == "" {
			n++
		}
	}
	return n
}

// allComplete returns an error unless every result is complete and correct.
func allComplete(results []load.Result) error {
	if n := countComplete(results); n != len(results) {
		return fmt.Errorf("only %d of %d jobs are complete", n, len(results))
	}
	return nil
}
