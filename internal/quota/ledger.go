package quota

import "time"

// The figures of a Ledger.
const (
	// returnWithin is how old a grant may be that is given back: who waits for room
	// longer is past its target. What comes back later could be spent in a window of
	// time in which it was not earned.
	returnWithin = time.Second
	// keptIdle is how long a team's account is kept that nobody uses. A full one
	// holds what a new one would.
	keptIdle = time.Minute
	// longestAgain bounds when something may be left again, as of a quota of nothing.
	longestAgain = time.Minute
	// laggard is when an entry may ask again that knows an older configuration than
	// others: it gets the newest one within this time, or is cut off.
	laggard = 100 * time.Millisecond
)

// Ledger is one keeper's share of all teams' quotas. It is not safe for concurrent use.
type Ledger struct {
	began time.Time
	// next names the next grant. It begins at random, so that a grant of an earlier
	// keeper at the same address is not taken for one of this.
	next  uint64
	teams map[string]*account
	// newest is the newest version of any limit that was told.
	newest int64
	tidy   time.Time // when idle accounts were last forgotten
}

// NewLedger makes a Ledger that has saved up nothing: what the keeper before it gave
// out just now is not known.
func NewLedger(now time.Time, firstGrant uint64) *Ledger {
	return &Ledger{began: now, next: max(1, firstGrant), teams: map[string]*account{}, tidy: now}
}

// Taken is the answer to a request.
type Taken struct {
	Grant uint64        // 0: nothing was taken
	Again time.Duration // when there may be some again, where nothing was taken
	Left  float64
}

// Take takes a request's cost from a team's share, which is a part from 0 to 1 of its
// limit. A request can be larger than the share; a small one may also go into the
// reserve.
func (l *Ledger) Take(now time.Time, team string, limit Limit, share, cost float64) Taken {
	l.forgetIdle(now)
	l.newest = max(l.newest, limit.Version)
	a := l.teams[team]
	if a == nil && limit.Version < l.newest {
		return Taken{Again: laggard} // the limit may have been lowered since
	}
	if a == nil {
		a = newAccount(now, l.began, limit, share)
		l.teams[team] = a
	}
	a.fill(now, limit, share)
	a.costs.note(cost)
	if !a.has(cost, share) && !a.fitsReserve(cost, share) {
		return Taken{Again: a.until(cost, share), Left: a.level}
	}
	grant := l.next
	l.next++
	a.take(now, grant, cost)
	return Taken{Grant: grant, Left: a.level}
}

// Return gives back what a grant took; one that is unknown, or too old, changes
// nothing.
func (l *Ledger) Return(now time.Time, team string, grant uint64) {
	if a := l.teams[team]; a != nil {
		a.giveBack(now, grant)
	}
}

func (l *Ledger) forgetIdle(now time.Time) {
	if now.Sub(l.tidy) < keptIdle {
		return
	}
	l.tidy = now
	for team, a := range l.teams {
		if now.Sub(a.filled) > keptIdle && a.level >= 0 {
			delete(l.teams, team)
		}
	}
}
