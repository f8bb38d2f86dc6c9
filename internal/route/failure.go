package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// Failure is why a request has no whole answer. It is a value: the caller's
// final answer is made from it.
type Failure struct {
	Code       callerapi.Code
	Message    string
	Outcome    callerapi.Outcome
	RetryAfter time.Duration // 0: no use in coming back
	TimedOut   bool          // a deadline passed, rather than something breaking
	StatusCode int           // of the answer that a recorded call had; 0: none
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// DefaultRetryAfter is given when no drain rate is known.
const DefaultRetryAfter = time.Second

func notRun(code callerapi.Code, message string, retryAfter time.Duration) *Failure {
	return &Failure{Code: code, Message: message, Outcome: callerapi.OutcomeNotRun, RetryAfter: retryAfter}
}

// refused is a refusal that a later try may escape.
func refused(code callerapi.Code, message string, retryAfter time.Duration) *Failure {
	if retryAfter <= 0 {
		retryAfter = DefaultRetryAfter
	}
	return notRun(code, message, retryAfter)
}

// callerGone is the result when there is no one left to answer.
func callerGone() *Failure {
	return &Failure{Code: callerapi.CodeDeadline, Message: "the caller is gone", Outcome: callerapi.OutcomeFailed}
}
