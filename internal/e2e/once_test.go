package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// startServiceFleet starts four entries and two endpoints of the plain service.
func startServiceFleet(t *testing.T) (*testFleet, *endpointSet) {
	return startServiceFleetIn(t, "a", "a", "a", "a")
}

// startServiceFleetIn starts one entry in each of the zones, and two endpoints of
// the plain service in zone a.
func startServiceFleetIn(t *testing.T, zones ...string) (*testFleet, *endpointSet) {
	t.Helper()
	f := startFleet(t, fleetPlan{zones: zones, control: 3})
	e := &endpointSet{fleet: f}
	e.add(t, "s1", "a", fleet.RolePlain)
	e.add(t, "s2", "a", fleet.RolePlain)
	e.awaitService(t)
	return f, e
}

func markedBody(marker string) string { return "[[id=" + marker + "]]" }

// A non-idempotent call is repeated with the same key at every entry. It must run
// once, and the repeats must get the recorded outcome.
func TestNonIdempotentCallRunsOnceOverAllEntries(t *testing.T) {
	f, e := startServiceFleet(t)
	a := mustCallService(t, f.instances[0], "/once", "key-1", markedBody("slip-1"))
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.outcome, callerapi.OutcomeCompleted)
	for _, i := range f.instances {
		again := mustCallService(t, i, "/once", "key-1", markedBody("slip-1"))
		assert.Equal(t, again.apiError.Code, callerapi.CodeRecorded)
		assert.Equal(t, again.outcome, callerapi.OutcomeCompleted)
	}
	assert.Equal(t, e.runCount(t, "slip-1"), 1)
}

// The entry dies while a non-idempotent call runs, and the caller repeats it at the
// other entries. It must not run a second time, and no answer may say that it was
// not run.
func TestEntryKilledDuringTheRun(t *testing.T) {
	f, e := startServiceFleet(t)
	for _, m := range e.all {
		m.postFaults(t, standin.Faults{CallDelayMs: 1500})
	}
	victim := f.instances[3] // not a control instance, so the control group is complete
	sent := make(chan error, 1)
	go func() {
		_, err := callService(callContext(t), victim, "/once", "key-2", markedBody("slip-2"))
		sent <- err
	}()
	eventually(t, callTimeout, func() error {
		if e.runCount(t, "slip-2") == 0 {
			return fmt.Errorf("not begun")
		}
		return nil
	})
	victim.kill(t)
	assert.Assert(t, <-sent != nil)
	deadline := time.Now().Add(6 * time.Second)
	for n := 0; time.Now().Before(deadline); n++ {
		again := mustCallService(t, f.instances[n%3], "/once", "key-2", markedBody("slip-2"))
		assert.Assert(t, again.status != http.StatusOK, "%+v", again)
		assert.Assert(t, again.outcome != callerapi.OutcomeNotRun || again.apiError.Code == callerapi.CodeNotCurrent, "%+v", again)
		<-time.After(200 * time.Millisecond)
	}
	assert.Equal(t, e.runCount(t, "slip-2"), 1)
}

// The entry is frozen as a non-idempotent call arrives, for longer than its lease.
// The caller repeats the call at another entry, then the frozen entry resumes with
// the first call pending. The call must run at most once over both entries, and
// when an answer says "not run" it must not have run, unless the other completed.
func TestEntryFrozenWhileTheCallerRepeatsElsewhere(t *testing.T) {
	f, e := startServiceFleet(t)
	victim := f.instances[3]
	for round := range 6 {
		key := fmt.Sprintf("key-frozen-%d", round)
		marker := fmt.Sprintf("slip-frozen-%d", round)
		first := make(chan answer, 1)
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
		go func() {
			a, err := callService(ctx, victim, "/once", key, markedBody(marker))
			if err != nil {
				a.outcome = callerapi.OutcomeUnknown
			}
			first <- a
		}()
		// Each round freezes the entry at a later point of the first call.
		<-time.After(time.Duration(round) * 500 * time.Microsecond)
		victim.freeze(t)
		var last answer
		eventually(t, callTimeout, func() error {
			again, err := callService(callContext(t), f.instances[round%3], "/once", key, markedBody(marker))
			if err != nil {
				return err
			}
			last = again
			if again.outcome == callerapi.OutcomeInFlight {
				return fmt.Errorf("still in flight: %+v", again)
			}
			return nil
		})
		victim.resume(t)
		a := <-first
		cancel()
		runs := e.runCount(t, marker)
		assert.Assert(t, runs <= 1, "round %d: %d runs", round, runs)
		if last.outcome == callerapi.OutcomeNotRun || a.outcome == callerapi.OutcomeNotRun {
			completed := last.outcome == callerapi.OutcomeCompleted || a.outcome == callerapi.OutcomeCompleted
			assert.Assert(t, runs == 0 || completed, "round %d: told not run, ran %d times: %+v %+v", round, runs, a, last)
		}
		if last.outcome == callerapi.OutcomeCompleted && last.status == http.StatusOK {
			assert.Equal(t, runs, 1)
		}
		f.awaitCurrent(t, victim)
	}
}

// A ledger replica dies, its groups are repaired, and right after that a second one
// dies. Repeats of calls that ran before must still get the recorded outcome.
func TestLedgerReplicaLostRepairedAndASecondOneLost(t *testing.T) {
	f := startFleet(t, fleetPlan{zones: []string{"a", "a", "a", "a", "a", "a"}, control: 3})
	e := &endpointSet{fleet: f}
	e.add(t, "s1", "a", fleet.RolePlain)
	e.awaitService(t)
	const slips = 24
	for n := range slips {
		a := mustCallService(t, f.instances[n%len(f.instances)], "/once", fmt.Sprintf("key-%d", n), markedBody(fmt.Sprintf("slip-%d", n)))
		assert.Equal(t, a.status, http.StatusOK, "%+v", a)
	}
	f.instances[4].kill(t)
	f.awaitLedgerRepaired(t, f.instances[4])
	f.instances[5].kill(t)
	for n := range slips {
		marker := fmt.Sprintf("slip-%d", n)
		eventually(t, callTimeout, func() error {
			again, err := callService(callContext(t), f.instances[n%4], "/once", fmt.Sprintf("key-%d", n), markedBody(marker))
			if err != nil {
				return err
			}
			if again.outcome != callerapi.OutcomeCompleted {
				return fmt.Errorf("%s: %+v", marker, again)
			}
			return nil
		})
		assert.Equal(t, e.runCount(t, marker), 1)
	}
}

// awaitLedgerRepaired waits until the view no longer has gone and the metrics of
// each remaining entry show no shard that is still being copied.
func (f *testFleet) awaitLedgerRepaired(t *testing.T, gone *instance) {
	t.Helper()
	f.awaitRemoved(t, f.instances[0], gone)
	for _, i := range f.others(gone) {
		eventually(t, callTimeout, func() error {
			shards, err := metricSum(t, i, "hyssopsail_ledger_copying_shards")
			if err != nil {
				return err
			}
			if shards > 0 {
				return fmt.Errorf("%s still copies %v shards", i.id, shards)
			}
			return nil
		})
	}
}

// An entry is cut off from the other ledger replicas: in both directions, or only
// their messages or only its own are lost. A non-idempotent call must run at most
// once over this entry and the repeat elsewhere, and exactly once when this entry
// answers "not run".
func TestEntryCutOffFromTheLedger(t *testing.T) {
	f, e := startServiceFleet(t)
	victim := f.instances[3]
	cases := []struct {
		name           string
		hears, isHeard bool
	}{
		{"both ways", false, false},
		{"hears none", false, true},
		{"heard by none", true, false},
	}
	for n, c := range cases {
		key, marker := fmt.Sprintf("key-cut-%d", n), fmt.Sprintf("slip-cut-%d", n)
		cut := func(on bool) {
			for _, other := range f.others(victim) {
				f.cutOneWay(other, victim, on && !c.hears)
				f.cutOneWay(victim, other, on && !c.isHeard)
			}
		}
		cut(true)
		a, err := callService(callContext(t), victim, "/once", key, markedBody(marker))
		assert.NilError(t, err, c.name)
		assert.Assert(t, a.status != http.StatusOK, "%s: %+v", c.name, a)
		eventually(t, callTimeout, func() error {
			again, err := callService(callContext(t), f.instances[0], "/once", key, markedBody(marker))
			if err != nil {
				return err
			}
			if again.outcome == callerapi.OutcomeCompleted || again.outcome == callerapi.OutcomeUnknown {
				return nil
			}
			return fmt.Errorf("%s: %+v", c.name, again)
		})
		cut(false)
		f.awaitCurrent(t, victim)
		if a.outcome == callerapi.OutcomeNotRun {
			assert.Equal(t, e.runCount(t, marker), 1, c.name)
		}
		assert.Assert(t, e.runCount(t, marker) <= 1, c.name)
	}
}
