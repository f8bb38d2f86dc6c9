package callerapi

// Code is the machine-readable cause in an error body.
type Code string

// The error codes.
const (
	CodeUnauthorised  Code = "unauthorised"
	CodeBadRequest    Code = "bad-request"
	CodeTooLarge      Code = "too-large"
	CodeNoModel       Code = "no-model"
	CodeNoService     Code = "no-service"
	CodeNoZone        Code = "no-permitted-zone" // the team's zones are all down
	CodeOverloaded    Code = "overloaded"
	CodeLimit         Code = "limit"       // the team's own limit
	CodeQuarantined   Code = "quarantined" // crashed each endpoint that ran it; final
	CodeInFlight      Code = "in-flight"
	CodeRecorded      Code = "recorded" // ran before; the answer itself isn't kept
	CodeUnknown       Code = "unknown"
	CodeNotCurrent    Code = "not-current" // this entry can't confirm its settings
	CodeDraining      Code = "draining"
	CodeEngineFailed  Code = "engine-failed"
	CodeDeadline      Code = "deadline"
	CodeInternal      Code = "internal"
	CodeKeyReused     Code = "key-reused" // same key, other body
	CodeNotFound      Code = "not-found"
	CodeMethodRefused Code = "method-refused"
)

// ErrorBody is the one form of each refusal and failure, also the data of a
// stream's last event when it failed.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error tells a caller the cause, the outcome and when to come back.
type Error struct {
	Code         Code     `json:"code"`
	Message      string   `json:"message"`
	Outcome      Outcome  `json:"outcome"`
	RetryAfterMs int64    `json:"retry_after_ms,omitempty"`
	RequestID    string   `json:"request_id"`
	Addresses    []string `json:"addresses,omitempty"` // where else to go
}

// AddressesReply answers GET /v1/addresses: entries in the team's permitted
// zones, best first, and how long the answer may be kept.
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
