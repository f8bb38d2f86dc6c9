package e2e_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
)

// startTwoZoneServiceFleet starts a fleet over two zones, in which zone a has a
// majority of each ledger group, and a plain service in zone a.
func startTwoZoneServiceFleet(t *testing.T) (*testFleet, *endpointSet) {
	return startServiceFleetIn(t, "a", "a", "a", "b")
}

// setZones sets the team's permitted zones and waits until the change is in force.
func (f *testFleet) setZones(t *testing.T, version uint64, zones ...string) {
	t.Helper()
	id := fmt.Sprintf("zones-%d", version)
	eventually(t, callTimeout, func() error {
		return f.applySubtree(t, f.operator, "teams/t", version, id, teamYAML("t", teamKey, zones...))
	})
}

// repeatCall repeats a non-idempotent call at the entries, each in a permitted zone,
// until each answers with the recorded outcome. No entry may run the call again.
func repeatCall(t *testing.T, entries []*instance, key, marker string) {
	t.Helper()
	for _, i := range entries {
		eventually(t, callTimeout, func() error {
			again, err := callService(callContext(t), i, "/once", key, markedBody(marker))
			if err != nil {
				return err
			}
			if again.outcome != callerapi.OutcomeCompleted || again.apiError.Code != callerapi.CodeRecorded {
				return fmt.Errorf("%s at %s: %+v", marker, i.id, again)
			}
			return nil
		})
	}
}

// After a non-idempotent call has run, the operator narrows the team's permitted
// zones and widens them again. After each change the call is repeated with the same
// key. The record of the call is stored under the earlier zones, so an entry that
// looks only where new records go would run the call a second time.
func TestSlipRepeatedAfterItsZonesChanged(t *testing.T) {
	f, e := startTwoZoneServiceFleet(t)
	const calls = 16
	key := func(n int) string { return fmt.Sprintf("key-zones-%d", n) }
	marker := func(n int) string { return fmt.Sprintf("slip-zones-%d", n) }
	for n := range calls {
		a := mustCallService(t, f.instances[n%3], "/once", key(n), markedBody(marker(n)))
		assert.Equal(t, a.status, http.StatusOK, "%+v", a)
	}
	f.setZones(t, 1, "a")
	for n := range calls {
		repeatCall(t, f.instances[:3], key(n), marker(n))
	}
	f.setZones(t, 2, "a", "b")
	for n := range calls {
		repeatCall(t, f.instances, key(n), marker(n))
		assert.Equal(t, e.runCount(t, marker(n)), 1)
	}
}

// A non-idempotent call reaches three entries while the team's zones change, so that
// entries may claim it under the old zones or the new ones. It must run at
// most once, and exactly once if any answer says that it completed.
func TestSlipRacesAChangeOfItsZones(t *testing.T) {
	f, e := startTwoZoneServiceFleet(t)
	sets := [][]string{{"a"}, {"a", "b"}}
	for round := range 8 {
		var group sync.WaitGroup
		const calls = 4
		answers := make([][]answer, calls)
		for n := range calls {
			answers[n] = make([]answer, 3)
			for at, i := range f.instances[:3] {
				group.Go(func() {
					a, err := callService(callContext(t), i, "/once", fmt.Sprintf("key-race-%d-%d", round, n), markedBody(fmt.Sprintf("slip-race-%d-%d", round, n)))
					if err == nil {
						answers[n][at] = a
					}
				})
			}
		}
		f.setZones(t, uint64(round+1), sets[round%2]...)
		group.Wait()
		for n := range calls {
			runs := e.runCount(t, fmt.Sprintf("slip-race-%d-%d", round, n))
			assert.Assert(t, runs <= 1, "round %d: %d runs: %+v", round, runs, answers[n])
			for _, a := range answers[n] {
				if a.outcome == callerapi.OutcomeCompleted {
					assert.Equal(t, runs, 1)
				}
			}
		}
	}
}
