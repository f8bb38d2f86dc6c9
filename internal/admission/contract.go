package admission

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Request holds what admission needs to know of a request.
type Request struct {
	Team          fleet.Team
	Limits        settings.Limits
	Share         float64       // the team's weight in fair sharing
	WorkMs        float64       // predicted engine time, ms
	Patience      time.Duration // maximum time from arrival to the first token
	PredictedWait time.Duration // until the first token, predicted from the candidates
	DrainPerSec   float64       // requests per second that the candidates finish; 0: unknown
	Queued        int           // requests queued ahead at the candidates
	PromptTokens  int
	RequestID     fleet.RequestID
}

// Decision is the outcome of admission. Unless the request is Admitted, the
// other fields give the reason and when to retry.
type Decision struct {
	Admitted   bool
	Code       callerapi.Code
	Final      bool // a retry can't succeed: the request is oversized
	RetryAfter time.Duration
}

// Controller makes the admission decisions of one entry. It is stateful and not
// safe for concurrent use; callers must serialise the calls.
type Controller interface {
	Admit(now time.Time, r Request) Decision
	// Done ends a request that Admit counted as running.
	Done(now time.Time, r Request)
	// ObserveFirstToken records how long an admitted request actually waited.
	ObserveFirstToken(now time.Time, r Request, waited time.Duration)
	// TakeRetry takes one retry from the budgets of both team and endpoint. It
	// reports false if either budget is exhausted.
	TakeRetry(now time.Time, team fleet.Team, endpoint fleet.EndpointID) bool
	// RecordSuccess adds to the retry budgets of team and endpoint.
	RecordSuccess(now time.Time, team fleet.Team, endpoint fleet.EndpointID)
}
