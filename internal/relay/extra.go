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

// leaveToRead tells whether a prefill may be sent. A prefill that is accepted is free; one
// that is turned away makes the send that follows an arrival beyond the first. Leave for
// that is taken before, where the reader has turned others away lately or the prefill
// itself may be an arrival beyond the first. Without it, the endpoint that generates the
// answer reads the prompt.
func (l *life) leaveToRead(reader *dispatch.Endpoint, where dispatch.Place) (leave *retrybudget.Extra, may bool) {
	now := time.Now()
	if where != dispatch.PlaceReader {
		return nil, false
	}
	if l.account.Seen() == 0 && !l.router.options.Book.Refuses(now, reader) {
		return nil, true
	}
	leave = l.account.Reserve(now)
	if leave == nil {
		l.router.metrics.extraRefused.Inc()
		l.log("No budget for a prefill that may be turned away.", "reader", reader.ID, "budget_left", l.budgetLeft())
	}
	return leave, leave != nil
}

// settleReading settles the leave of a prefill.
func (l *life) settleReading(leave *retrybudget.Extra, at *dispatch.Endpoint, outcome dispatch.Outcome, arrived bool) {
	switch {
	case arrived && l.account.ArrivedBy(time.Now(), leave):
		l.noteExtra(at)
	case !arrived && leave != nil:
		leave.Return()
	}
	l.lastSeen = outcome
}

// whyUnsent tells why there is no endpoint to send to.
func (l *life) whyUnsent() string {
	if !l.account.MaySend(time.Now()) {
		return "the fleet may not send it again"
	}
	return "no endpoint can take it"
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
