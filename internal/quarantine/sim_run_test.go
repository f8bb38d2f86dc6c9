package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// simTotals are totals over many seeds.
type simTotals struct {
	maxCrashes      int
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
		total.maxCrashes = max(total.maxCrashes, s.crashes)
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

// Two entries receive the same crashing request at once, with different keys, among nineteen
// harmless ones. It crashes its endpoint with everything that runs there, and its caller
// repeats it each time. It must be refused after two deaths in the whole fleet, and the
// nineteen must be served.
func TestCrashingRequestAmongNineteen(t *testing.T) {
	total := simulate(2000, DefaultLimits, false)
	assert.Equal(t, total.maxCrashes, 2)
	assert.Equal(t, total.innocentRefused, 0)
	assert.Equal(t, total.innocentWaiting, 0)
	assert.Equal(t, total.crasherWaiting, 0)
}

// With one of the rules disabled, the same simulation must show more deaths or refused harmless
// requests.
func TestSimulationDetectsDisabledRules(t *testing.T) {
	two := DefaultLimits
	two.MaxUnprovenRuns = 2
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
			assert.Assert(t, total.maxCrashes > 2 || total.innocentRefused > 0)
		})
	}
}
