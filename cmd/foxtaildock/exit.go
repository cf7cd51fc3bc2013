package main

import (
	"errors"

	"foxtaildock.example/dock/api"
)

// exitCode is the exit code of the command; docs/OPERATIONS.md explains them.
type exitCode int

// The exit codes.
const (
	exitDone     exitCode = 0 // complete, accepted or shown
	exitBroken   exitCode = 1 // the command could not do its work
	exitUsage    exitCode = 2 // wrong usage, or settings or document with problems
	exitRefused  exitCode = 3 // not run, or not changed
	exitFailed   exitCode = 4 // may have run
	exitLost     exitCode = 5 // no answer: may have run or changed
	exitNotTaken exitCode = 6 // malformed, or the token is missing or wrong
	exitConflict exitCode = 7 // another operator's change came first
)

// exitHelp is the end of every help text.
const exitHelp = `Exit codes: 0 done, 1 could not work, 2 wrong usage or
problems found, 3 refused (not run or not changed),
4 failed (may have run), 5 no answer (may have run or
changed), 6 request not taken, 7 another change came first.`

// answerExit returns the exit code of an answer about a job.
func answerExit(a *api.JobAnswer) exitCode {
	switch a.Outcome {
	case api.OutcomeComplete, api.OutcomeRunning:
		return exitDone
	case api.OutcomeRefused:
		return exitRefused
	default:
		return exitFailed
	}
}

// errorExit returns the exit code of an error.
func errorExit(err error) exitCode {
	var notTaken *api.RequestError
	var lost *api.LostError
	var usage *usageError
	var refused *api.RefusedError
	var lostChange *lostChangeError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &lostChange):
		return exitLost
	case errors.As(err, &refused):
		return refusalExit(refused)
	case errors.As(err, &notTaken) && notTaken.Status != 0:
		return exitNotTaken
	case errors.As(err, &lost):
		return exitLost
	default:
		return exitBroken
	}
}

// usageError says that the command was called wrongly.
type usageError struct{ message string }

// Error returns the message.
func (e *usageError) Error() string { return e.message }
