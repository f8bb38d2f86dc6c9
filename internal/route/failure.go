package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// Failure states why a request has no complete answer. The caller's final answer
// is made from it.
type Failure struct {
	Code       callerapi.Code
	Message    string
	Outcome    callerapi.Outcome
	RetryAfter time.Duration // 0: a repeat can't succeed
	TimedOut   bool          // a deadline passed
	StatusCode int           // HTTP status of the recorded call; 0: none
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// DefaultRetryAfter is used when the drain rate is not known.
const DefaultRetryAfter = time.Second

func notRun(code callerapi.Code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Code: code, Message: message, Outcome: callerapi.OutcomeNotRun, RetryAfter: retryAfter}
}

// refused returns the failure of a request that wasn't run and may succeed when
// repeated after retryAfter, or DefaultRetryAfter if that isn't positive.
func refused(code callerapi.Code, message string, retryAfter time.Duration) *Failure {
	if retryAfter <= 0 {
		retryAfter = DefaultRetryAfter
	}
	return notRun(code, message, retryAfter)
}

// callerDisconnectedFailure returns the failure of a request whose caller has disconnected.
func callerDisconnectedFailure() *Failure {
	return &Failure{Code: callerapi.CodeDeadline, Message: "the caller is gone", Outcome: callerapi.OutcomeFailed}
}
