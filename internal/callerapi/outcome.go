package callerapi

// Outcome is the result of a request. OutcomeNotRun guarantees that no copy of the request
// has run or ever will.
type Outcome string

// The outcomes, as sent in HeaderOutcome and in error bodies.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeFailed    Outcome = "failed"
	OutcomeInFlight  Outcome = "in-flight"
)

// The names of the HTTP headers.
const (
	HeaderOutcome        = "Hyssopsail-Outcome"
	HeaderRequestID      = "Hyssopsail-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Hyssopsail-Deadline-Ms" // how long the caller waits for the answer, ms
	HeaderIdempotent     = "Hyssopsail-Idempotent"  // "false": the request must not be retried
	HeaderCallerKind     = "Hyssopsail-Caller-Kind" // class of callers with the same patience, e.g. "sorter"
	HeaderRetryAfter     = "Retry-After"            // seconds, rounded up
	HeaderAuthorization  = "Authorization"          // "Bearer <team key>"
	HeaderStreamState    = "Hyssopsail-Stream"
)
