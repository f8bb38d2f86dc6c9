package quota

import (
	"slices"
	"time"
)

// account is a quota server's share of the quota of one team: a token bucket.
type account struct {
	limit      Limit
	balance    float64 // negative after a request that cost more than was left
	lastRefill time.Time
	grants     []grant // of the last maxReturnAge, oldest first
	costs      costs
}

// smallCostFraction is the fraction of the typical cost up to which a request is small.
const smallCostFraction = 0.1

// fitsReserve reports whether a request is small and may be taken from the reserve although
// nothing is left.
//
// Load pattern: a team sends more than its quota, most of it in a few large requests. Its
// many small requests would be rejected as well, although all of them together cost very
// little.
func (a *account) fitsReserve(cost, share float64) bool {
	return cost < smallCostFraction*a.costs.typical() && a.balance-cost >= -share*a.limit.Reserve
}

// grant is what one request has taken.
type grant struct {
	id   uint64
	cost float64
	at   time.Time
}

func newAccount(now, ledgerStart time.Time, limit Limit, share float64) *account {
	accrued := limit.rate() * now.Sub(ledgerStart).Seconds()
	return &account{limit: limit, balance: share * min(accrued, limit.Burst), lastRefill: now}
}

// refill adds what has accrued since the last refill. A newer limit applies from now on.
//
// Guards against an entry with an outdated configuration, which sends an older and higher
// limit: the latest version that any entry has sent applies to all.
func (a *account) refill(now time.Time, limit Limit, share float64) {
	a.accrue(now, share)
	if limit.Version > a.limit.Version {
		a.limit = limit
		a.balance = min(a.balance, share*limit.Burst)
	}
}

// accrue adds what has accrued since the last refill, up to the burst.
func (a *account) accrue(now time.Time, share float64) {
	seconds := max(0, now.Sub(a.lastRefill).Seconds())
	a.balance = min(a.balance+share*a.limit.rate()*seconds, share*a.limit.Burst)
	a.lastRefill = now
}

// canTake reports whether a request may be taken. One that costs more than the balance makes
// it negative, as far as the debt of the limit allows; one that is too large even for that
// has to wait for a full burst.
func (a *account) canTake(cost, share float64) bool {
	return a.balance > 0 && a.balance >= a.requiredBalance(cost, share)
}

// requiredBalance returns the balance that a request of a cost needs.
func (a *account) requiredBalance(cost, share float64) float64 {
	return min(cost-share*a.limit.Debt, share*a.limit.Burst)
}

// retryAfter returns the time until a request of a cost can be taken.
func (a *account) retryAfter(cost, share float64) time.Duration {
	perSecond := share * a.limit.rate()
	if perSecond <= 0 {
		return maxRetryAfter
	}
	missing := max(1, a.requiredBalance(cost, share)) - a.balance
	return max(0, min(time.Duration(missing/perSecond*float64(time.Second)), maxRetryAfter))
}

// take subtracts a cost and remembers the grant.
func (a *account) take(now time.Time, id uint64, cost float64) {
	a.dropOldGrants(now)
	a.balance -= cost
	a.grants = append(a.grants, grant{id: id, cost: cost, at: now})
}

// dropOldGrants drops the grants that can no longer be returned.
func (a *account) dropOldGrants(now time.Time) {
	old := 0
	for old < len(a.grants) && now.Sub(a.grants[old].at) > maxReturnAge {
		old++
	}
	a.grants = slices.Delete(a.grants, 0, old)
}

// refund returns the cost of a grant to the balance; an unknown or old grant changes nothing.
func (a *account) refund(now time.Time, id uint64) {
	a.dropOldGrants(now)
	i := slices.IndexFunc(a.grants, func(g grant) bool { return g.id == id })
	if i < 0 {
		return
	}
	a.balance += a.grants[i].cost
	a.grants = slices.Delete(a.grants, i, i+1)
}
