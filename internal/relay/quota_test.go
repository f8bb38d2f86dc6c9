package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/quota"
	"github.com/hyssopsail/hyssopsail/internal/routetable"
)

// withQuota gives team "a" a quota of tokens; take returns the result of each Take.
func (fx *fixture) withQuota(take func() error) *fakeQuotas {
	q := &fakeQuotas{take: take, done: make(chan struct{}, 10)}
	fx.withTeams()
	fx.router.options.Quotas = q
	fx.view.Table.TeamOf(keyhash.Of("a1")).Quota = routetable.Quota{Unit: routetable.UnitToken, PerSecond: 100, Burst: 100, DefaultTokens: 7}
	return q
}

func granted() error { return nil }

// The cost of a request is known before it runs: the prompt and the maximum output, or the
// cost of a request without a size.
func TestCostOfARequest(t *testing.T) {
	fx := newFixture(idempotent, returns(func() *Reply { return ok("good") }), returns(func() *Reply { return ok("good") }))
	q := fx.withQuota(granted)
	plain, model := exchangeWithKey("a1"), newModelExchange()
	model.Key = plain.Key
	fx.serve(t, plain)
	fx.serve(t, model)
	assert.DeepEqual(t, q.costs, []float64{7, 1200})
	fx.serve(t, exchangeWithKey("b1")) // has no limit
	assert.Equal(t, len(q.costs), 2)
	assert.Equal(t, routetable.Quota{}.Cost(1200, true), 1.0)
}

// A team sends beyond its quota. Each request is refused at once as not run, with the time
// to return: not before some quota is left, and not all together.
func TestSpentQuotaIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(idempotent)
		fx.withQuota(func() error { return &quota.ExhaustedError{RetryAfter: 3 * time.Second} })
		began := time.Now()
		_, refusal := fx.serve(t, exchangeWithKey("a1"))
		assert.Equal(t, refusal.Verdict, VerdictOverQuota)
		assert.Equal(t, refusal.RetryAfter, 3*time.Second)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(fx.endpoints.calls), 0)
	})
}

// A team's callers are refused together. They must not return together, not before some
// quota is left, and as long as that is in time, early enough for an answer within their
// target.
func TestQuotaRetryAfter(t *testing.T) {
	const target = 900 * time.Millisecond
	for _, test := range []struct {
		earliest    time.Duration
		point       float64
		first, last time.Duration
	}{
		{0, 0, 0, 0},
		{10 * time.Millisecond, 0, 10 * time.Millisecond, 10 * time.Millisecond},
		{10 * time.Millisecond, 0.999, 500 * time.Millisecond, 650 * time.Millisecond},
		{3 * time.Second, 0.999, 3 * time.Second, 3 * time.Second},
	} {
		got := quotaRetryAfter(test.earliest, target, test.point)
		assert.Assert(t, got >= test.first && got <= test.last, "%v: %v", test, got)
	}
}

// A request took its cost from the quota and found no endpoint: it has not run, so that the
// cost is returned. The cost of one that may have run is not.
func TestQuotaIsReturnedIfNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(atMostOnce, returns(notRun), returns(notRun), returns(notRun))
		q := fx.withQuota(granted)
		_, refusal := fx.serve(t, exchangeWithKey("a1"))
		assert.Equal(t, refusal.Verdict, VerdictNotRun)
		<-q.done
		assert.Equal(t, q.returned, 1)

		fx.endpoints.answers = []answer{fails(true)}
		_, refusal = fx.serve(t, exchangeWithKey("a1"))
		assert.Equal(t, refusal.Verdict, VerdictUnknown)
		synctest.Wait()
		assert.Equal(t, q.returned, 1)
	})
}

// All control instances are killed at once and are back within a second: a request waits
// for them as long as its target allows. An entry that is cut off from them doesn't wait,
// since other entries can serve its callers at once.
func TestWaitForQuotaServer(t *testing.T) {
	for _, test := range []struct {
		name   string
		back   time.Duration // of the quota servers
		cutOff bool
		waited time.Duration
		served bool
	}{
		{"back soon", 200 * time.Millisecond, false, 200 * time.Millisecond, true},
		{"gone", time.Hour, false, 540 * time.Millisecond, false},
		{"cut off", time.Hour, true, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(idempotent, returns(func() *Reply { return ok("good") }))
				began := time.Now()
				fx.withQuota(func() error {
					if time.Since(began) < test.back {
						return quota.ErrNoQuotaServer
					}
					return nil
				})
				fx.router.options.Uptime = func() time.Duration { return time.Hour }
				fx.view.Confirmed.Advance(time.Hour - time.Second)
				if test.cutOff {
					fx.view.Confirmed = &Confirmation{}
				}
				_, refusal := fx.serve(t, exchangeWithKey("a1"))
				assert.Equal(t, refusal == nil, test.served)
				assert.Equal(t, time.Since(began), test.waited)
				if refusal != nil {
					assert.Equal(t, refusal.Verdict, VerdictNotRun)
				}
			})
		})
	}
}
