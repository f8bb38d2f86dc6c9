package allocation

import "time"

// desk is the account of one service and who waits for a place.
type desk struct {
	account *Account
	tidied  time.Time // when what is gone was last forgotten
	waiting []*waiter // oldest first
}

// waiter is a question that is held.
type waiter struct {
	ask   Ask
	grant chan Grant // holds one
}

// serveWaiting gives places to those who wait, the oldest first.
func (d *desk) serveWaiting(now time.Time, endpoints []Endpoint) {
	rest := d.waiting[:0]
	for _, w := range d.waiting {
		if grant := d.account.Allot(now, endpoints, w.ask); grant.Endpoint != "" {
			w.grant <- grant
			continue
		}
		rest = append(rest, w)
	}
	clear(d.waiting[len(rest):])
	d.waiting = rest
}
