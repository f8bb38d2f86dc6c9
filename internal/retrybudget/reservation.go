package retrybudget

import "time"

// Reservation is the permission for one extra arrival. Until it is settled it counts as an
// arrival at the present moment, since the attempt may reach its endpoint at any time
// between the decision to send it and its answer.
type Reservation struct {
	budget  *Budget
	service string
	settled bool // guarded by budget.mu
}

// Commit settles the reservation as used: an endpoint has received the attempt, or may have.
func (r *Reservation) Commit(now time.Time) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.settled {
		return
	}
	u := r.budget.usageAt(now, r.service)
	r.settled = true
	u.reserved--
	u.addExtraArrival()
}

// Cancel settles the reservation as unused: no endpoint has received the attempt, or its
// arrival doesn't count. It does nothing after Commit.
func (r *Reservation) Cancel() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.settled {
		return
	}
	r.settled = true
	r.budget.services[r.service].reserved--
}
