package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
)

// Target is the endpoint process that a call is meant for.
type Target struct {
	ID          fleet.EndpointID
	Incarnation fleet.Incarnation
	Zone        fleet.AvailabilityZone
	Address     string // host:port
}

// Gate is the last check before bytes are sent to a target. It returns an error
// if the team's data may no longer go there or this daemon no longer holds its
// lease. It is called directly before each send.
type Gate func(Target) error

// Client calls endpoints. Errors are *Error.
type Client interface {
	Prefill(ctx context.Context, t Target, gate Gate, r engineapi.PrefillRequest) (engineapi.PrefillReply, error)
	Import(ctx context.Context, t Target, gate Gate, r engineapi.ImportRequest) (engineapi.ImportReply, error)
	// Decode returns a stream whose chunks have passed all checks.
	Decode(ctx context.Context, t Target, gate Gate, r engineapi.DecodeRequest) (Stream, error)
	// Cancel returns at once. The cancel is retried until it is confirmed, the
	// endpoint's incarnation no longer runs, or Options.CancelTimeout has passed.
	Cancel(t Target, attempt fleet.AttemptID)
	Held(ctx context.Context, t Target) (engineapi.HeldReply, error)
	Cache(ctx context.Context, t Target) (engineapi.CacheSnapshot, error)
	State(ctx context.Context, t Target) (engineapi.Announcement, error)
	Order(ctx context.Context, t Target, o engineapi.Order) (engineapi.OrderReply, error)
	// Call forwards a plain service call; the caller closes the body.
	Call(ctx context.Context, t Target, gate Gate, attempt fleet.AttemptID, r *http.Request) (*http.Response, error)
	// RefusesConnections reports whether the endpoint's machine refuses a new connection, as
	// it does once the endpoint's process has ended. It is false if no answer comes.
	RefusesConnections(ctx context.Context, t Target) bool
}

// Stream is a checked decode stream.
type Stream interface {
	// Next returns the next chunk; after one with Finish set it returns io.EOF. If
	// the stream fails before, it returns an *Error.
	Next() (engineapi.Chunk, error)
	Close() error
}

// Error describes how a call to an endpoint failed.
type Error struct {
	Target   Target
	Op       string
	Code     engineapi.Code // empty when the endpoint sent no answer
	Sent     bool           // false: no byte of the request has been sent
	Cooldown time.Duration  // cooldown that the endpoint asked this daemon for; 0: none
	Err      error
}

// Error implements error.
func (e *Error) Error() string {
	s := e.Op + " at endpoint " + string(e.Target.ID)
	if e.Code != "" {
		s += ": " + string(e.Code)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
