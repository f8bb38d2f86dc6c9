package route

import (
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// ModelRequest is a completion that a caller asks for.
type ModelRequest struct {
	ID         fleet.RequestID
	Team       fleet.Team
	Key        string // the caller's Idempotency-Key; empty: none
	Model      string // as the caller names it
	Prompt     string
	MaxTokens  int // 0: the bound's default
	CallerKind string
	Patience   time.Duration // the caller's own; 0: by caller kind
	Arrived    time.Time
}

// CallRequest is a call of a plain service.
type CallRequest struct {
	ID         fleet.RequestID
	Team       fleet.Team
	Key        string
	Service    string
	Method     string
	Path       string // below the service, begins with "/"
	Query      string
	Header     http.Header // the caller's, internal ones taken out
	Body       []byte
	Once       bool // the caller says that it may not be repeated
	CallerKind string
	Patience   time.Duration
	Arrived    time.Time
}

// CallAnswer is a plain service's whole answer.
type CallAnswer struct {
	StatusCode int
	Header     http.Header
	Body       []byte
}

// Answer tells how a model request ended. With Failure nil the whole answer
// went to the Sink.
type Answer struct {
	Finish       engineapi.Finish
	PromptTokens int
	OutputTokens int
	Failure      *Failure
}

// Sink takes the answer's chunks in order, without gap or repeat. An error
// means that the caller is gone.
type Sink interface {
	Pass(c engineapi.Chunk) error
}
