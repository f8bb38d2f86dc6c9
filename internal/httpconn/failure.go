package httpconn

import "fmt"

// Failure is why a request got no answer.
type Failure struct {
	// Sent tells that a byte may have reached the endpoint, so that the
	// request may have run.
	Sent bool
	// Reused tells that the connection had served a request before.
	Reused bool
	Step   string // dial, check, write, read or mismatch
	Cause  error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (sent=%t reused=%t): %v", f.Step, f.Sent, f.Reused, f.Cause)
}

// Unwrap gives the cause.
func (f *Failure) Unwrap() error { return f.Cause }
