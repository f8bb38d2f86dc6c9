package main

import (
	"errors"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/operator"
	"github.com/hyssopsail/hyssopsail/internal/strictyaml"
)

// exitCode is the tool's exit status.
type exitCode int

// The exit codes.
const (
	exitOK         exitCode = 0
	exitFailed     exitCode = 1
	exitUsage      exitCode = 2
	exitConflict   exitCode = 3
	exitRefused    exitCode = 4
	exitNotReached exitCode = 5
	exitNotInForce exitCode = 6
	exitNotAllowed exitCode = 7
)

const exitHelp = `Exit codes: 0 done; 1 failed; 2 wrong usage; 3 conflict with a newer version; 4 settings refused; 5 no daemon reached; 6 accepted, but not in force everywhere in time; 7 not allowed with this key.`

// exitError is an error that sets the exit code.
type exitError struct {
	code exitCode
	err  error
}

// Error implements error.
func (f *exitError) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *exitError) Unwrap() error { return f.err }

func withExitCode(code exitCode, err error) error { return &exitError{code: code, err: err} }

// exitCodeOf returns the exit code for an error of a command.
func exitCodeOf(err error) exitCode {
	var own *exitError
	var refused *operator.ReplyError
	var faults strictyaml.Faults
	switch {
	case errors.As(err, &own):
		return own.code
	case errors.As(err, &faults):
		return exitRefused
	case errors.As(err, &refused):
		return exitCodeOfStatus(refused.Status)
	case trace.IsConnectionProblem(err):
		return exitNotReached
	}
	return exitFailed
}

func exitCodeOfStatus(status int) exitCode {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitNotAllowed
	case http.StatusServiceUnavailable:
		return exitNotReached
	}
	return exitFailed
}
