package main

import (
	"errors"

	"foxtaildock.example/dock/api"
)

// exitCode is an exit code of the command. docs/OPERATIONS.md explains the
// codes.
type exitCode int

// The exit codes.
const (
	exitDone           exitCode = 0 // job complete, change accepted, or output shown
	exitError          exitCode = 1 // any other error
	exitUsage          exitCode = 2 // wrong usage, or problems in settings or document
	exitRefused        exitCode = 3 // refused: job not run, or document not changed
	exitFailed         exitCode = 4 // failed: job may have run
	exitNoAnswer       exitCode = 5 // no answer: job may have run, or document may have changed
	exitInvalidRequest exitCode = 6 // request malformed, section unknown, or token missing or wrong
	exitConflict       exitCode = 7 // change refused because another one came first
)

// exitHelp is the explanation of the exit codes at the end of every help text.
const exitHelp = `Exit codes: 0 done, 1 error, 2 wrong usage or problems
found, 3 refused (not run or not changed), 4 failed (may
have run), 5 no answer (may have run or changed),
6 request malformed or not authorized, 7 another change
came first.`

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
	var request *api.RequestError
	var noAnswer *api.NoAnswerError
	var usage *usageError
	var refused *api.RefusedError
	var noChangeAnswer *lostAnswerError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &noChangeAnswer):
		return exitNoAnswer
	case errors.As(err, &refused):
		return refusalExit(refused)
	case errors.As(err, &request) && request.Status != 0:
		return exitInvalidRequest
	case errors.As(err, &noAnswer):
		return exitNoAnswer
	default:
		return exitError
	}
}

// usageError means that the arguments or the environment of the command are
// wrong.
type usageError struct{ message string }

// Error returns the message.
func (e *usageError) Error() string { return e.message }
