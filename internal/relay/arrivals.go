package relay

import (
	"context"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// reserveRetry reports whether the fleet's retry budget allows the next attempt, and
// reserves it, by the entry's own part of the budget or else from the pool.
func (ex *activeExchange) reserveRetry(ctx context.Context) bool {
	now := time.Now()
	if ex.budgetAccount.MaySend(now) {
		return true
	}
	if pool := ex.router.options.RetryPool; pool != nil && pool.Take(ctx, ex.service) {
		ex.budgetAccount.AddPoolGrant(now)
		return true
	}
	ex.router.metrics.retriesDenied.Inc()
	ex.logDecision("Retry budget spent.", "cause", ex.lastAttemptOutcome, "budget_left", ex.budgetLeft())
	return false
}

// reservePrefillBudget reports whether a prefill may be sent. An accepted prefill is free;
// a rejected one makes the attempt that follows an extra arrival. That arrival is reserved
// beforehand where the prefill endpoint has rejected requests lately, or where the prefill
// itself may be an extra arrival.
func (ex *activeExchange) reservePrefillBudget(endpoint *dispatch.Endpoint) (reservation *retrybudget.Reservation, allowed bool) {
	now := time.Now()
	if ex.budgetAccount.Arrivals() == 0 && !ex.router.options.Stats.RefusedRecently(now, endpoint) {
		return nil, true
	}
	reservation = ex.budgetAccount.Reserve(now)
	if reservation == nil {
		ex.router.metrics.retriesDenied.Inc()
		ex.logDecision("No retry budget for a prefill that may be rejected.", "reader", endpoint.ID, "budget_left", ex.budgetLeft())
	}
	return reservation, reservation != nil
}

// settlePrefillBudget settles the budget reservation of a prefill; nil without one.
func (ex *activeExchange) settlePrefillBudget(reservation *retrybudget.Reservation, at *dispatch.Endpoint, outcome dispatch.Outcome, arrived bool) {
	switch {
	case arrived && ex.budgetAccount.RecordArrivalWith(time.Now(), reservation):
		ex.countExtraArrival(at)
	case !arrived && reservation != nil:
		reservation.Cancel()
	}
	ex.lastAttemptOutcome = outcome
}

// countArrival records that an endpoint has received an attempt, or may have.
func (ex *activeExchange) countArrival(at *dispatch.Endpoint) {
	if ex.budgetAccount.RecordArrival(time.Now()) {
		ex.countExtraArrival(at)
	}
}

// countExtraArrival counts and logs an arrival beyond the first, whatever becomes of the
// exchange: an operator needs all of them to find out why endpoints get more requests than
// the budget allows.
func (ex *activeExchange) countExtraArrival(at *dispatch.Endpoint) {
	ex.router.metrics.extraArrivals.WithLabelValues(ex.lastAttemptOutcome.String()).Inc()
	ex.router.options.Part.Info("Extra arrival.", "request", ex.exchange.ID, "service", ex.service, "endpoint", at.ID,
		"cause", ex.lastAttemptOutcome, "arrivals", ex.budgetAccount.Arrivals(), "budget_left", ex.budgetLeft(),
		"share", rounded(ex.router.options.Budget.SlackShare(time.Now())))
}

func (ex *activeExchange) budgetLeft() float64 {
	return rounded(ex.budgetAccount.Remaining(time.Now()))
}
