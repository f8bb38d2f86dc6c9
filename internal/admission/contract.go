package admission

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Request is what admission needs to know.
type Request struct {
	Team          fleet.Team
	Limits        settings.Limits
	Share         float64
	Work          float64       // predicted engine work, ms
	Patience      time.Duration // arrival to first token
	PredictedWait time.Duration // until the first token, from the candidates
	DrainPerSec   float64       // requests the candidates finish a second; 0: not known
	Queued        int           // requests waiting ahead at the candidates
	PromptTokens  int
	RequestID     fleet.RequestID
}

// Decision is the outcome of admission. When not Admitted, the rest says why
// and when to come back.
type Decision struct {
	Admitted   bool
	Code       callerapi.Code
	Final      bool // never worth a retry: oversized
	RetryAfter time.Duration
}

// Controller is the stateful decision of one entry. Safe for one goroutine;
// the shell serialises.
type Controller interface {
	Admit(now time.Time, r Request) Decision
	// Done gives back what Admit counted.
	Done(now time.Time, r Request)
	// FirstToken tells how long an admitted request really waited.
	FirstToken(now time.Time, r Request, waited time.Duration)
	// MayRetry spends from the retry budgets of team and endpoint.
	MayRetry(now time.Time, team fleet.Team, endpoint fleet.EndpointID) bool
	// Succeeded refills the retry budgets.
	Succeeded(now time.Time, team fleet.Team, endpoint fleet.EndpointID)
}
