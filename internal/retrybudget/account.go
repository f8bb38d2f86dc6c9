package retrybudget

import "time"

// Account is what the endpoints of one service have seen of one request, and the leave
// that its next send has. One goroutine owns it.
type Account struct {
	budget  *Budget
	service string
	seen    int
	leave   *Extra
}

// Open begins the account of a request for a service, and counts the request.
func (b *Budget) Open(now time.Time, service string) *Account {
	b.Request(now, service)
	return &Account{budget: b, service: service}
}

// Seen is how many arrivals there were.
func (a *Account) Seen() int { return a.seen }

// MaySend tells whether the next send may go. One beyond the first takes leave, which
// stays until a send has arrived.
func (a *Account) MaySend(now time.Time) bool {
	if a.seen > 0 && a.leave == nil {
		a.leave = a.budget.Reserve(now, a.service)
	}
	return a.seen == 0 || a.leave != nil
}

// Reserve takes leave besides, for a send that may turn out to be free.
func (a *Account) Reserve(now time.Time) *Extra { return a.budget.Reserve(now, a.service) }

// Arrived takes in that an endpoint has seen the send, or may have, and tells whether it
// was one beyond the first.
func (a *Account) Arrived(now time.Time) bool {
	a.seen++
	if a.leave != nil {
		a.leave.Arrived(now)
		a.leave = nil
	}
	return a.seen > 1
}

// ArrivedBy is Arrived for a send with leave of its own. Where the send was the first, that
// leave is for the next one, and may be nil.
func (a *Account) ArrivedBy(now time.Time, leave *Extra) bool {
	a.seen++
	if a.seen == 1 {
		a.leave = leave
		return false
	}
	leave.Arrived(now)
	return true
}

// Left is how many more arrivals the budget allows now.
func (a *Account) Left(now time.Time) float64 { return a.budget.Left(now, a.service) }

// Close gives back leave that no send has used.
func (a *Account) Close() {
	if a.leave != nil {
		a.leave.Return()
		a.leave = nil
	}
}
