package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// reserveExtra takes leave for the next send to be one more arrival, and tells whether
// there is any. Leave that a send didn't use is kept for the next one.
func (l *life) reserveExtra() bool {
	if l.extra == nil {
		l.extra = l.router.options.Budget.Reserve(time.Now(), l.service)
	}
	if l.extra == nil {
		l.router.metrics.extraRefused.Inc()
		l.log("No budget to send again.", "cause", l.lastArrival, "budget_left", l.budgetLeft())
	}
	return l.extra != nil
}

// leaveToRead takes leave for what follows a prefill that is turned away: the exchange
// has then been seen once more than it would have been without. nil where the exchange is
// not read at a reader, or the endpoint that generates the answer has to read the prompt.
func (l *life) leaveToRead(where dispatch.Place) *retrybudget.Extra {
	if where != dispatch.PlaceReader {
		return nil
	}
	leave := l.router.options.Budget.Reserve(time.Now(), l.service)
	if leave == nil {
		l.router.metrics.extraRefused.Inc()
		l.log("No budget for a prefill that may be turned away.", "budget_left", l.budgetLeft())
	}
	return leave
}

// settleReading settles the leave of a prefill. The first arrival of an exchange needs
// none: the leave is then for the send that follows.
func (l *life) settleReading(leave *retrybudget.Extra, at *dispatch.Endpoint, outcome dispatch.Outcome, arrived bool) {
	switch {
	case !arrived:
		leave.Return()
	case l.arrivals == 0:
		l.hasArrived(at)
		l.extra = leave
	default:
		leave.Arrived(time.Now())
		l.countExtra(at)
	}
	l.lastArrival = outcome
}

// returnExtra gives back leave that no send has used.
func (l *life) returnExtra() {
	if l.extra != nil {
		l.extra.Return()
		l.extra = nil
	}
}

// hasArrived takes in that an endpoint has seen a send, or may have.
func (l *life) hasArrived(at *dispatch.Endpoint) {
	if l.extra != nil {
		l.extra.Arrived(time.Now())
		l.extra = nil
	}
	if l.arrivals == 0 {
		l.arrivals = 1
		return
	}
	l.countExtra(at)
}

// countExtra counts an arrival beyond the first and writes a line of it, whatever becomes
// of the exchange: an operator who asks why endpoints get more than the fleet may send
// needs all of them.
func (l *life) countExtra(at *dispatch.Endpoint) {
	l.arrivals++
	l.router.metrics.extraArrivals.WithLabelValues(l.lastArrival.String()).Inc()
	l.router.options.Part.Info("Extra arrival.", "request", l.x.ID, "service", l.service, "endpoint", at.ID,
		"cause", l.lastArrival, "arrivals", l.arrivals, "budget_left", l.budgetLeft(),
		"share", l.router.options.Budget.Share(time.Now()))
}

func (l *life) budgetLeft() float64 {
	return rounded(l.router.options.Budget.Left(time.Now(), l.service))
}
