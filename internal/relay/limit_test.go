package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/endpointlimit"
)

// Guards against a limit that each entry enforces on its own, or that some path bypasses:
// all entries together would send an overloaded endpoint several times what it accepts.
func TestEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	none := func(time.Duration) (float64, bool) { return 0, false }
	falling := func(at time.Duration) (float64, bool) { return max(0.5, 8-at.Seconds()/2), at >= limitedBegin }
	rising := func(at time.Duration) (float64, bool) { return at.Seconds() / 2, at >= limitedBegin }
	paused := func(at time.Duration) (float64, bool) {
		return 1.9, at >= limitedBegin && (at < 8*time.Second || at > 11*time.Second)
	}
	for _, test := range []struct {
		name    string
		entries int
		load    float64 // requests a second
		model   bool
		refuses bool
		limits  []func(time.Duration) (float64, bool)
	}{
		{"one of four", 7, 33, false, false, []func(time.Duration) (float64, bool){steady(1.9), nil, nil, nil}},
		{"two of four", 7, 33, false, false, []func(time.Duration) (float64, bool){steady(4.1), steady(1.8), nil, nil}},
		{"all", 7, 33, false, false, []func(time.Duration) (float64, bool){steady(4.1), steady(1.8), steady(3)}},
		{"under one a second", 7, 33, false, false, []func(time.Duration) (float64, bool){steady(0.2), nil}},
		{"nothing", 7, 33, false, false, []func(time.Duration) (float64, bool){steady(0), nil}},
		{"many entries", 60, 150, false, false, []func(time.Duration) (float64, bool){steady(1.9), nil, nil, nil}},
		{"falls", 7, 33, false, false, []func(time.Duration) (float64, bool){falling, nil, nil}},
		{"rises", 7, 33, false, false, []func(time.Duration) (float64, bool){rising, nil, nil}},
		{"ends and begins again", 7, 33, false, false, []func(time.Duration) (float64, bool){paused, nil, nil}},
		{"rejects requests", 7, 33, false, true, []func(time.Duration) (float64, bool){steady(1.9), nil, nil, nil}},
		{"prefill endpoint", 7, 20, true, false, []func(time.Duration) (float64, bool){steady(1.9), none, none, none}},
		{"all prefill endpoints", 7, 20, true, false, []func(time.Duration) (float64, bool){steady(1.9), steady(1.1), none, none}},
		{"decode endpoint", 7, 20, true, false, []func(time.Duration) (float64, bool){none, none, steady(1.9), none}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(test.entries, test.model, test.limits...)
				for _, e := range f.service.endpoints {
					e.refuses = test.refuses
				}
				f.runLoad(t, test.load)
				for id, e := range f.service.endpoints {
					share, got, allowed := e.fullestWindow()
					t.Logf("%s: %d arrivals, %.2f of the bound in the fullest window", id, len(e.arrivals), share)
					assert.Check(t, share <= 1, "%s got %.0f requests in %s, %.1f are allowed", id, got, limitWindow, allowed)
				}
				t.Logf("%d asked, %d served, %d refused", f.asked, f.served, f.refused)
			})
		})
	}
}

// Load pattern: an endpoint accepts half of its work, and the others have no capacity for
// the rest. What it accepts is used; an entry that reaches no limit server doesn't use it.
func TestLimitedEndpointServesWhatItTakes(t *testing.T) {
	const load, slots = 130, 2 // of 20 ms each: 100 a second
	share := func(kept bool) (served float64) {
		synctest.Test(t, func(t *testing.T) {
			f := newLimitedFleet(7, false, steady(50), nil)
			for _, e := range f.service.endpoints {
				e.slots = slots
			}
			if !kept {
				f.removeMembers()
			}
			f.runLoad(t, load)
			served = float64(f.served) / float64(f.asked)
		})
		return served
	}
	kept, left := share(true), share(false)
	t.Logf("served %.3f where the limit is kept, %.3f where the endpoint is left out", kept, left)
	assert.Assert(t, kept > left+0.1)
}

// Guards against callers that wait although no endpoint accepts requests: they are told at
// once when to return.
func TestRefusedAtOnceWhenAllEndpointsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(1, false, steady(0), steady(0))
		time.Sleep(limitedBegin)
		var refusal *Refusal
		for range 20 {
			x := newExchange()
			if refusal = f.entries[0].Serve(t.Context(), x, &fakeCaller{}); refusal == nil {
				continue
			}
			assert.Assert(t, time.Since(x.Received) < 150*time.Millisecond)
			assert.Equal(t, refusal.Verdict, VerdictNotRun)
			assert.Assert(t, refusal.RetryAfter > 0)
		}
		assert.Assert(t, refusal != nil)
	})
}

// Guards against capacity that is lost for good: the endpoint's limit has ended, and no
// entry sends it a request whose answer would say so.
func TestEndOfLimitIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ends := func(at time.Duration) (float64, bool) { return 0, at >= limitedBegin && at < 8*time.Second }
		f := newLimitedFleet(7, false, ends, nil)
		f.runLoad(t, 33)
		last := 0
		for _, a := range f.service.endpoints["e0"].arrivals {
			if a.at > limitedDuration-2*time.Second {
				last++
			}
		}
		assert.Assert(t, last >= 15, "%d requests in the last 2 s", last)
	})
}

// Guards against a limit that is received with the answer to a reservation and not kept:
// the request that follows needs a permit.
func TestLimitInReserveAnswer(t *testing.T) {
	fx := newFixture(stream, returns(func() *Reply { return ok("{}") }), returns(func() *Reply { return ok(event("1")) })).withModel()
	fx.endpoints.signals = Signals{Limit: endpointlimit.Signal{Kind: endpointlimit.KindLimit, PerSecond: 1}}
	_, refusal := fx.serve(t, newModelExchange())
	assert.Assert(t, refusal != nil)
	assert.Equal(t, len(fx.endpoints.calls), 0)
}
