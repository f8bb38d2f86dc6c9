package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// maySend tells whether the budget allows the next send, and takes leave for it.
func (l *life) maySend() bool {
	if l.account.MaySend(time.Now()) {
		return true
	}
	l.router.metrics.extraRefused.Inc()
	l.log("No budget to send again.", "cause", l.lastSeen, "budget_left", l.budgetLeft())
	return false
}

// leaveToRead takes leave for what follows a prefill that is turned away: the exchange
// has then been seen once more than it would have been without. nil where the exchange is
// not read at a reader, or the endpoint that generates the answer has to read the prompt.
func (l *life) leaveToRead(where dispatch.Place) *retrybudget.Extra {
	if where != dispatch.PlaceReader {
		return nil
	}
	leave := l.account.Reserve(time.Now())
	if leave == nil {
		l.router.metrics.extraRefused.Inc()
		l.log("No budget for a prefill that may be turned away.", "budget_left", l.budgetLeft())
	}
	return leave
}

// settleReading settles the leave of a prefill.
func (l *life) settleReading(leave *retrybudget.Extra, at *dispatch.Endpoint, outcome dispatch.Outcome, arrived bool) {
	if !arrived {
		leave.Return()
	} else if l.account.ArrivedBy(time.Now(), leave) {
		l.noteExtra(at)
	}
	l.lastSeen = outcome
}

// hasArrived takes in that an endpoint has seen a send, or may have.
func (l *life) hasArrived(at *dispatch.Endpoint) {
	if l.account.Arrived(time.Now()) {
		l.noteExtra(at)
	}
}

// noteExtra counts an arrival beyond the first and writes a line of it, whatever becomes
// of the exchange: an operator who asks why endpoints get more than the fleet may send
// needs all of them.
func (l *life) noteExtra(at *dispatch.Endpoint) {
	l.router.metrics.extraArrivals.WithLabelValues(l.lastSeen.String()).Inc()
	l.router.options.Part.Info("Extra arrival.", "request", l.x.ID, "service", l.service, "endpoint", at.ID,
		"cause", l.lastSeen, "arrivals", l.account.Seen(), "budget_left", l.budgetLeft(),
		"share", rounded(l.router.options.Budget.Share(time.Now())))
}

func (l *life) budgetLeft() float64 { return rounded(l.account.Left(time.Now())) }
