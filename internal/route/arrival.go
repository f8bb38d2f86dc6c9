package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// The pools whose arrivals are bounded, each with its model's or service's name.
const (
	prefillPool = "prefill/"
	decodePool  = "decode/"
	servicePool = "service/"
)

// arrivals are what the endpoints of one pool have seen of a request.
type arrivals struct {
	router  *Router
	request fleet.RequestID
	pool    string
	account *retrybudget.Account
}

func (r *Router) openArrivals(request fleet.RequestID, pool string) *arrivals {
	return &arrivals{router: r, request: request, pool: pool, account: r.opts.Budget.Open(time.Now(), pool)}
}

// maySend tells whether the fleet's budget for retries allows the next send, and reserves
// it.
func (a *arrivals) maySend() bool {
	if a.account.MaySend(time.Now()) {
		return true
	}
	a.router.metrics.extraRefused.Inc()
	a.router.opts.Part.Info("No budget to send again.", "request", a.request, "pool", a.pool, "budget_left", a.account.Left(time.Now()))
	return false
}

// sent takes in that a send has ended with err, nil for an answer. Only one of which no
// byte left is none.
func (a *arrivals) sent(at fleet.EndpointID, err error) {
	a.router.hearRefusal(err)
	if neverSent(err) || !a.account.Arrived(time.Now()) {
		return
	}
	a.router.metrics.extraArrivals.Inc()
	a.router.opts.Part.Info("Extra arrival.", "request", a.request, "pool", a.pool, "endpoint", at,
		"arrivals", a.account.Seen(), "budget_left", a.account.Left(time.Now()), "share", a.router.opts.Budget.Share(time.Now()))
}

// overBudget is how a send ends that the fleet may not make.
func overBudget() *setback { return &setback{cause: causeOverBudget} }
