package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// simTotals are counts over many seeds.
type simTotals struct {
	mostCrashes     int
	innocentRefused int
	innocentWaiting int
	crasherWaiting  int
}

func simulate(seeds int, limits Limits, crowded bool) simTotals {
	var total simTotals
	for seed := range uint64(seeds) {
		s := newSim(seed, limits)
		s.crowded = crowded
		s.run()
		total.mostCrashes = max(total.mostCrashes, s.crashes)
		for _, r := range s.requests {
			switch {
			case r.crashes && !r.refused:
				total.crasherWaiting++
			case !r.crashes && r.refused:
				total.innocentRefused++
			case !r.crashes && !r.served:
				total.innocentWaiting++
			}
		}
	}
	return total
}

// Two entries get the same crashing request at once, under different keys,
// among nineteen innocent ones. It takes down the endpoint it runs on with all
// that run beside it, and its caller sends it again and again. It must be
// refused for good after two deaths over the fleet, and the nineteen served.
func TestCrashingRequestAmongNineteen(t *testing.T) {
	total := simulate(2000, DefaultLimits, false)
	assert.Equal(t, total.mostCrashes, 2)
	assert.Equal(t, total.innocentRefused, 0)
	assert.Equal(t, total.innocentWaiting, 0)
	assert.Equal(t, total.crasherWaiting, 0)
}

// With a guard off the same simulation must show more deaths, or innocent
// requests refused.
func TestSimulationSeesGuardsMissing(t *testing.T) {
	two := DefaultLimits
	two.UnprovenRuns = 2
	cases := map[string]struct {
		limits  Limits
		crowded bool
	}{
		"two unproven runs at once":  {limits: two},
		"suspects share an endpoint": {limits: DefaultLimits, crowded: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			total := simulate(300, c.limits, c.crowded)
			t.Logf("%+v", total)
			assert.Assert(t, total.mostCrashes > 2 || total.innocentRefused > 0)
		})
	}
}
