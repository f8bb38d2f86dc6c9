package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestShutdownPlan(t *testing.T) {
	for _, test := range []struct{ within, limit, linger time.Duration }{
		{12 * time.Second, 11500 * time.Millisecond, 3 * time.Second},
		{2500 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond},
		{100 * time.Millisecond, 0, 0},
	} {
		l := ShutdownPlan{Timeout: test.within}
		assert.Equal(t, l.MaxDuration(), test.limit)
		assert.Equal(t, l.AcceptDuration(), test.linger)
	}
}

// shuttingDown returns a fixture whose entry began to shut down some time ago, within 8 s.
func shuttingDown(ago time.Duration, answers ...answer) *fixture {
	fx := newFixture(idempotent, answers...)
	fx.router.options.Shutdown = NewShutdown(ShutdownPlan{Timeout: 8 * time.Second})
	fx.router.options.Shutdown.Begin()
	time.Sleep(ago)
	return fx
}

// Guards against a request that a stopping entry takes and cuts when it ends, since its answer may
// last longer than the entry.
func TestStoppingEntryTakesNothingThatMayOutlastIt(t *testing.T) {
	for name, test := range map[string]struct {
		since, timeout time.Duration
		served         bool
	}{
		"long, in time":       {2700 * time.Millisecond, 10 * time.Second, true},
		"long, late":          {2800 * time.Millisecond, 10 * time.Second, false},
		"short, late":         {3 * time.Second, 4 * time.Second, true},
		"short, and too late": {6500 * time.Millisecond, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := shuttingDown(test.since, returns(func() *Reply { return ok("a") }))
				x := newExchange()
				x.CallerTimeout = test.timeout
				_, refusal := fx.serve(t, x)
				assert.Equal(t, refusal == nil, test.served)
				if refusal != nil {
					assert.Equal(t, refusal.Verdict, VerdictNotRun)
					assert.Equal(t, refusal.RetryAfter, shutdownRetryAfter)
					assert.Equal(t, len(fx.endpoints.calls), 0)
				}
			})
		})
	}
}
