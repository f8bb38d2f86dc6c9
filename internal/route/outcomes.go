package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
)

// KeyStatus is what the ledger knows of a caller's key.
type KeyStatus struct {
	Found      bool
	Outcome    callerapi.Outcome
	StatusCode int
	Age        time.Duration
}

// LookupKey returns the status of the latest generation of a team's key.
func (r *Router) LookupKey(ctx context.Context, team fleet.Team, key string) (KeyStatus, *Failure) {
	leave, failure := r.enter(team)
	if failure != nil {
		return KeyStatus{}, unknownIfKeyed(key, failure)
	}
	defer leave()
	owner, ok := r.opts.Source.State().Tree.Teams[team]
	if !ok {
		return KeyStatus{}, notRun(callerapi.CodeUnauthorised, "the team is not in the settings", 0)
	}
	ctx, cancel := context.WithTimeout(ctx, r.bounds.LedgerTimeout)
	defer cancel()
	var last KeyStatus
	for generation := range r.bounds.MaxKeyGenerations {
		name := r.hash.recordKey(team, key, generation)
		verdict, record, err := r.opts.Ledger.Lookup(ctx, team, name, owner.Permitted())
		if err != nil {
			return KeyStatus{}, unknownOutcomeFailure()
		}
		if verdict == outcome.VerdictUnset {
			return last, nil
		}
		last = KeyStatus{Found: true, Outcome: outcomeOf(verdict, record), StatusCode: record.StatusCode, Age: record.Age}
	}
	return last, nil
}
