package relay

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// maySend tells whether the fleet's budget for retries allows the next send, and reserves
// it.
func (l *life) maySend() bool {
	if l.account.MaySend(time.Now()) {
		return true
	}
	l.router.metrics.extraRefused.Inc()
	l.log("No budget to send again.", "cause", l.lastSeen, "budget_left", l.budgetLeft())
	return false
}

// reservePrefill tells whether a prefill may be sent. One that is accepted is free; one
// that is turned away makes the send that follows an arrival beyond the first. That is
// reserved before, where the reader has turned others away lately or the prefill itself
// may be an arrival beyond the first.
func (l *life) reservePrefill(reader *dispatch.Endpoint) (reservation *retrybudget.Reservation, may bool) {
	now := time.Now()
	if l.account.Seen() == 0 && !l.router.options.Book.Refuses(now, reader) {
		return nil, true
	}
	reservation = l.account.Reserve(now)
	if reservation == nil {
		l.router.metrics.extraRefused.Inc()
		l.log("No budget for a prefill that may be turned away.", "reader", reader.ID, "budget_left", l.budgetLeft())
	}
	return reservation, reservation != nil
}

// settlePrefill settles the reservation of a prefill, nil without one.
func (l *life) settlePrefill(reservation *retrybudget.Reservation, at *dispatch.Endpoint, outcome dispatch.Outcome, arrived bool) {
	switch {
	case arrived && l.account.ArrivedWith(time.Now(), reservation):
		l.noteExtra(at)
	case !arrived && reservation != nil:
		reservation.Cancel()
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

// whyUnsent tells why there is no endpoint to send to.
func (l *life) whyUnsent() string {
	if l.suspicion.quarantinedFor > 0 {
		return "it crashes the endpoints that run it"
	}
	if !l.account.MaySend(time.Now()) {
		return "the fleet may not send it again"
	}
	if l.blockedFor() > 0 {
		return "its endpoints take no more for now"
	}
	return "no endpoint can take it"
}
