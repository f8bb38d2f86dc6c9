package engineapi

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// HeaderAttempt carries the attempt ID to plain services, and HeaderOwner the
// daemon process that sends it. HeaderRefusal in an answer carries the Code of
// an endpoint that did not run the call; a service that doesn't implement this
// API never sets it.
const (
	HeaderAttempt = "Hyssopsail-Attempt"
	HeaderOwner   = "Hyssopsail-Owner"
	HeaderRefusal = "Hyssopsail-Refusal"
)

// Work holds the fields that all requests for work at an engine share. A stale
// attempt, owner or incarnation is refused with CodeStale.
type Work struct {
	Attempt     fleet.AttemptID   `json:"attempt_id"`
	Owner       fleet.Owner       `json:"owner"`
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Incarnation fleet.Incarnation `json:"incarnation"` // of the endpoint
	Model       ModelRef          `json:"model"`
	Priority    int               `json:"priority"`    // higher goes first
	DeadlineMs  int64             `json:"deadline_ms"` // time left until the first token is due; 0: none
}

// PrefillRequest computes the KV cache of a prompt.
type PrefillRequest struct {
	Work
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// PrefillReply identifies the KV cache, which expires after ExpiresMs unless it
// is transferred.
type PrefillReply struct {
	Attempt      fleet.AttemptID   `json:"attempt_id"`
	Incarnation  fleet.Incarnation `json:"incarnation"`
	Handle       string            `json:"handle"`
	PromptTokens int               `json:"prompt_tokens"`
	CachedTokens int               `json:"cached_tokens"`
	KVBytes      int64             `json:"kv_bytes"`
	WorkMs       float64           `json:"work_ms"` // engine time spent
	ExpiresMs    int64             `json:"expires_ms"`
}

// ImportRequest asks a decode engine to fetch a KV cache from Source.
type ImportRequest struct {
	Work
	Source       string `json:"source"` // host:port of the prefill engine
	Handle       string `json:"handle"`
	PromptTokens int    `json:"prompt_tokens"`
	KVBytes      int64  `json:"kv_bytes"`
}

// ImportReply confirms that the endpoint holds the KV cache.
type ImportReply struct {
	Attempt     fleet.AttemptID   `json:"attempt_id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	TransferMs  float64           `json:"transfer_ms"`
}

// DecodeRequest asks for a stream of output tokens. With Offset > 0 the stream
// continues after that many tokens, whose text is Prefix.
type DecodeRequest struct {
	Work
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Offset    int    `json:"offset"`
	Prefix    string `json:"prefix,omitempty"`
}

// Chunk is one event of a decode stream. Offset is the number of output tokens
// before this chunk; Tokens is the number in it. The last chunk has Finish set.
type Chunk struct {
	Attempt     fleet.AttemptID   `json:"attempt_id"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	Offset      int               `json:"offset"`
	Tokens      int               `json:"tokens"`
	Text        string            `json:"text"`
	Finish      Finish            `json:"finish,omitempty"`
}

// Finish is the reason for which a stream ended.
type Finish string

// The reasons for which a decode stream ends.
const (
	FinishNone      Finish = ""
	FinishStop      Finish = "stop"
	FinishLength    Finish = "length"
	FinishCancelled Finish = "cancelled"
	FinishError     Finish = "error"
)

// CancelRequest frees all that an attempt holds at an endpoint.
type CancelRequest struct {
	Attempt fleet.AttemptID `json:"attempt_id"`
}

// CancelReply confirms a cancel; Freed is false when nothing was held. In both
// cases later work of the attempt is refused with CodeStale.
type CancelReply struct {
	Freed bool `json:"freed"`
}

// HeldReply lists the requests that occupy engine memory.
type HeldReply struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Held        []Held            `json:"held"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad       OrderKind = "load"
	OrderUnload     OrderKind = "unload"
	OrderChangeRole OrderKind = "change-role"
)

// Order tells an engine to load or unload a model, or to change its role. Engines
// that check FencingToken refuse an order whose token is lower than the
// highest that they have accepted.
type Order struct {
	ID           string             `json:"id"`
	FencingToken uint64             `json:"token"`
	Kind         OrderKind          `json:"kind"`
	Model        ModelRef           `json:"model"`
	Role         fleet.EndpointRole `json:"role,omitempty"`
}

// OrderReply reports the engine's state after the order.
type OrderReply struct {
	Done             bool   `json:"done"`
	LastFencingToken uint64 `json:"last_token"`
}

// Code is the machine-readable cause in an ErrorReply.
type Code string

// The error codes of endpoints.
const (
	CodeStale      Code = "stale"       // wrong incarnation or cancelled attempt
	CodeFull       Code = "full"        // no slot or memory
	CodeNoModel    Code = "no-model"    // model or version not loaded
	CodeGone       Code = "gone"        // KV handle expired or unknown
	CodeTransfer   Code = "transfer"    // the fetch from the other engine failed
	CodeLeaving    Code = "leaving"     // accepts no new work
	CodeOldToken   Code = "old-token"   // fencing token too low
	CodeBadRequest Code = "bad-request" // malformed
	CodeWrongRole  Code = "wrong-role"  // not this endpoint's kind of work
)

// ErrorReply is the body of each answer with a status of 400 or more.
type ErrorReply struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}
