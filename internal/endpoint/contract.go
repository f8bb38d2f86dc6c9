package endpoint

import (
	"context"
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Candidate describes an endpoint as a follower currently sees it: the home's
// last digest, corrected by this daemon's own grants since then.
type Candidate struct {
	ID             fleet.EndpointID
	Incarnation    fleet.Incarnation
	Zone           fleet.AvailabilityZone
	Address        string
	Role           fleet.EndpointRole
	Models         []engineapi.ModelRef
	Service        string
	Software       string // version; empty: it names none
	Slots          int
	Granted        int
	Queued         int
	SlotWait       time.Duration // predicted wait for a slot
	QueuedWork     time.Duration // predicted prefill work ahead
	TokenTime      time.Duration // time between tokens at its current batch
	CachedPrefixes map[uint64]struct{}
}

// Query selects candidates. Model is empty for plain services, Service for
// model requests.
type Query struct {
	Kind      fleet.EndpointRole // RolePrefill, RoleDecode or RolePlain
	Model     engineapi.ModelRef
	Service   string
	Permitted fleet.ZoneSet
	Software  []string // the versions that an endpoint may run; nil: any
	// Excludes reports the endpoints that may not be used; nil: none.
	Excludes func(id fleet.EndpointID) bool
}

func (q Query) allows(software string) bool {
	return q.Software == nil || slices.Contains(q.Software, software)
}

func (q Query) excludes(id fleet.EndpointID) bool {
	return q.Excludes != nil && q.Excludes(id)
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
	MaxWait        time.Duration // maximum time in the home's queue
	Lead           time.Duration // how long before the slot is free it may be granted
	// MaxPredictedWait makes the home refuse the request if it predicts a
	// longer wait: for a slot, and for a prefill also for the work before it.
	// With 0, only the follower's own bound applies.
	MaxPredictedWait time.Duration
	Share            float64
	Priority         int
	Fingerprint      fleet.Fingerprint
	Alone            bool // a suspect: not granted while another suspect runs there
}

// Grant is a slot at an endpoint, held until it is released or expires.
type Grant struct {
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	Address     string
	Zone        fleet.AvailabilityZone
	Attempt     fleet.AttemptID
	Kind        fleet.EndpointRole
	ReadyIn     time.Duration // predicted wait until the slot is free
	// Expires is the time until which work may start, unless the follower has
	// renewed the grant; Follower.Valid takes renewals into account.
	Expires time.Time
}

// Refusal reports why a slot was not granted.
type Refusal struct {
	Status     pb.GrantStatus
	RetryAfter time.Duration // from the release rate; 0: unknown
}

// Release describes a slot to release.
type Release struct {
	Grant        Grant
	Reason       pb.ReleaseReason
	OutputTokens int
	Busy         time.Duration
}

// Follower finds endpoints for a request, and acquires and releases their
// slots.
type Follower interface {
	// Candidates returns usable endpoints: all of a small group, a random part of
	// a large one.
	Candidates(q Query) []Candidate
	// Find returns the usable endpoint with an ID.
	Find(id fleet.EndpointID) (Candidate, bool)
	// CountVersions returns how many usable endpoints run each software version.
	CountVersions(q Query) map[string]int
	// FirstPollTime returns when the first poll of all followed homes ended after
	// this process joined. It returns false before that; a lack of candidates
	// then means nothing.
	FirstPollTime() (time.Time, bool)
	// Acquire requests a slot from the endpoint's home. If err is nil, exactly one
	// of grant and refusal is set.
	Acquire(ctx context.Context, r GrantRequest) (grant *Grant, refusal *Refusal, err error)
	// Release releases a slot without blocking. It retries in the background until
	// the home has confirmed, for at most two grant lifetimes.
	Release(r Release)
	// Running reports whether this daemon still runs the attempt. The home's
	// sweep uses it.
	Running(attempt fleet.AttemptID) bool
	// Valid reports whether work may start on a grant at now, taking renewals
	// into account. It is checked directly before a request is sent.
	Valid(now time.Time, g Grant) bool
}
