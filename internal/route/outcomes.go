package route

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
)

// Known is what the ledger knows of a caller's key.
type Known struct {
	Found      bool
	Outcome    callerapi.Outcome
	StatusCode int
	Age        time.Duration
}

// Lookup reads what became of a team's key: of its newest generation.
func (r *Router) Lookup(ctx context.Context, team fleet.Team, key string) (Known, *Failure) {
	leave, failure := r.enter(team)
	if failure != nil {
		return Known{}, unsureOfKey(key, failure)
	}
	defer leave()
	owner, ok := r.opts.Source.State().Tree.Teams[team]
	if !ok {
		return Known{}, notRun(callerapi.CodeUnauthorised, "the team is not in the settings", 0)
	}
	ctx, cancel := context.WithTimeout(ctx, r.bounds.LedgerTime)
	defer cancel()
	var last Known
	for generation := range r.bounds.Generations {
		name := r.hash.recordKey(team, key, generation)
		verdict, record, err := r.opts.Ledger.Lookup(ctx, team, name, owner.Permitted())
		if err != nil {
			return Known{}, unknownFate()
		}
		if verdict == outcome.VerdictUnset {
			return last, nil
		}
		last = Known{Found: true, Outcome: outcomeOf(verdict, record), StatusCode: record.StatusCode, Age: record.Age}
	}
	return last, nil
}
