package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var started = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return started.Add(d) }

var limit = Limit{Version: 1, PerSecond: 100, Burst: 300, Debt: 1000}.WithReserve()

// A quota server dies right after it has granted all that had accrued, and another one starts at
// its address. It must not grant the same again.
func TestNewLedgerIsEmpty(t *testing.T) {
	l := NewLedger(started, 1)
	assert.Equal(t, l.Take(started, "a", limit, 1, 10).Grant, uint64(0))
	assert.Equal(t, l.Take(at(time.Second), "a", limit, 1, 0).Remaining, 100.0)
	assert.Equal(t, l.Take(at(time.Hour), "b", limit, 0.5, 0).Remaining, 150.0)
}

// A request may cost more than a server's share: it is taken as long as anything is left, and
// the excess must accrue before the next request is taken.
func TestRequestLargerThanTheShare(t *testing.T) {
	l := NewLedger(started, 1)
	now := at(time.Hour)
	first := l.Take(now, "a", limit, 0.1, 50)
	assert.Assert(t, first.Grant != 0)
	assert.Equal(t, first.Remaining, -20.0)
	second := l.Take(now, "a", limit, 0.1, 1)
	assert.Equal(t, second.Grant, uint64(0))
	assert.Equal(t, second.RetryAfter, 2100*time.Millisecond)
	assert.Assert(t, l.Take(now.Add(second.RetryAfter), "a", limit, 0.1, 1).Grant != 0)
}

// An entry with an outdated configuration sends an older and higher limit than another entry.
func TestNewestLimitCounts(t *testing.T) {
	l := NewLedger(started, 1)
	now := at(time.Hour)
	lower := Limit{Version: 2, PerSecond: 10, Burst: 20}
	assert.Equal(t, l.Take(now, "a", limit, 1, 0).Remaining, 300.0)
	assert.Equal(t, l.Take(now, "a", lower, 1, 0).Remaining, 20.0)
	assert.Equal(t, l.Take(now, "a", limit, 1, 0).Remaining, 20.0)
	assert.Equal(t, l.Take(now.Add(time.Second), "a", limit, 1, 0).Remaining, 20.0)
	assert.Equal(t, l.Take(now.Add(time.Hour), "a", limit, 1, 0).Grant, uint64(0)) // the account was dropped, and the version is known to be outdated
	assert.Equal(t, l.Take(now.Add(time.Hour), "a", lower, 1, 0).Remaining, 20.0)
	assert.Equal(t, l.Take(now, "a", Limit{Version: 3}, 1, 1).RetryAfter, idleAccountTTL)
}

// The cost of a request that didn't run is returned once, and not if it comes too late: it
// could then be used in a window of time other than the one in which it accrued.
func TestReturn(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		team  string
		other uint64 // added to the grant
		times int
		left  float64
	}{
		{"once", time.Second, "a", 0, 1, 300},
		{"twice", 0, "a", 0, 2, 300},
		{"late", maxReturnAge + 1, "a", 0, 1, 200},
		{"of another ledger", 0, "a", 7, 1, 200},
		{"of another team", 0, "b", 0, 1, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewLedger(started, 1)
			still := Limit{Version: 1, PerSecond: 1e-9, Burst: 300, Debt: 1000}
			l.teams["a"] = &account{limit: still, balance: 300, lastRefill: started}
			taken := l.Take(started, "a", still, 1, 100)
			for range test.times {
				l.Return(at(test.after), test.team, taken.Grant+test.other)
			}
			got := l.Take(at(test.after), "a", still, 1, 0).Remaining
			assert.Assert(t, got > test.left-0.001 && got < test.left+0.001, "%v", got)
		})
	}
}

// Guards against memory that grows with every team that ever existed.
func TestIdleAccountsAreForgotten(t *testing.T) {
	l := NewLedger(started, 1)
	for n := range 1000 {
		l.Take(at(time.Hour), string(rune('a'+n)), limit, 1, 1)
	}
	l.Take(at(time.Hour+2*idleAccountTTL), "one", limit, 1, 1)
	l.Take(at(time.Hour+4*idleAccountTTL), "two", limit, 1, 1)
	assert.Equal(t, len(l.teams), 1)
	assert.Equal(t, len(l.teams["two"].grants), 1)
}

// A team sends twice its quota, nearly all of it in large requests. All of its small requests,
// a few percent of the total cost, must be taken; the large ones get the rest.
func TestSmallRequestsOfATeamOverItsQuota(t *testing.T) {
	const small, large = 200.0, 5000.0
	over := Limit{Version: 1, PerSecond: 50_000, Burst: 50_000, Debt: 20_000}.WithReserve()
	l := NewLedger(started, 1)
	smallTaken, smallAsked, used := 0, 0, 0.0
	const length = 60 * time.Second
	for now := time.Duration(0); now < length; now += 50 * time.Millisecond {
		if l.Take(at(now), "a", over, 1, large).Grant != 0 {
			used += large
		}
		if now < 5*time.Second {
			continue // the typical cost is not known yet
		}
		smallAsked++
		if l.Take(at(now), "a", over, 1, small).Grant != 0 {
			smallTaken++
			used += small
		}
	}
	assert.Equal(t, smallTaken, smallAsked)
	assert.Assert(t, used > 0.98*over.PerSecond*length.Seconds(), "%v", used)
	assert.Assert(t, used < over.PerSecond*length.Seconds()+over.Burst+large, "%v", used)
}

// Requests that all cost the same don't use the reserve, since none of them is small.
func TestEqualRequestsHaveNoReserve(t *testing.T) {
	l := NewLedger(started, 1)
	perRequest := Limit{Version: 1, PerSecond: 10, Burst: 10}
	taken := 0
	for range 100 {
		if l.Take(at(time.Hour), "a", perRequest, 1, 1).Grant != 0 {
			taken++
		}
	}
	assert.Equal(t, taken, 10)
}
