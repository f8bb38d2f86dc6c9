package endpoint

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Candidate is an endpoint as a follower knows it now: the home's digest,
// corrected by this daemon's own grants since.
type Candidate struct {
	ID             fleet.EndpointID
	Incarnation    fleet.Incarnation
	Zone           fleet.AvailabilityZone
	Address        string
	Role           fleet.EndpointRole
	Models         []engineapi.ModelRef
	Service        string
	Slots          int
	Granted        int
	Queued         int
	NextFree       time.Duration // predicted wait for a slot
	QueuedWork     time.Duration // prefill work ahead
	TokenTime      time.Duration // time between tokens at its batch
	CachedPrefixes map[uint64]struct{}
}

// Query selects candidates. Model is empty for plain services, Service for
// model work.
type Query struct {
	Kind      fleet.EndpointRole // RolePrefill, RoleDecode or RolePlain
	Model     engineapi.ModelRef
	Service   string
	Permitted fleet.ZoneSet
}

// GrantRequest asks an endpoint's home for a slot.
type GrantRequest struct {
	Endpoint       fleet.EndpointID
	Kind           fleet.EndpointRole
	Attempt        fleet.AttemptID
	Team           fleet.Team
	Model          engineapi.ModelRef
	PromptTokens   int
	ExpectedTokens int
	Wait           time.Duration // longest wait in the home's queue
	Lead           time.Duration // grant so long before the slot is free
	// MostAhead has the home refuse when more is predicted to be ahead: a slot's
	// wait, and for a prefill the work before it. 0: the follower alone decides.
	MostAhead   time.Duration
	Share       float64
	Priority    int
	Fingerprint fleet.Fingerprint
	Alone       bool
}

// Grant is a slot at an endpoint, held until released or its life ends.
type Grant struct {
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	Address     string
	Zone        fleet.AvailabilityZone
	Attempt     fleet.AttemptID
	Kind        fleet.EndpointRole
	ReadyIn     time.Duration // predicted wait until the slot is free
	// Expires is until when work may begin on the grant, unless the follower
	// has renewed it; Follower.Valid knows of renewals.
	Expires time.Time
}

// Refusal is a grant that was not given.
type Refusal struct {
	Status     pb.GrantStatus
	RetryAfter time.Duration // from the drain rate; 0: not known
}

// Release gives a slot back.
type Release struct {
	Grant        Grant
	Reason       pb.ReleaseReason
	OutputTokens int
	Busy         time.Duration
}

// Follower is how a request finds endpoints and takes their slots.
type Follower interface {
	Candidates(q Query) []Candidate
	// Surveyed gives when each followed home had been asked for the first time
	// since this process joined; false: not yet, and the lack of a candidate
	// says nothing.
	Surveyed() (time.Time, bool)
	// Take asks the home; exactly one of grant and refusal is set when err is
	// nil.
	Take(ctx context.Context, r GrantRequest) (grant *Grant, refusal *Refusal, err error)
	// Give never blocks; it retries in the background until the home has
	// confirmed or the grant's life has ended.
	Give(r Release)
	// Running lists the attempts that this daemon still runs; the home's sweep
	// asks for it.
	Running(attempt fleet.AttemptID) bool
	// Valid tells whether work may begin on a grant at now; renewals count. It
	// is asked directly before bytes leave.
	Valid(now time.Time, g Grant) bool
}
