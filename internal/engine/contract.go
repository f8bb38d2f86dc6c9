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

// Gate is the last check before bytes leave for a target: it tells whether
// the team's data may still go there and whether this daemon still holds its
// lease. It is asked directly before each send.
type Gate func(Target) error

// Client calls endpoints. Errors are *Error.
type Client interface {
	Prefill(ctx context.Context, t Target, gate Gate, r engineapi.PrefillRequest) (engineapi.PrefillReply, error)
	Import(ctx context.Context, t Target, gate Gate, r engineapi.ImportRequest) (engineapi.ImportReply, error)
	// Decode gives a stream whose chunks have passed all checks.
	Decode(ctx context.Context, t Target, gate Gate, r engineapi.DecodeRequest) (Stream, error)
	// Cancel returns at once and retries until confirmed, the endpoint's
	// incarnation is gone, or the bound of cancel retries has passed.
	Cancel(t Target, attempt fleet.AttemptID)
	Held(ctx context.Context, t Target) (engineapi.HeldReply, error)
	Cache(ctx context.Context, t Target) (engineapi.CacheSnapshot, error)
	State(ctx context.Context, t Target) (engineapi.Announcement, error)
	Order(ctx context.Context, t Target, o engineapi.Order) (engineapi.OrderReply, error)
	// Call forwards a plain service call; the caller closes the body.
	Call(ctx context.Context, t Target, gate Gate, attempt fleet.AttemptID, r *http.Request) (*http.Response, error)
}

// Stream is a checked decode stream.
type Stream interface {
	// Next gives the next chunk; after one with Finish set it gives io.EOF. A
	// stream that breaks before gives an *Error.
	Next() (engineapi.Chunk, error)
	Close() error
}

// Error tells how a call to an endpoint failed.
type Error struct {
	Target Target
	Op     string
	Code   engineapi.Code // empty when the endpoint gave no answer
	Sent   bool           // false: no byte of the request has left
	Rest   time.Duration  // for which the endpoint wants nothing from this daemon; 0: it didn't ask
	Err    error
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

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }
