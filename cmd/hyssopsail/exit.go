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

// failure is an error with its own exit code.
type failure struct {
	code exitCode
	err  error
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// Unwrap gives the cause.
func (f *failure) Unwrap() error { return f.err }

func fail(code exitCode, err error) error { return &failure{code: code, err: err} }

// codeOf chooses the exit code for an error of a command.
func codeOf(err error) exitCode {
	var own *failure
	var refused *operator.ReplyError
	var faults strictyaml.Faults
	switch {
	case errors.As(err, &own):
		return own.code
	case errors.As(err, &faults):
		return exitRefused
	case errors.As(err, &refused):
		return codeOfStatus(refused.Status)
	case trace.IsConnectionProblem(err):
		return exitNotReached
	}
	return exitFailed
}

func codeOfStatus(status int) exitCode {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return exitNotAllowed
	case http.StatusServiceUnavailable:
		return exitNotReached
	}
	return exitFailed
}
