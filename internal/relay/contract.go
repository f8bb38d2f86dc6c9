package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// Exchange is one request of a caller, which is forwarded unchanged, with the properties
// that decide how it is routed. A repeat by the caller is another Exchange.
type Exchange struct {
	ID       string       // as given by the caller
	Key      keyhash.Hash // shown by the caller; empty for none
	Method   string
	Host     string
	Path     string
	Target   string      // path and query as received
	Header   http.Header // as forwarded
	Body     []byte
	Received time.Time
	// Patience is how long the caller waits, counted from Received; 0 if unknown.
	Patience time.Duration
	// Prompt describes a model request; nil for any other.
	Prompt *Prompt
	// After is the ID of the last event that the caller already has.
	After string
}

// Prompt is the size of a model request.
type Prompt struct {
	Model     string
	Tokens    int // in the prompt
	MaxOutput int // maximum tokens to generate
	LikelyOut int // the caller's estimate of the tokens to generate; 0 for none
}

// outputMargin is the factor on the caller's estimate of the output by which memory is
// reserved. Estimates are right in the median and often far off, and a request that
// outgrows its reservation is preempted in mid-stream and its prompt is read again.
const outputMargin = 1.7

// ReservedOutput returns the number of tokens beyond the prompt that memory is reserved
// for: by the caller's estimate where it gave one, and MaxOutput at most.
func (p *Prompt) ReservedOutput() int {
	if p.LikelyOut <= 0 {
		return p.MaxOutput / 2
	}
	return min(int(outputMargin*float64(p.LikelyOut)), p.MaxOutput)
}

// Call is an exchange as it is sent to one endpoint.
type Call struct {
	Exchange *Exchange
	Team     string // of the caller; empty where callers need no key
	Endpoint *dispatch.Endpoint
	TimeLeft time.Duration // after which the endpoint may stop
	Prefill  bool          // only read the prompt
	Source   *Source       // where its KV cache is; nil for none
	Hold     string        // ID of the memory reserved for it; empty for none
	After    string        // resume after this event; empty for that of the Exchange
	Priority int           // 0 to 9, 0 is the most urgent; -1 to omit it
	Fresh    bool          // over a new connection
}

// Source is where the KV cache of a request is.
type Source struct {
	Address string
	Handle  string
}

// Reply is an endpoint's answer. Body.Read returns io.EOF when the body is complete, and
// any other error when it was cut off.
type Reply struct {
	Status int
	Header http.Header // as forwarded to the caller
	Length int64       // -1 when not known
	// NotRun reports that the endpoint did not run the request and never will.
	NotRun bool
	// Misfit reports that another incarnation of the endpoint answered.
	Misfit bool
	Load   *dispatch.Load // reported load; nil for none
	Words
	Body Body
}

// Body is the body of a Reply. Closing it before its end tells the endpoint to stop.
type Body interface {
	Read(p []byte) (int, error)
	Close()
}

// Prefilled is the result of a prefill.
type Prefilled struct {
	Handle string
	Tokens int
}

// Reserved is the answer of an endpoint that was asked for memory.
type Reserved struct {
	Hold string // ID of the reservation; empty for none
	Words
}

// ErrNoRoom means that an endpoint has no free memory to reserve.
var ErrNoRoom = errors.New("the endpoint has no free memory")

// Endpoints sends calls to endpoints. Errors are *SendError.
type Endpoints interface {
	Send(ctx context.Context, c *Call) (*Reply, error)
	// Prefilled reads the answer to a prefill.
	Prefilled(r *Reply) (Prefilled, error)
	// Reserve reserves a slot and memory at an endpoint for the time ttl. It returns
	// ErrNoRoom if the endpoint is full. The signals of the answer are returned with an
	// error too.
	Reserve(ctx context.Context, e *dispatch.Endpoint, tokens int, ttl time.Duration) (Reserved, error)
	// DropHold releases what Reserve has reserved.
	DropHold(ctx context.Context, e *dispatch.Endpoint, reservationID string)
	// Release frees the result of a prefill that nobody will use.
	Release(ctx context.Context, e *dispatch.Endpoint, handle string)
	// HasOpen reports whether a connection to the endpoint that was opened before the given
	// time is still open, which shows that its process has not ended since.
	HasOpen(e *dispatch.Endpoint, before time.Time) bool
}

// CrashTracker knows which requests crash endpoints, across all entries. It is safe for
// concurrent use.
type CrashTracker interface {
	// Watches reports whether anything is known about any request.
	Watches() bool
	// Refused reports whether a request is refused, and for how long.
	Refused(f fleet.Fingerprint) (wait time.Duration, refused bool)
	// Lost records a run whose answer was lost.
	Lost(l suspect.Loss)
	// Answered records that an endpoint has run a request and answered it.
	Answered(f fleet.Fingerprint)
}

// SendError is the reason why a call got no answer.
type SendError struct {
	Sent   bool // a byte may have been sent: the request may have run
	Reused bool // over a kept-alive connection
	Cause  error
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Caller receives the answer of an exchange.
type Caller interface {
	// Begin forwards the head; length is -1 when it is not known.
	Begin(status int, header http.Header, length int64)
	// Write forwards a part of the body at once.
	Write(p []byte) error
	// Abort breaks off an answer that has begun, so that the caller sees that it is
	// incomplete.
	Abort()
}

// View is the entry's view of the fleet. It is immutable except for Confirmed.
type View struct {
	Table     *routetable.Table // nil before the first document
	Confirmed *Confirmation     // of Table; nil before the first document
	Endpoints map[string][]*dispatch.Endpoint
}
