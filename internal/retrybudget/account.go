package retrybudget

import "time"

// Account is what the endpoints of one service have seen of one request, and the
// reservation for its next send. One goroutine owns it.
type Account struct {
	budget  *Budget
	service string
	seen    int
	next    *Reservation // nil without one
}

// Open begins the account of a request for a service, and counts the request.
func (b *Budget) Open(now time.Time, service string) *Account {
	b.Request(now, service)
	return &Account{budget: b, service: service}
}

// Seen is how many arrivals there were.
func (a *Account) Seen() int { return a.seen }

// MaySend tells whether the next send may go. One beyond the first takes a reservation,
// which stays until a send has arrived.
func (a *Account) MaySend(now time.Time) bool {
	if a.seen > 0 && a.next == nil {
		a.next = a.budget.Reserve(now, a.service)
	}
	return a.seen == 0 || a.next != nil
}

// Reserve takes a reservation besides, for a send that may turn out to be free.
func (a *Account) Reserve(now time.Time) *Reservation { return a.budget.Reserve(now, a.service) }

// Arrived takes in that an endpoint has seen the send, or may have, and tells whether it
// was one beyond the first.
func (a *Account) Arrived(now time.Time) bool {
	a.seen++
	if a.next != nil {
		a.next.Commit(now)
		a.next = nil
	}
	return a.seen > 1
}

// ArrivedWith is Arrived for a send with a reservation of its own. Where the send was the
// first, the reservation, which may be nil, is for the next one.
func (a *Account) ArrivedWith(now time.Time, own *Reservation) bool {
	a.seen++
	if a.seen == 1 {
		a.next = own
		return false
	}
	own.Commit(now)
	return true
}

// Left is how many more arrivals the budget allows now.
func (a *Account) Left(now time.Time) float64 { return a.budget.Left(now, a.service) }

// Close gives back a reservation that no send has used.
func (a *Account) Close() {
	if a.next != nil {
		a.next.Cancel()
		a.next = nil
	}
}
