package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An entry was told of a newer configuration and can't receive it over its overloaded link.
// It must not keep sending requests where the newer one may forbid it, and the newer one
// may have a route that it doesn't know: neither is the caller's mistake.
func TestOutdatedConfiguration(t *testing.T) {
	for _, test := range []struct {
		name    string
		behind  time.Duration
		within  time.Duration
		path    string
		served  bool
		verdict Verdict // where it is not served
	}{
		{"newest", 0, 2 * time.Second, "/p/1", true, 0},
		{"on its way", time.Second, 2 * time.Second, "/p/1", true, 0},
		{"late", 1600 * time.Millisecond, 2 * time.Second, "/p/1", false, VerdictNotRun},
		{"late, no limit", time.Hour, 0, "/p/1", true, 0},
		{"no route", 0, 2 * time.Second, "/q/1", false, VerdictNoRoute},
		{"no route, on its way", time.Millisecond, 2 * time.Second, "/q/1", false, VerdictNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			fx := newFixture(idempotent, returns(func() *Reply { return ok("good") }))
			fx.router.options.OutdatedFor = func() time.Duration { return test.behind }
			fx.router.options.ApplyWithin = test.within
			x := newExchange()
			x.Path, x.RequestURI = test.path, test.path
			_, refusal := fx.serve(t, x)
			if test.served {
				assert.Assert(t, refusal == nil)
				return
			}
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Verdict, test.verdict)
			assert.Equal(t, refusal.RetryAfter > 0, test.verdict == VerdictNotRun)
		})
	}
}
