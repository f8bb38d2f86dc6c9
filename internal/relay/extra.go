package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// noteExtra writes a line and counts when a send follows one that an endpoint has
// seen. The line is written at once, whatever becomes of the exchange: an operator who
// asks why endpoints got more than the fleet may send needs all of them.
func (l *life) noteExtra(endpoint *dispatch.Endpoint, prefill bool) {
	if l.arrivals == 0 {
		return
	}
	l.router.metrics.extraArrivals.WithLabelValues(l.lastArrival.String()).Inc()
	l.router.options.Part.Info("Extra arrival.", "request", l.x.ID, "service", l.service, "endpoint", endpoint.ID,
		"prefill", prefill, "cause", l.lastArrival, "arrivals", l.arrivals,
		"budget_left", rounded(l.router.options.Budget.Left(time.Now(), l.service)))
}

// hasArrived takes in that an endpoint has seen a send.
func (l *life) hasArrived(outcome dispatch.Outcome) {
	l.arrivals++
	l.lastArrival = outcome
}
