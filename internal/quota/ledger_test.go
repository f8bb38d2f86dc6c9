package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var started = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return started.Add(d) }

var limit = Limit{Version: 1, PerSecond: 100, Burst: 300, Debt: 1000}.WithReserve()

// A keeper dies right after it gave out all that was saved up, and another one begins
// at its address. It must not give the same again.
func TestNewLedgerHasSavedUpNothing(t *testing.T) {
	l := NewLedger(started, 1)
	assert.Equal(t, l.Take(started, "a", limit, 1, 10).Grant, uint64(0))
	assert.Equal(t, l.Take(at(time.Second), "a", limit, 1, 0).Left, 100.0)
	assert.Equal(t, l.Take(at(time.Hour), "b", limit, 0.5, 0).Left, 150.0)
}

// A request can be larger than a keeper's share: it is taken as long as anything is
// left, and whatever it took too much is earned before the next one.
func TestRequestLargerThanTheShare(t *testing.T) {
	l := NewLedger(started, 1)
	now := at(time.Hour)
	first := l.Take(now, "a", limit, 0.1, 50)
	assert.Assert(t, first.Grant != 0)
	assert.Equal(t, first.Left, -20.0)
	second := l.Take(now, "a", limit, 0.1, 1)
	assert.Equal(t, second.Grant, uint64(0))
	assert.Equal(t, second.Again, 2100*time.Millisecond)
	assert.Assert(t, l.Take(now.Add(second.Again), "a", limit, 0.1, 1).Grant != 0)
}

// An entry that lags behind tells an older and higher limit than another one did.
func TestNewestLimitCounts(t *testing.T) {
	l := NewLedger(started, 1)
	now := at(time.Hour)
	lower := Limit{Version: 2, PerSecond: 10, Burst: 20}
	assert.Equal(t, l.Take(now, "a", limit, 1, 0).Left, 300.0)
	assert.Equal(t, l.Take(now, "a", lower, 1, 0).Left, 20.0)
	assert.Equal(t, l.Take(now, "a", limit, 1, 0).Left, 20.0)
	assert.Equal(t, l.Take(now.Add(time.Second), "a", limit, 1, 0).Left, 20.0)
	assert.Equal(t, l.Take(now.Add(time.Hour), "a", limit, 1, 0).Grant, uint64(0)) // forgotten, and known to be older
	assert.Equal(t, l.Take(now.Add(time.Hour), "a", lower, 1, 0).Left, 20.0)
	assert.Equal(t, l.Take(now, "a", Limit{Version: 3}, 1, 1).Again, keptIdle)
}

// What didn't run comes back once, and not when it comes too late: it could be spent
// in a window of time in which it was not earned.
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
		{"late", returnWithin + 1, "a", 0, 1, 200},
		{"of another ledger", 0, "a", 7, 1, 200},
		{"of another team", 0, "b", 0, 1, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := NewLedger(started, 1)
			still := Limit{Version: 1, PerSecond: 1e-9, Burst: 300, Debt: 1000}
			l.teams["a"] = &account{limit: still, level: 300, filled: started}
			taken := l.Take(started, "a", still, 1, 100)
			for range test.times {
				l.Return(at(test.after), test.team, taken.Grant+test.other)
			}
			got := l.Take(at(test.after), "a", still, 1, 0).Left
			assert.Assert(t, got > test.left-0.001 && got < test.left+0.001, "%v", got)
		})
	}
}

// Thousands of teams come and go.
func TestIdleAccountsAreForgotten(t *testing.T) {
	l := NewLedger(started, 1)
	for n := range 1000 {
		l.Take(at(time.Hour), string(rune('a'+n)), limit, 1, 1)
	}
	l.Take(at(time.Hour+2*keptIdle), "one", limit, 1, 1)
	l.Take(at(time.Hour+4*keptIdle), "two", limit, 1, 1)
	assert.Equal(t, len(l.teams), 1)
	assert.Equal(t, len(l.teams["two"].grants), 1)
}

// A team sends twice its quota, nearly all of it in large requests. Its small ones, a
// thirtieth of all, must be taken nonetheless; the large ones get the rest.
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
			continue // it has not been seen yet what its requests cost
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

// Requests that all cost alike have no reserve: none of them is small.
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
