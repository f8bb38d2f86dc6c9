package retrybudget

import "time"

// Reservation is the permission for one arrival beyond the first. Until it is settled it
// counts as an arrival of the present, since a send may reach its endpoint at any time from
// its decision to its answer.
type Reservation struct {
	budget  *Budget
	service string
	settled bool // guarded by budget.mu
}

// Commit settles it: by now an endpoint has seen the send, or may have.
func (r *Reservation) Commit(now time.Time) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.settled {
		return
	}
	u := r.budget.usage(now, r.service)
	r.settled = true
	u.reserved--
	u.arrived()
}

// Cancel settles it where no endpoint has seen the send, or the arrival was free. It does
// nothing after Commit.
func (r *Reservation) Cancel() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.settled {
		return
	}
	r.settled = true
	r.budget.services[r.service].reserved--
}
