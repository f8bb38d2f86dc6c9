package route

import (
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// ModelRequest is a caller's completion request.
type ModelRequest struct {
	ID         fleet.RequestID
	Team       fleet.Team
	Key        string // the caller's Idempotency-Key; empty: none
	Model      string // as the caller names it
	Prompt     string
	MaxTokens  int // 0: Bounds.DefaultOutputTokens
	CallerKind string
	// Patience is how long the caller waits for the first token; 0: the default of CallerKind.
	Patience time.Duration
	Arrived  time.Time
}

// CallRequest is a call of a plain service.
type CallRequest struct {
	ID         fleet.RequestID
	Team       fleet.Team
	Key        string
	Service    string
	Method     string
	Path       string // relative to the service, begins with "/"
	Query      string
	Header     http.Header // the caller's headers, without internal ones
	Body       []byte
	AtMostOnce bool // the caller states that it must not be repeated
	CallerKind string
	Patience   time.Duration // maximum wait for a slot at an endpoint; 0: the default of CallerKind
	Arrived    time.Time
}

// CallResponse is the complete response of a plain service.
type CallResponse struct {
	StatusCode int
	Header     http.Header
	Body       []byte
}

// ModelResult is the result of a model request. If Failure is nil, the whole output
// was passed to the Sink.
type ModelResult struct {
	Finish       engineapi.Finish
	PromptTokens int
	OutputTokens int
	Failure      *Failure
}

// Sink receives the output chunks in order, without gaps or repeats. An error
// means that the caller has disconnected.
type Sink interface {
	WriteChunk(c engineapi.Chunk) error
}
