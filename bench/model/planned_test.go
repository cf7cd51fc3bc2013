package model

import (
	"testing"

	"pgregory.net/rapid"
)

// plannedRounds is the number of rounds, of 100 runs each.
const plannedRounds = 2

// TestPlannedChanges checks that every job completes while agents join and
// leave as planned.
func TestPlannedChanges(t *testing.T) {
	for round := range plannedRounds {
		checkRound(t, round, plannedTraces(), &Result{})
	}
}

// plannedTraces generates traces in which agents leave and come back one after
// the other, with submissions in between.
func plannedTraces() *rapid.Generator[Trace] {
	return rapid.Custom(func(t *rapid.T) Trace {
		trace := Trace{Seed: rapid.Uint64Range(0, 1<<32).Draw(t, "seed"), FaultFree: true}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			address := rapid.IntRange(0, agentCount-1).Draw(t, "address")
			trace.Commands = append(trace.Commands, submissions(t)...)
			trace.Commands = append(trace.Commands, Command{Op: OpLeave, A: address})
			trace.Commands = append(trace.Commands, submissions(t)...)
			trace.Commands = append(trace.Commands, Command{Op: OpWait, Wait: leaveWait}, Command{Op: OpRestart, A: address})
			trace.Commands = append(trace.Commands, submissions(t)...)
			trace.Commands = append(trace.Commands, Command{Op: OpWait, Wait: joinWait}, Command{Op: OpJoin, A: address})
		}
		return trace
	})
}

// Pauses in milliseconds: leaveWait is enough for a leaving agent to finish its
// work, joinWait for a new agent to become known.
const (
	leaveWait = 12_000
	joinWait  = 2_000
)

// submissions draws submissions and resubmissions of jobs whose deadline leaves
// enough time to complete.
func submissions(t *rapid.T) []Command {
	var commands []Command
	for range rapid.IntRange(0, 6).Draw(t, "jobs") {
		op := rapid.SampledFrom([]Op{OpSubmit, OpSubmit, OpResubmit}).Draw(t, "op")
		commands = append(commands, Command{
			Op:   op,
			A:    rapid.IntRange(0, 5).Draw(t, "a"),
			B:    longDeadline + rapid.IntRange(0, maxTasks-1).Draw(t, "b"),
			Wait: rapid.SampledFrom(waits[:9]).Draw(t, "wait"),
		})
	}
	return commands
}

// longDeadline is the shape, for OpSubmit, of a job with the longest deadline.
const longDeadline = 7 * maxTasks
