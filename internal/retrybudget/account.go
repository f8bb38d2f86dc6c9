package retrybudget

import "time"

// Account counts the arrivals of one request at the endpoints of one service, and holds the
// reservation for its next attempt. It is not safe for concurrent use.
type Account struct {
	budget      *Budget
	service     string
	arrivals    int
	reservation *Reservation // for the next attempt; nil if none
	// grantedUntil is until when the next attempt may be sent by a grant of the pool, which
	// has counted it already; zero if there is none.
	grantedUntil time.Time
}

// OpenAccount opens the account of a request for a service, and counts the request.
func (b *Budget) OpenAccount(now time.Time, service string) *Account {
	b.RecordRequest(now, service)
	return &Account{budget: b, service: service}
}

// Arrivals returns the number of arrivals so far.
func (a *Account) Arrivals() int { return a.arrivals }

// MaySend reports whether the next attempt may be sent. For an extra arrival it takes a
// reservation, which is kept until an attempt has arrived or the account is closed.
func (a *Account) MaySend(now time.Time) bool {
	if a.arrivals == 0 || a.reservation != nil || now.Before(a.grantedUntil) {
		return true
	}
	a.reservation = a.budget.Reserve(now, a.service)
	return a.reservation != nil
}

// AddPoolGrant records a grant of the pool for the next attempt.
func (a *Account) AddPoolGrant(now time.Time) { a.grantedUntil = now.Add(PoolGrantTTL) }

// Reserve takes a separate reservation for an attempt that may turn out not to count. It
// returns nil if the budget is used up.
func (a *Account) Reserve(now time.Time) *Reservation { return a.budget.Reserve(now, a.service) }

// RecordArrival records that an endpoint has received an attempt, or may have, and reports whether
// it was an extra arrival.
func (a *Account) RecordArrival(now time.Time) bool {
	a.arrivals++
	a.grantedUntil = time.Time{}
	if a.reservation != nil {
		a.reservation.Commit(now)
		a.reservation = nil
	}
	return a.arrivals > 1
}

// RecordArrivalWith is RecordArrival for an attempt with a reservation of its own, which may be
// nil. If the attempt was the first arrival, the reservation is kept for the next attempt.
func (a *Account) RecordArrivalWith(now time.Time, own *Reservation) bool {
	a.arrivals++
	if a.arrivals == 1 {
		a.reservation = own
		return false
	}
	own.Commit(now)
	return true
}

// Remaining returns how many more extra arrivals the budget allows now.
func (a *Account) Remaining(now time.Time) float64 { return a.budget.Remaining(now, a.service) }

// Close cancels a reservation that no attempt has used.
func (a *Account) Close() {
	if a.reservation != nil {
		a.reservation.Cancel()
		a.reservation = nil
	}
}
