package route_test

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/outcome"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Methods of outcome.Ledger.

func (w *fakeFleet) broken(op string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ledger == nil {
		return nil
	}
	return w.ledger(op)
}

var errUndecided = errors.New("no majority after the proposal")

func (w *fakeFleet) Claim(_ context.Context, c outcome.Claim) (outcome.Verdict, outcome.Record, error) {
	if err := w.broken("claim"); errors.Is(err, errUndecided) {
		return outcome.VerdictUnknown, outcome.Record{}, nil
	} else if err != nil {
		return 0, outcome.Record{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, ok := w.records[c.Key]; ok {
		v, record := r.read()
		return v, record, nil
	}
	w.records[c.Key] = &ledgerRecord{
		Record: outcome.Record{Outcome: pb.OutcomeKind_OUTCOME_KIND_IN_FLIGHT, Attempt: c.Attempt}, decided: time.Now(),
	}
	if w.onClaim != nil {
		w.onClaim()
	}
	return outcome.VerdictRun, w.records[c.Key].Record, nil
}

func (r *ledgerRecord) read() (outcome.Verdict, outcome.Record) {
	record := r.Record
	record.Age = time.Since(r.decided)
	switch {
	case record.Outcome == pb.OutcomeKind_OUTCOME_KIND_IN_FLIGHT:
		return outcome.VerdictInFlight, record
	case record.Attempt == "":
		return outcome.VerdictNotRun, outcome.Record{}
	}
	return outcome.VerdictRecorded, record
}

func (w *fakeFleet) Finish(_ context.Context, c outcome.Claim, k pb.OutcomeKind, status int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[c.Key]
	r.Outcome, r.StatusCode, r.decided = k, status, time.Now()
	return nil
}

func (w *fakeFleet) Lookup(_ context.Context, _ fleet.Team, k outcome.Key, _ fleet.ZoneSet) (outcome.Verdict, outcome.Record, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r, ok := w.records[k]
	if !ok {
		return outcome.VerdictUnset, outcome.Record{}, nil
	}
	v, record := r.read()
	return v, record, nil
}

func (w *fakeFleet) Forbid(_ context.Context, c outcome.Claim) (outcome.Verdict, outcome.Record, error) {
	if err := w.broken("forbid"); err != nil {
		return 0, outcome.Record{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.records[c.Key]; !ok {
		w.records[c.Key] = &ledgerRecord{Record: outcome.Record{Outcome: pb.OutcomeKind_OUTCOME_KIND_NOT_RUN}, decided: time.Now()}
	}
	v, record := w.records[c.Key].read()
	return v, record, nil
}
