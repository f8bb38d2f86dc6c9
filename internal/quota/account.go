package quota

import (
	"slices"
	"time"
)

// account is a keeper's share of one team's quota: a token bucket.
type account struct {
	limit  Limit
	level  float64 // below 0 after a request that was larger than what was left
	filled time.Time
	grants []grant // of the last returnWithin, oldest first
	costs  costs
}

// smallShare is the part of the usual cost that a small request has at most.
const smallShare = 0.1

// fitsReserve tells whether a request may be taken though nothing is left.
//
// Load pattern: a team sends more than its quota, most of it in a few large requests.
// Its many small ones would be turned away with them, though all of them together cost
// next to nothing.
func (a *account) fitsReserve(cost, share float64) bool {
	return cost < smallShare*a.costs.usual() && a.level-cost >= -share*a.limit.Reserve
}

// grant is what one request took.
type grant struct {
	id   uint64
	cost float64
	at   time.Time
}

func newAccount(now, began time.Time, limit Limit, share float64) *account {
	earned := limit.rate() * now.Sub(began).Seconds()
	return &account{limit: limit, level: share * min(earned, limit.Burst), filled: now}
}

// fill adds what the time has earned. A newer limit counts from now on.
//
// Failure guarded: an entry that lags behind still tells an older and higher limit. The
// newest that any entry told counts for all.
func (a *account) fill(now time.Time, limit Limit, share float64) {
	a.earn(now, share)
	if limit.Version > a.limit.Version {
		a.limit = limit
		a.level = min(a.level, share*limit.Burst)
	}
}

func (a *account) earn(now time.Time, share float64) {
	passed := max(0, now.Sub(a.filled).Seconds())
	a.level = min(a.level+share*a.limit.rate()*passed, share*a.limit.Burst)
	a.filled = now
}

// has tells whether a request may be taken. One that is larger than what is there goes
// below nothing, as far as the limit allows; one that is larger than that too waits for
// as much as can be saved up.
func (a *account) has(cost, share float64) bool {
	return a.level > 0 && a.level >= a.needed(cost, share)
}

func (a *account) needed(cost, share float64) float64 {
	return min(cost-share*a.limit.Debt, share*a.limit.Burst)
}

// until is the time until a request may be taken.
func (a *account) until(cost, share float64) time.Duration {
	perSecond := share * a.limit.rate()
	if perSecond <= 0 {
		return longestAgain
	}
	missing := max(1, a.needed(cost, share)) - a.level
	return max(0, min(time.Duration(missing/perSecond*float64(time.Second)), longestAgain))
}

func (a *account) take(now time.Time, id uint64, cost float64) {
	a.forgetOld(now)
	a.level -= cost
	a.grants = append(a.grants, grant{id: id, cost: cost, at: now})
}

func (a *account) forgetOld(now time.Time) {
	old := 0
	for old < len(a.grants) && now.Sub(a.grants[old].at) > returnWithin {
		old++
	}
	a.grants = slices.Delete(a.grants, 0, old)
}

func (a *account) giveBack(now time.Time, id uint64) {
	a.forgetOld(now)
	i := slices.IndexFunc(a.grants, func(g grant) bool { return g.id == id })
	if i < 0 {
		return
	}
	a.level += a.grants[i].cost
	a.grants = slices.Delete(a.grants, i, i+1)
}
