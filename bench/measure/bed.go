package measure

import (
	"context"
	"fmt"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/load"
	"foxtaildock.example/bench/proof"
)

// The deployment of the brief: 11 executors of 8 slots and 64 connections.
const (
	agents      = 11
	slots       = 8
	connections = 64
)

// deadline is what every measured job allows.
const deadline = 60 * time.Second

// shape is the system that is measured.
func shape(entries int) cluster.Spec {
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

// workload is a workload of equal jobs.
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

// drive runs a workload against a bed and returns its results.
func drive(ctx context.Context, b *proof.Bed, w load.Workload, concurrency int, interval time.Duration) []load.Result {
	caller := &load.Caller{Entries: b.Cluster.CallerAddresses(), Token: b.Token, Patience: deadline}
	d := load.Driver{Caller: caller, Workload: w, Concurrency: concurrency, Interval: interval}
	return d.Run(ctx)
}

// countComplete returns how many results are complete and right.
func countComplete(results []load.Result) int {
	n := 0
	for i := range results {
		if results[i].Outcome == load.Complete && results[i].Wrong == "" {
			n++
		}
	}
	return n
}

// allComplete returns an error unless every job was answered whole.
func allComplete(results []load.Result) error {
	if n := countComplete(results); n != len(results) {
		return fmt.Errorf("only %d of %d jobs are complete", n, len(results))
	}
	return nil
}
