package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
	"github.com/hyssopsail/hyssopsail/internal/suspect"
)

// Exchange is one request of a caller, which is forwarded unchanged, with the properties
// that decide how it is routed. A repeat by the caller is another Exchange.
type Exchange struct {
	ID         string       // as given by the caller
	Key        keyhash.Hash // shown by the caller; empty for none
	Method     string
	Host       string
	Path       string
	RequestURI string      // path and query as received
	Header     http.Header // as forwarded
	Body       []byte
	Received   time.Time
	// CallerTimeout is how long the caller waits, counted from Received; 0 if unknown.
	CallerTimeout time.Duration
	// Prompt describes a model request; nil for any other.
	Prompt *Prompt
	// LastEventID is the ID of the last event that the caller already has; empty where it has
	// none.
	LastEventID string
	// Resumes is the ID of the caller's exchange that brought the first event of a stream that
	// the caller resumes; empty where it names none.
	Resumes string
}

// Prompt is the size of a model request.
type Prompt struct {
	Model           string
	Tokens          int // in the prompt
	MaxOutput       int // maximum tokens to generate
	EstimatedOutput int // the caller's estimate of the tokens to generate; 0 for none
	Parts           fleet.PromptParts
}

// outputMargin is the factor on the caller's estimate of the output by which memory is
// reserved. Estimates are right in the median and often far off, and a request that
// outgrows its reservation is preempted in mid-stream and its prompt is prefilled again.
const outputMargin = 1.7

// ReservedOutput returns the number of tokens beyond the prompt that memory is reserved
// for: by the caller's estimate where it gave one, and MaxOutput at most.
func (p *Prompt) ReservedOutput() int {
	if p.EstimatedOutput <= 0 {
		return p.MaxOutput / 2
	}
	return min(int(outputMargin*float64(p.EstimatedOutput)), p.MaxOutput)
}

// Call is an exchange as it is sent to one endpoint.
type Call struct {
	Exchange      *Exchange
	Team          string // of the caller; empty where callers need no key
	Endpoint      *dispatch.Endpoint
	TimeLeft      time.Duration // after which the endpoint may stop
	Prefill       bool          // only prefill the prompt
	Source        *Source       // where its KV cache is; nil for none
	ReservationID string        // ID of the memory reserved for it; empty for none
	LastEventID   string        // resume after this event; empty for that of the Exchange
	Priority      int           // 0 to 9, 0 is the most urgent; -1 to omit it
	NewConnection bool          // over a new connection
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
	// CloseDelimited reports that the body ends with the connection: io.EOF then shows only
	// that the connection was not reset.
	CloseDelimited bool
	// NotRun reports that the endpoint did not run the request and never will.
	NotRun bool
	// WrongIncarnation reports that another incarnation of the endpoint answered.
	WrongIncarnation bool
	Load             *dispatch.ReportedLoad // reported load; nil for none
	Signals
	Body Body
}

// Body is the body of a Reply. Closing it before its end tells the endpoint to stop.
type Body interface {
	Read(p []byte) (int, error)
	Close()
}

// PrefillResult is the result of a prefill.
type PrefillResult struct {
	Handle string
	Tokens int
}

// Reservation is the answer of an endpoint that was asked for memory.
type Reservation struct {
	ID string // ID of the reservation; empty for none
	Signals
}

// ErrNoMemory means that an endpoint has no free memory to reserve.
var ErrNoMemory = errors.New("the endpoint has no free memory")

// Endpoints sends calls to endpoints. Errors are *SendError.
type Endpoints interface {
	Send(ctx context.Context, c *Call) (*Reply, error)
	// ReadPrefillResult reads the answer of an endpoint to a prefill.
	ReadPrefillResult(from *dispatch.Endpoint, r *Reply) (PrefillResult, error)
	// Reserve reserves a slot and memory at an endpoint for the time ttl. It returns
	// ErrNoMemory if the endpoint is full. The signals of the answer are returned with an
	// error too.
	Reserve(ctx context.Context, e *dispatch.Endpoint, tokens int, ttl time.Duration) (Reservation, error)
	// ReleaseReservation releases what Reserve has reserved.
	ReleaseReservation(ctx context.Context, e *dispatch.Endpoint, reservationID string)
	// ReleasePrefill frees the result of a prefill that no endpoint will use.
	ReleasePrefill(ctx context.Context, e *dispatch.Endpoint, handle string)
	// StopRun asks an endpoint over a new connection to end its run of an exchange, which goes on
	// elsewhere, and frees what it keeps of it.
	StopRun(ctx context.Context, e *dispatch.Endpoint, exchangeID string, elsewhere *dispatch.Endpoint) error
	// HasConnectionOpenedBefore reports whether a connection to the endpoint that was opened
	// before the given time is still open, which shows that its process has not ended since.
	HasConnectionOpenedBefore(e *dispatch.Endpoint, before time.Time) bool
	// HasDirectConnectionOpenedBefore counts only connections that lead through no other entry: the
	// end of the others doesn't show while that entry is silent.
	HasDirectConnectionOpenedBefore(e *dispatch.Endpoint, before time.Time) bool
	// Probe opens a connection to the endpoint, as its machine refuses without a process. An error
	// that isn't reachability.Refused tells nothing of the process.
	Probe(ctx context.Context, e *dispatch.Endpoint) error
	// CheckIncarnation asks the endpoint whether its process is another one than that of the
	// incarnation; isOther is false if no answer comes, or if the endpoint can't tell.
	CheckIncarnation(ctx context.Context, e *dispatch.Endpoint) (answered, isOther bool)
	// IsLinkLost reports whether a new direct connection to the endpoint gets no answer. It is
	// false if the connection is refused.
	IsLinkLost(ctx context.Context, e *dispatch.Endpoint) bool
	// EndpointHeardSince reports whether an endpoint was heard since a time, over the link of this
	// process.
	EndpointHeardSince(e *dispatch.Endpoint, since time.Time) bool
	// HeardSince reports whether any endpoint was heard since a time, over links of this
	// process.
	HeardSince(since time.Time) bool
}

// CrashTracker knows which requests crash endpoints, across all entries. It is safe for
// concurrent use.
type CrashTracker interface {
	// HasFindings reports whether anything is known about any request.
	HasFindings() bool
	// Refused reports whether a request is refused, and for how long.
	Refused(f fleet.Fingerprint) (wait time.Duration, refused bool)
	// RecordLoss records a run whose answer was lost.
	RecordLoss(l suspect.Loss)
	// RecordAnswer records that an endpoint has run a request and answered it.
	RecordAnswer(f fleet.Fingerprint)
}

// RetryPool grants retries beyond the entry's own part of the retry budget. It is safe for
// concurrent use.
type RetryPool interface {
	// Take reports whether a request of a service may be sent once more, which must
	// follow within retrybudget.PoolGrantTTL.
	Take(ctx context.Context, service string) bool
}

// SendError is the reason why a call got no answer.
type SendError struct {
	Sent    bool // a byte may have been sent: the request may have run
	Arrived bool // the endpoint's machine was seen to have received the request
	Reused  bool // over a kept-alive connection
	Cause   error
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
	// Silent are the endpoints that are not in Endpoints since they missed their heartbeats.
	Silent map[dispatch.Incarnation]bool
	// Draining are those that are not in Endpoints since they announced that they leave, and have
	// not left. They may have missed their heartbeats since.
	Draining map[dispatch.Incarnation]bool

	index viewIndex
}

// Lists reports whether the view has the incarnation of an endpoint. An entry without a view
// (nil) lists none.
func (v *View) Lists(incarnation endpointlimit.Endpoint) bool {
	if v == nil {
		return false
	}
	for _, list := range v.Endpoints {
		for _, known := range list {
			if endpointlimit.Endpoint(known.Incarnation()) == incarnation {
				return true
			}
		}
	}
	return false
}
