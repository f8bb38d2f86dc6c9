package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// RetryState is the state of an exchange after an attempt without a good answer.
type RetryState struct {
	Repeatable         bool // it may run again
	Outcome            dispatch.Outcome
	Runs               int // attempts that may have run
	MaxRuns            int
	Attempts           int // all attempts
	TimeLeft           time.Duration
	BudgetLeft         bool // the retry budget allows one more arrival
	HasUntriedEndpoint bool
}

// Action is what to do next.
type Action int

// Actions.
const (
	ActionRetry   Action = iota // send to another endpoint
	ActionForward               // forward the endpoint's failure
	ActionGiveUp                // answer with a refusal
)

// Limits of retries.
const (
	// maxExchangeAttempts limits the attempts of one exchange, whatever their outcomes:
	// beyond it a service is out of order, and each attempt delays the refusal.
	maxExchangeAttempts = 4
	// minTimeLeft is the minimum time in which another endpoint could still answer.
	minTimeLeft = 30 * time.Millisecond
)

// NextAction decides what to do after an attempt without a good answer.
//
//   - An attempt that reached no endpoint costs nothing and may be retried.
//   - One that was rejected did not run: it may be retried elsewhere, within the
//     budget, whatever the route's kind.
//   - One that may have run is retried only where a request may run twice, within
//     the route's attempts and the budget.
func NextAction(s RetryState) Action {
	fallback := ActionGiveUp
	if s.Outcome == dispatch.OutcomeFailed {
		fallback = ActionForward
	}
	if s.TimeLeft < minTimeLeft || s.Attempts >= maxExchangeAttempts {
		return fallback
	}
	switch s.Outcome {
	case dispatch.OutcomeUnreachable:
		return ActionRetry
	case dispatch.OutcomeFull, dispatch.OutcomeWrongIncarnation:
		if s.BudgetLeft && s.HasUntriedEndpoint {
			return ActionRetry
		}
		return ActionGiveUp
	case dispatch.OutcomeFailed, dispatch.OutcomeLost:
		if s.Repeatable && s.Runs < s.MaxRuns && s.BudgetLeft && s.HasUntriedEndpoint {
			return ActionRetry
		}
	}
	return fallback
}

// reason returns why the exchange is not retried.
func (s RetryState) reason() string {
	if !s.BudgetLeft {
		return s.Outcome.String() + ", and the fleet may not send it again"
	}
	return s.Outcome.String()
}
