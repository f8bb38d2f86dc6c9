package callerapi

// Code is the machine-readable cause in an error body.
type Code string

// The error codes.
const (
	CodeUnauthorised    Code = "unauthorised"
	CodeBadRequest      Code = "bad-request"
	CodeTooLarge        Code = "too-large"
	CodeNoModel         Code = "no-model"
	CodeNoService       Code = "no-service"
	CodeNoPermittedZone Code = "no-permitted-zone" // all zones that the team may use are down
	CodeOverloaded      Code = "overloaded"
	CodeLimit           Code = "limit"       // the team's limit is reached
	CodeQuarantined     Code = "quarantined" // the request crashed each endpoint that ran it; final
	CodeInFlight        Code = "in-flight"
	CodeRecorded        Code = "recorded" // the request has already run; its answer isn't stored
	CodeUnknown         Code = "unknown"
	CodeNotCurrent      Code = "not-current" // the entry can't confirm its settings
	CodeDraining        Code = "draining"
	CodeEngineFailed    Code = "engine-failed"
	CodeDeadline        Code = "deadline"
	CodeInternal        Code = "internal"
	CodeKeyReused       Code = "key-reused" // same idempotency key with another body
	CodeNotFound        Code = "not-found"
	CodeMethodRefused   Code = "method-refused"
)

// ErrorBody is the body of every error answer, and the data of the last event of a stream
// that failed.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes the cause of an error, the request's outcome and when to retry.
type Error struct {
	Code         Code     `json:"code"`
	Message      string   `json:"message"`
	Outcome      Outcome  `json:"outcome"`
	RetryAfterMs int64    `json:"retry_after_ms,omitempty"`
	RequestID    string   `json:"request_id"`
	Addresses    []string `json:"addresses,omitempty"` // other entries to try
}

// AddressesReply answers GET /v1/addresses: the entries in the team's permitted zones, best
// first, and how long the answer may be cached.
type AddressesReply struct {
	Addresses []Address `json:"addresses"`
	KeepMs    int64     `json:"keep_ms"`
}

// Address is one entry that a caller may use.
type Address struct {
	Address string `json:"address"` // host:port
	Zone    string `json:"availability_zone"`
}

// RequestReply answers GET /v1/requests/{key}.
type RequestReply struct {
	Outcome    Outcome `json:"outcome"`
	StatusCode int     `json:"status_code,omitempty"`
	AgeMs      int64   `json:"age_ms"`
}
