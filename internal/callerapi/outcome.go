package callerapi

// Outcome tells a caller what became of a request. NotRun is a promise: no
// copy has run and none ever will.
type Outcome string

// The outcomes, in HeaderOutcome and in error bodies.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeNotRun    Outcome = "not-run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeFailed    Outcome = "failed"
	OutcomeInFlight  Outcome = "in-flight"
)

// The header names of the caller's contract.
const (
	HeaderOutcome     = "Hyssopsail-Outcome"
	HeaderRequestID   = "Hyssopsail-Request-Id"
	HeaderKey         = "Idempotency-Key"
	HeaderDeadline    = "Hyssopsail-Deadline-Ms" // the caller's patience, ms
	HeaderIdempotent  = "Hyssopsail-Idempotent"  // "false": must not be repeated
	HeaderCallerKind  = "Hyssopsail-Caller-Kind" // patience class, e.g. "sorter"
	HeaderRetryAfter  = "Retry-After"            // seconds, rounded up
	HeaderAuthorise   = "Authorization"          // "Bearer <team key>"
	HeaderStreamState = "Hyssopsail-Stream"
)
