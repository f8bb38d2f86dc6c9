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

// Exchange is one attempt of a caller: a request that is passed on unchanged,
// with the traits that decide its way.
type Exchange struct {
	ID       string       // of the attempt, as the caller gave it
	Key      keyhash.Hash // that the caller showed; empty for none
	Method   string
	Host     string
	Path     string
	Target   string      // path and query as they came
	Header   http.Header // what is passed on
	Body     []byte
	Received time.Time
	// Patience is how long the caller waits from Received; 0 when not said.
	Patience time.Duration
	// Prompt describes a model request; nil for any other.
	Prompt *Prompt
	// After is the ID of the last event that the caller already holds.
	After string
}

// Prompt is the size of a model request.
type Prompt struct {
	Model     string
	Tokens    int // to be read
	MaxOutput int // to be generated at most
	LikelyOut int // the caller's estimate of them; 0 for none
}

// memoryMargin is by how much more than the caller's estimate of the output
// memory is set aside. Estimates are right in the median and often far off, and
// a run that outgrows its memory is preempted in the middle of its stream and
// its prompt read again.
const memoryMargin = 1.7

// Likely is how many tokens memory is set aside for beyond the prompt, by the
// caller's estimate where it gave one, and never more than the most.
func (p *Prompt) Likely() int {
	if p.LikelyOut <= 0 {
		return p.MaxOutput / 2
	}
	return min(int(memoryMargin*float64(p.LikelyOut)), p.MaxOutput)
}

// Call is an exchange on its way to one endpoint.
type Call struct {
	Exchange *Exchange
	Team     string // of the caller; empty where callers need no key
	Endpoint *dispatch.Endpoint
	TimeLeft time.Duration // after which the endpoint may stop
	Prefill  bool          // only read the prompt
	Source   *Source       // where its KV cache lies; nil for none
	Hold     string        // memory set aside for it; empty for none
	After    string        // go on after this event; empty for the caller's own
	Priority int           // 0 to 9, 0 first; -1 to leave it out
	Fresh    bool          // over a new connection
}

// Source is where the KV cache of a request lies.
type Source struct {
	Address string
	Handle  string
}

// Reply is the head of an endpoint's answer. Read gives its body: io.EOF
// means that it is whole, any other error that it was cut off.
type Reply struct {
	Status int
	Header http.Header // what is passed on to the caller
	Length int64       // -1 when not known
	// NotRun tells that the endpoint did not run the request and never will.
	NotRun bool
	// Misfit tells that another incarnation answered.
	Misfit bool
	Load   *dispatch.Load // nil when it told none
	Words
	Body Body
}

// Body is the body of a Reply. Close before its end tells the endpoint to stop.
type Body interface {
	Read(p []byte) (int, error)
	Close()
}

// Prefilled is what a prefill gave.
type Prefilled struct {
	Handle string
	Tokens int
}

// Reserved is the answer of an endpoint that was asked for memory.
type Reserved struct {
	Hold string // names what was set aside; empty for nothing
	Words
}

// ErrNoRoom: an endpoint has no memory to set aside.
var ErrNoRoom = errors.New("the endpoint has no room")

// Endpoints sends calls to endpoints. Errors are *SendError.
type Endpoints interface {
	Send(ctx context.Context, c *Call) (*Reply, error)
	// Prefilled reads the answer to a prefill.
	Prefilled(r *Reply) (Prefilled, error)
	// Reserve sets a place and memory aside at an endpoint for a while, and
	// names it. ErrNoRoom is its answer when it is full. The words of the answer are given
	// beside an error too.
	Reserve(ctx context.Context, e *dispatch.Endpoint, tokens int, life time.Duration) (Reserved, error)
	// DropHold gives up what Reserve set aside.
	DropHold(ctx context.Context, e *dispatch.Endpoint, hold string)
	// Release frees the result of a prefill that nobody will take.
	Release(ctx context.Context, e *dispatch.Endpoint, handle string)
	// HasOpen tells whether a connection to the endpoint that was opened before a time is
	// still open: its process has not ended since.
	HasOpen(e *dispatch.Endpoint, before time.Time) bool
}

// Crashes knows which requests crash endpoints, over all entries. It is safe for concurrent
// use.
type Crashes interface {
	// Watches tells whether anything is known of any request.
	Watches() bool
	// Refused tells whether a request is refused, and for how long.
	Refused(f fleet.Fingerprint) (wait time.Duration, refused bool)
	// Lost takes in a run that ended with its endpoint.
	Lost(l suspect.Loss)
	// Answered takes in that an endpoint has run a request and answered it.
	Answered(f fleet.Fingerprint)
}

// SendError is why a call got no answer.
type SendError struct {
	Sent   bool // a byte may have left: the request may have run
	Reused bool // over a kept connection
	Cause  error
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap gives the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Caller takes the answer of an exchange.
type Caller interface {
	// Begin passes on the head; length is -1 when it is not known.
	Begin(status int, header http.Header, length int64)
	// Write passes on a part of the body and sends it off.
	Write(p []byte) error
	// Abort breaks off an answer that has begun, so that the caller sees that
	// it is not whole.
	Abort()
}

// View is what the entry knows of the fleet. It is immutable, Confirmed aside.
type View struct {
	Table     *routetable.Table // nil before the first document
	Confirmed *Confirmation     // of Table; nil before the first document
	Endpoints map[string][]*dispatch.Endpoint
}
