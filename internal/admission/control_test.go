package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

const ms = time.Millisecond

var start = time.Unix(1000, 0)

func plain() Request {
	return Request{Team: "sutokatha", Share: 1, WorkMs: 500, Patience: 1600 * ms, PromptTokens: 1000}
}

func TestAdmit(t *testing.T) {
	for _, row := range []struct {
		name   string
		change func(*Request)
		want   Decision
	}{
		{"an idle fleet", func(*Request) {}, Decision{Admitted: true}},
		{"a wait within patience", func(r *Request) { r.PredictedWait = 1500 * ms }, Decision{Admitted: true}},
		{"a wait over patience", func(r *Request) { r.PredictedWait = 1700 * ms }, Decision{Code: callerapi.CodeOverloaded}},
		{"an oversized prompt", func(r *Request) { r.Limits.PromptTokens = 999 }, Decision{Code: callerapi.CodeTooLarge, Final: true}},
		{"a prompt at the limit", func(r *Request) { r.Limits.PromptTokens = 1000 }, Decision{Admitted: true}},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := plain()
			row.change(&r)
			got := New(Options{}).Admit(start, r)
			if !row.want.Admitted && !row.want.Final {
				assert.Assert(t, got.RetryAfter >= 100*ms && got.RetryAfter <= 30*time.Second, "%v", got.RetryAfter)
			}
			got.RetryAfter = 0
			assert.Equal(t, got, row.want)
		})
	}
}

func TestConcurrentLimit(t *testing.T) {
	c := New(Options{})
	r := plain()
	r.Limits.Concurrent = 2
	assert.Assert(t, c.Admit(start, r).Admitted)
	assert.Assert(t, c.Admit(start, r).Admitted)
	assert.Equal(t, c.Admit(start, r).Code, callerapi.CodeLimit)
	c.Done(start, r)
	assert.Assert(t, c.Admit(start, r).Admitted)
}

func TestRateLimit(t *testing.T) {
	c := New(Options{})
	r := plain()
	r.Limits = settings.Limits{RequestsPerSecond: 10}
	admitted := 0
	for n := range 1000 {
		if c.Admit(start.Add(time.Duration(n)*10*ms), r).Admitted {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 100 && admitted <= 111, "%d in ten seconds", admitted)
}

// A hundred callers are refused within a moment. If all got the same RetryAfter
// they would return together and fill the queue, and most would be refused again.
// Their times must be spread at the rate at which the queue drains.
func TestRetryAfterSpreadsTheRefused(t *testing.T) {
	c := New(Options{})
	r := plain()
	r.PredictedWait, r.DrainPerSec = 2*time.Second, 20
	perSecond := map[int]int{}
	var last time.Duration
	for range 100 {
		d := c.Admit(start, r)
		assert.Assert(t, !d.Admitted)
		perSecond[int(d.RetryAfter.Seconds())]++
		last = max(last, d.RetryAfter)
	}
	for second, count := range perSecond {
		assert.Assert(t, count <= 40, "%d come back in second %d", count, second)
	}
	assert.Assert(t, last > 4*time.Second && last < 9*time.Second, "%v", last)
}

// An endpoint fails all its requests, and these are retried elsewhere. Without a
// budget each failure adds a request, so that a small fault doubles the load of
// the fleet.
func TestRetryBudget(t *testing.T) {
	c := New(Options{})
	retries := 0
	for n := range 1000 {
		now := start.Add(time.Duration(n) * ms)
		if c.TakeRetry(now, "a", "e1") {
			retries++
		}
	}
	assert.Assert(t, retries <= 11, "%d retries in a second", retries)
	for n := range 100 {
		c.RecordSuccess(start.Add(time.Second+time.Duration(n)*ms), "a", "e1")
	}
	earned := 0
	for range 100 {
		if c.TakeRetry(start.Add(1100*ms), "a", "e1") {
			earned++
		}
	}
	assert.Assert(t, earned >= 9 && earned <= 11, "%d", earned)
	assert.Assert(t, !c.TakeRetry(start.Add(1100*ms), "a", "e2")) // the team's budget is exhausted
	assert.Assert(t, c.TakeRetry(start.Add(1100*ms), "b", "e2"))
	assert.Assert(t, !c.TakeRetry(start.Add(1100*ms), "b", "e1")) // the endpoint's budget is exhausted
}

func TestControlIsBounded(t *testing.T) {
	c := New(Options{MaxTeams: 10, MaxEndpoints: 10})
	for n := range 1000 {
		now := start.Add(time.Duration(n) * time.Second)
		r := plain()
		r.Team = fleet.Team(fmt.Sprint(n))
		assert.Assert(t, c.Admit(now, r).Admitted)
		c.Done(now, r)
		c.TakeRetry(now, r.Team, fleet.EndpointID(fmt.Sprint(n)))
	}
	assert.Assert(t, len(c.teams) <= 10)
	assert.Assert(t, len(c.teamBudgets.byKey) <= 10)
	assert.Assert(t, len(c.endpointBudgets.byKey) <= 10)
}

func TestFairLevel(t *testing.T) {
	for _, row := range []struct {
		demands  []teamDemand
		capacity float64
		want     float64
	}{
		{[]teamDemand{{1, 10}, {1, 100}}, 30, 20},        // the first team's unused share goes to the second
		{[]teamDemand{{1, 100}, {3, 100}}, 40, 10},       // by weight
		{[]teamDemand{{1, 50}, {1, 50}, {2, 2}}, 42, 20}, // two teams divide what the third leaves
		{[]teamDemand{{1, 100}}, 40, 40},                 // one team
		{[]teamDemand{{1, 5}, {1, 6}}, 100, 0},           // more capacity than demand
	} {
		got := fairLevel(row.demands, row.capacity)
		if row.capacity >= 100 {
			assert.Assert(t, got > 6)
			continue
		}
		assert.Assert(t, got > row.want-0.001 && got < row.want+0.001, "%v: %v", row.demands, got)
	}
}

func BenchmarkAdmit(b *testing.B) {
	c := New(Options{})
	random := rand.New(rand.NewPCG(1, 1))
	r := plain()
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(ms)
		r.Team = fleet.Team([]string{"a", "b", "c", "d"}[random.IntN(4)])
		r.PredictedWait = time.Duration(random.IntN(1500)) * ms
		c.Admit(now, r)
	}
}
