package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// Prefixes of the names of the pools whose arrivals are bounded. The name of the
// model or service follows.
const (
	prefillPool = "prefill/"
	decodePool  = "decode/"
	servicePool = "service/"
)

// arrivals counts how often a request arrived at the endpoints of one pool.
type arrivals struct {
	router  *Router
	request fleet.RequestID
	pool    string
	account *retrybudget.Account
}

func (r *Router) openArrivals(request fleet.RequestID, pool string) *arrivals {
	return &arrivals{router: r, request: request, pool: pool, account: r.opts.Budget.OpenAccount(time.Now(), pool)}
}

// reserveSend reports whether the fleet's retry budget allows the next send, and
// reserves it.
func (a *arrivals) reserveSend() bool {
	if a.account.MaySend(time.Now()) {
		return true
	}
	a.router.metrics.extraRefused.Inc()
	a.router.opts.Logger.Info("Retry budget spent.", "request", a.request, "pool", a.pool, "budget_left", a.account.Remaining(time.Now()))
	return false
}

// recordSend records the end of a send to the endpoint at; err is nil if it was
// answered. A send counts as an arrival unless err proves that no byte was sent.
func (a *arrivals) recordSend(at fleet.EndpointID, err error) {
	a.router.recordCooldownFromError(err)
	if provesNotSent(err) || !a.account.RecordArrival(time.Now()) {
		return
	}
	a.router.metrics.extraArrivals.Inc()
	a.router.opts.Logger.Info("Extra arrival.", "request", a.request, "pool", a.pool, "endpoint", at,
		"arrivals", a.account.Arrivals(), "budget_left", a.account.Remaining(time.Now()), "share", a.router.opts.Budget.SlackShare(time.Now()))
}

// overBudgetFailure returns the failure of an attempt that the fleet's retry
// budget doesn't allow.
func overBudgetFailure() *attemptFailure { return &attemptFailure{cause: causeOverBudget} }
