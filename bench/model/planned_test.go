package model

import (
	"testing"

	"pgregory.net/rapid"
)

// plannedRounds is the number of rounds of 100 runs.
const plannedRounds = 2

// TestPlannedChanges checks that joins and planned leaves of agents cost no job
// its answer.
func TestPlannedChanges(t *testing.T) {
	for round := range plannedRounds {
		checkRound(t, round, plannedTraces(), &Result{})
	}
}

// plannedTraces draws runs in which one agent after the other leaves and comes
// back, with submissions in between.
func plannedTraces() *rapid.Generator[Trace] {
	return rapid.Custom(func(t *rapid.T) Trace {
		trace := Trace{Seed: rapid.Uint64Range(0, 1<<32).Draw(t, "seed"), Planned: true}
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

// Pauses in milliseconds: a leaving agent needs the first to finish, a new one
// the second to be known.
const (
	leaveWait = 12_000
	joinWait  = 2_000
)

// submissions draws some jobs that have the time to complete, resubmitted or not.
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

// longDeadline shapes a job with the longest deadline.
const longDeadline = 7 * maxTasks
