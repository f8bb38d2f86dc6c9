package e2e_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// startTwoZoneFleet starts a fleet with entries and all kinds of endpoints in each of
// two zones.
func startTwoZoneFleet(t *testing.T) (*testFleet, *endpointSet) {
	f := startFleet(t, fleetPlan{zones: []string{"a", "b", "a", "b"}, control: 3})
	e := &endpointSet{fleet: f}
	for _, zone := range []string{"a", "b"} {
		e.add(t, "p-"+zone, zone, fleet.RolePrefill)
		e.add(t, "d-"+zone, zone, fleet.RoleDecode, func(o *standin.Options) { o.Slots = 6 })
		e.add(t, "s-"+zone, zone, fleet.RolePlain)
	}
	e.awaitServing(t)
	e.awaitService(t)
	return f, e
}

// lastStartIn returns the time of the last start of an attempt in a zone, in Unix ms.
func (e *endpointSet) lastStartIn(zone fleet.AvailabilityZone) int64 {
	newest := int64(0)
	for _, m := range e.all {
		record := m.Audit()
		if record.Zone != zone {
			continue
		}
		for _, fact := range record.Attempts {
			newest = max(newest, fact.StartedMs)
		}
	}
	return newest
}

// An operator removes a zone from a team's permitted zones while the team's requests
// run and wait there. Once the change is in force no request of the team may begin in
// that zone, and running ones must end there instead of going on for half a minute.
func TestZonesNarrowedWhileRequestsRunAndWait(t *testing.T) {
	f, e := startTwoZoneFleet(t)
	stop := make(chan struct{})
	var load sync.WaitGroup
	long, cancelLong := context.WithCancel(callContext(t))
	for n := range 24 {
		load.Go(func() {
			r := request{prompt: fmt.Sprintf("narrow %d [[tokens=15000]]", n), maxTokens: 15000, stream: true}
			_, _ = sendCompletion(long, f.instances[n%4], r)
		})
	}
	for n := range 8 {
		load.Go(func() { sendBothKinds(t, f.instances[n%4], n, stop) })
	}
	eventually(t, callTimeout, func() error {
		for _, m := range e.all {
			if a := m.Audit(); a.Role == fleet.RoleDecode && a.Held < 6 {
				return fmt.Errorf("%s holds %d", m.endpointID(), a.Held)
			}
		}
		return nil
	})
	assert.NilError(t, f.applySubtree(t, f.operator, "teams/t", 1, "narrow", teamYAML("t", teamKey, "a")))
	inForce := time.Now().UnixMilli()
	eventually(t, 6*time.Second, func() error {
		for _, m := range e.all {
			if a := m.Audit(); a.Zone == "b" && a.Held > 0 {
				return fmt.Errorf("%s still holds %d", m.endpointID(), a.Held)
			}
		}
		return nil
	})
	close(stop)
	cancelLong()
	load.Wait()
	assert.Assert(t, e.lastStartIn("b") <= inForce, "work began in the forbidden zone %d ms after the change was in force", e.lastStartIn("b")-inForce)
	e.awaitNothingHeld(t, 10*time.Second)
}

// All endpoints in a team's only permitted zone are down. Each remaining entry must
// refuse its requests with "not run", and none may run in the other, healthy zone.
func TestTeamWhoseZonesAreDownIsRefused(t *testing.T) {
	f, e := startTwoZoneFleet(t)
	assert.NilError(t, f.applySubtree(t, f.operator, "teams/t", 1, "only b", teamYAML("t", teamKey, "b")))
	for _, m := range e.all {
		if m.Audit().Zone == "b" {
			m.kill()
		}
	}
	inForce := time.Now().UnixMilli()
	f.checkAllRefuse(t, f.instances)
	f.instances[3].kill(t) // the entry in zone b that is not a control instance
	f.checkAllRefuse(t, f.instances[:3])
	assert.Assert(t, e.lastStartIn("a") <= inForce)
}

func (f *testFleet) checkAllRefuse(t *testing.T, entries []*instance) {
	t.Helper()
	for n, i := range entries {
		eventually(t, callTimeout, func() error {
			a := mustSendCompletion(t, i, request{prompt: fmt.Sprintf("down %d", n), maxTokens: 5})
			assert.Assert(t, !a.isComplete(), "%s served it: %+v", i.id, a)
			return checkNotRun(i, a)
		})
		eventually(t, callTimeout, func() error {
			a := mustCallService(t, i, "/once", "", markedBody(fmt.Sprintf("down-%d", n)))
			assert.Assert(t, a.status >= 400, "%s served it: %+v", i.id, a)
			return checkNotRun(i, a)
		})
	}
}

func checkNotRun(i *instance, a answer) error {
	if a.outcome != callerapi.OutcomeNotRun {
		return fmt.Errorf("%s: %+v", i.id, a)
	}
	return nil
}

// After non-idempotent calls have run, an operator removes one zone from the team's
// permitted zones, and the calls are repeated with the same keys. None may run a
// second time, although their records are kept by replicas in the earlier zones.
func TestSlipRepeatedAfterItsTeamsZonesChanged(t *testing.T) {
	f, e := startTwoZoneFleet(t)
	const slips = 8
	for n := range slips {
		a := mustCallService(t, f.instances[0], "/once", fmt.Sprintf("key-%d", n), markedBody(fmt.Sprintf("slip-%d", n)))
		assert.Equal(t, a.status, 200, "%+v", a)
	}
	assert.NilError(t, f.applySubtree(t, f.operator, "teams/t", 1, "narrow", teamYAML("t", teamKey, "a")))
	for n := range slips {
		again := mustCallService(t, f.instances[0], "/once", fmt.Sprintf("key-%d", n), markedBody(fmt.Sprintf("slip-%d", n)))
		assert.Check(t, again.outcome != callerapi.OutcomeNotRun, "%+v", again)
		assert.Check(t, e.runCount(t, fmt.Sprintf("slip-%d", n)) == 1, "slip-%d ran twice", n)
	}
}
