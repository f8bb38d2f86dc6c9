package quota

import "time"

// Limits of a Ledger.
const (
	// maxReturnAge is the maximum age of a grant that is returned: a request that waits longer
	// for capacity has missed its target. Quota returned later could be used in a window of
	// time other than the one in which it accrued.
	maxReturnAge = time.Second
	// idleAccountTTL is how long the account of an idle team is kept. A full account holds
	// what a new one would.
	idleAccountTTL = time.Minute
	// maxRetryAfter limits the time after which to ask again, such as for a quota of zero.
	maxRetryAfter = time.Minute
	// staleEntryRetryAfter is when an entry may ask again whose configuration is older than
	// that of others: it receives the latest one within this time, or has lost contact.
	staleEntryRetryAfter = 100 * time.Millisecond
)

// Ledger is one quota server's share of the quotas of all teams. It is not safe for concurrent
// use.
type Ledger struct {
	startedAt time.Time
	// nextGrant is the ID of the next grant. It starts at random, so that a grant of an earlier
	// server at the same address is not mistaken for one of this server.
	nextGrant uint64
	teams     map[string]*account
	// latestVersion is the latest version of any limit that an entry has sent.
	latestVersion int64
	lastCleanup   time.Time // when idle accounts were last dropped
}

// NewLedger returns a Ledger that has accrued nothing, since it isn't known what the previous
// server has just granted.
func NewLedger(now time.Time, firstGrant uint64) *Ledger {
	return &Ledger{startedAt: now, nextGrant: max(1, firstGrant), teams: map[string]*account{}, lastCleanup: now}
}

// TakeResult is the result of Ledger.Take.
type TakeResult struct {
	Grant      uint64        // ID of the grant; 0 if nothing was taken
	RetryAfter time.Duration // if nothing was taken, the time until something may be left
	Remaining  float64       // balance after the request; may be negative
}

// Take takes the cost of a request from a team's share of its limit; share is from 0 to 1. A
// request may cost more than the share holds; a small one may also use the reserve.
func (l *Ledger) Take(now time.Time, team string, limit Limit, share, cost float64) TakeResult {
	l.dropIdleAccounts(now)
	l.latestVersion = max(l.latestVersion, limit.Version)
	a := l.teams[team]
	if a == nil && limit.Version < l.latestVersion {
		return TakeResult{RetryAfter: staleEntryRetryAfter} // the limit may have been lowered since
	}
	if a == nil {
		a = newAccount(now, l.startedAt, limit, share)
		l.teams[team] = a
	}
	a.refill(now, limit, share)
	a.costs.add(cost)
	if !a.canTake(cost, share) && !a.fitsReserve(cost, share) {
		return TakeResult{RetryAfter: a.retryAfter(cost, share), Remaining: a.balance}
	}
	grant := l.nextGrant
	l.nextGrant++
	a.take(now, grant, cost)
	return TakeResult{Grant: grant, Remaining: a.balance}
}

// Return returns what a grant has taken. An unknown grant, or one that is too old, changes
// nothing.
func (l *Ledger) Return(now time.Time, team string, grant uint64) {
	if a := l.teams[team]; a != nil {
		a.refund(now, grant)
	}
}

func (l *Ledger) dropIdleAccounts(now time.Time) {
	if now.Sub(l.lastCleanup) < idleAccountTTL {
		return
	}
	l.lastCleanup = now
	for team, a := range l.teams {
		if now.Sub(a.lastRefill) > idleAccountTTL && a.balance >= 0 {
			delete(l.teams, team)
		}
	}
}
