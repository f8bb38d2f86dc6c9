package httpconn

import "fmt"

// Failure is the error of a request that got no response.
type Failure struct {
	// Sent reports that at least one byte may have reached the endpoint, so
	// that the request may have run.
	Sent bool
	// Arrived reports that the endpoint's machine was seen to have received the request.
	Arrived bool
	// Reused reports that the connection had served an earlier request.
	Reused bool
	Step   string // dial, check, write, read or mismatch
	Cause  error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (sent=%t reused=%t): %v", f.Step, f.Sent, f.Reused, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }
