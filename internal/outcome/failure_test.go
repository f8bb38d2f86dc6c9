package outcome

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// twoPhases makes claims prepare first, so that a test can stop them between the
// phases.
var twoPhases = Options{DisableFastPath: true, CallTimeout: 50 * time.Millisecond}

func newFiveEntries(t *testing.T, o Options) *testFleet {
	return newTestFleet(t, o, "a", "b", "c", "d", "e")
}

// setReplicasCut cuts or restores the links between an entry and the replicas a, b and
// c, in each direction.
func (f *testFleet) setReplicasCut(entry string, toReplicas, fromReplicas bool) {
	f.net.SetCut(toReplicas, entry, "a", "b", "c")
	for _, replica := range []string{"a", "b", "c"} {
		f.net.SetCut(fromReplicas, replica, entry)
	}
}

// An entry dies before its claim has reached a replica. The caller repeats the request
// at another entry, where it must run.
func TestEntryKilledBeforeIntent(t *testing.T) {
	f := newFiveEntries(t, twoPhases)
	f.setReplicasCut("d", true, false)
	_, _, err := f.claimWithin(t, 100*time.Millisecond, "d", newClaim("slip", "attempt-1"))
	assert.Assert(t, err != nil)
	f.kill("d")
	f.assertClaim(t, "e", newClaim("slip", "attempt-2"), VerdictRun)
}

// An entry dies after its intent was decided: before it dispatched, while the request
// ran, or after it answered and before it recorded the outcome. The ledger can't tell
// these apart. All repeats at other entries must be told that the request may have run;
// none may run it or be answered "not run".
func TestEntryKilledAfterIntent(t *testing.T) {
	for _, o := range []Options{{}, twoPhases} {
		f := newFiveEntries(t, o)
		f.claim(t, "d", newClaim("warm-up", "attempt-0"))
		f.assertClaim(t, "d", newClaim("slip", "attempt-1"), VerdictRun)
		f.kill("d")
		for _, entry := range []fleet.InstanceID{"a", "b", "e", "a"} {
			record := f.assertClaim(t, entry, newClaim("slip", "attempt-2"), VerdictUnknown)
			assert.Equal(t, record.Attempt, fleet.AttemptID("attempt-1"))
		}
		f.assertForbid(t, "c", newClaim("slip", "attempt-3"), VerdictUnknown)
	}
}

// An entry dies when only one replica has accepted its intent. A reader of the other
// replicas can't know whether the intent was decided. The first repeat decides, and all
// later ones must agree with it.
func TestEntryKilledInAccept(t *testing.T) {
	for _, reached := range []string{"a", "b", "c"} {
		f := newFiveEntries(t, twoPhases)
		f.net.OnRequest("d", "/Accept", func(to string) { f.net.SetCut(to != reached, "d", to) })
		verdict, _, err := f.claimWithin(t, 500*time.Millisecond, "d", newClaim("slip", "attempt-1"))
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictUnknown)
		f.kill("d")
		verdict, _ = f.claim(t, "e", newClaim("slip", "attempt-2"))
		if verdict == VerdictRun {
			verdict = VerdictInFlight
		}
		again, _ := f.claim(t, "a", newClaim("slip", "attempt-3"))
		assert.Equal(t, again, verdict)
	}
}

// An entry freezes during its claim, just before it sends its accepts. Its lease
// expires, its replica is replaced, and the caller's repeat runs elsewhere. When the
// entry resumes, its accepts arrive: it must not be told to run.
func TestFrozenEntryWakes(t *testing.T) {
	f := newFiveEntries(t, twoPhases)
	wake := make(chan struct{})
	frozen := make(chan struct{})
	var once sync.Once
	f.net.OnRequest("a", "/Accept", func(string) {
		once.Do(func() { close(frozen) })
		<-wake
	})
	late := make(chan Verdict, 1)
	go func() {
		verdict, _, _ := f.claimWithin(t, time.Second, "a", newClaim("slip", "attempt-1"))
		late <- verdict
	}()
	<-frozen
	f.removeFromView("a")
	f.setGroups(testZones, "b", "c", "d")
	f.awaitReady(t, 3)
	f.assertClaim(t, "e", newClaim("slip", "attempt-2"), VerdictRun)
	close(wake)
	assert.Assert(t, <-late != VerdictRun)
}

// An intent is decided by two of three replicas. One of them dies, the group is
// repaired, and then the other one dies. A repeat must still find the intent.
func TestSecondReplicaLostAfterRepair(t *testing.T) {
	f := newFiveEntries(t, twoPhases)
	f.net.SetCut(true, "d", "c")
	f.assertClaim(t, "d", newClaim("slip", "attempt-1"), VerdictRun)
	f.net.SetCut(false, "d", "c")
	f.kill("a")
	f.setGroups(testZones, "b", "c", "e")
	f.awaitReady(t, 3)
	f.kill("b")
	f.setGroups(testZones, "c", "e", "d")
	f.awaitReady(t, 3)
	record := f.assertClaim(t, "e", newClaim("slip", "attempt-2"), VerdictInFlight)
	assert.Equal(t, record.Attempt, fleet.AttemptID("attempt-1"))
}

// Two replicas die before the first is replaced, and with them the only copies of an
// intent. A repeat finds nothing: it must be told "unknown", neither run nor "not run".
func TestHistoryLost(t *testing.T) {
	f := newFiveEntries(t, twoPhases)
	f.net.SetCut(true, "d", "c")
	f.assertClaim(t, "d", newClaim("slip", "attempt-1"), VerdictRun)
	f.kill("a")
	f.kill("b")
	f.setGroups(testZones, "c", "d", "e")
	f.awaitReady(t, 3)
	f.assertClaim(t, "e", newClaim("slip", "attempt-2"), VerdictUnknown)
	f.assertForbid(t, "c", newClaim("slip", "attempt-3"), VerdictUnknown)
}

// A history was lost just now, and the entry's clock is hours ahead of the control
// group's. If the entry judged by its own clock that the lost records have expired, a
// call whose record was lost would run again.
func TestHistoryLostByAnotherClock(t *testing.T) {
	f := newFiveEntries(t, Options{})
	c := newClaim("slip", "attempt-1")
	f.mu.Lock()
	f.groups[ShardOf(c.Key, testZones)].HistoryLostUnixMs = time.Now().Add(-5 * time.Hour).UnixMilli()
	f.mu.Unlock()
	f.change(func(*membership.State) {})
	f.assertClaim(t, "d", c, VerdictUnknown)
}

// The network between an entry and the replicas fails in one or both directions during
// a claim. If nothing was accepted, the answer is an error. Once an accept may have
// arrived, it is "unknown", and the record is settled after the network recovers, so
// that repeats are correctly answered "not run".
func TestCutWhileClaiming(t *testing.T) {
	cases := map[string]struct {
		toReplicas, fromReplicas bool
		method                   string
		want                     Verdict
	}{
		"requests lost from the start": {toReplicas: true, method: "/Prepare", want: VerdictUnset},
		"replies lost from the start":  {fromReplicas: true, method: "/Prepare", want: VerdictUnset},
		"both lost from the start":     {toReplicas: true, fromReplicas: true, method: "/Prepare", want: VerdictUnset},
		"requests lost at the accept":  {toReplicas: true, method: "/Accept", want: VerdictUnknown},
		"replies lost at the accept":   {fromReplicas: true, method: "/Accept", want: VerdictUnknown},
		"both lost at the accept":      {toReplicas: true, fromReplicas: true, method: "/Accept", want: VerdictUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFiveEntries(t, twoPhases)
			f.net.OnRequest("d", c.method, func(string) { f.setReplicasCut("d", c.toReplicas, c.fromReplicas) })
			verdict, _, err := f.claimWithin(t, time.Second, "d", newClaim("slip", "attempt-1"))
			assert.Equal(t, verdict, c.want)
			assert.Equal(t, err != nil, c.want == VerdictUnset)
			f.net.OnRequest("", "", nil)
			f.setReplicasCut("d", false, false)
			if c.want == VerdictUnset {
				f.assertClaim(t, "e", newClaim("slip", "attempt-2"), VerdictRun)
				return
			}
			f.awaitSettled(t, "slip")
		})
	}
}

// awaitSettled waits until the key is answered "not run".
func (f *testFleet) awaitSettled(t *testing.T, key string) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		verdict, record, err := f.service("e").Lookup(t.Context(), testTeam, newClaim(key, "any").Key, testZones)
		assert.NilError(t, err)
		if verdict == VerdictNotRun || record.Outcome == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the record was not settled")
}

// Callers send the same keys to all entries at once while operators forbid them. For
// each key, either one attempt runs or "not run" is answered, never both.
func TestClaimsRace(t *testing.T) {
	f := newFiveEntries(t, Options{})
	const keys = 60
	var mu sync.Mutex
	type answer struct {
		key     string
		verdict Verdict
	}
	answers := make(map[answer]int)
	var group sync.WaitGroup
	for n := range keys {
		key := fmt.Sprint("slip-", n)
		for _, entry := range []fleet.InstanceID{"a", "b", "c", "d", "e"} {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				c := newClaim(key, fmt.Sprint("attempt-", key, entry))
				verdict, _, err := VerdictUnset, Record{}, error(nil)
				if entry == "e" && n%2 == 0 {
					verdict, _, err = f.service(entry).Forbid(ctx, c)
				} else {
					verdict, _, err = f.service(entry).Claim(ctx, c)
				}
				mu.Lock()
				defer mu.Unlock()
				assert.Check(t, err, "key %s at %s", key, entry)
				answers[answer{key, verdict}]++
			})
		}
	}
	group.Wait()
	for n := range keys {
		key := fmt.Sprint("slip-", n)
		runs, notRun := answers[answer{key, VerdictRun}], answers[answer{key, VerdictNotRun}]
		assert.Assert(t, runs <= 1, "%d attempts of %s may run", runs, key)
		assert.Assert(t, runs == 0 || notRun == 0, "%s runs and was answered not run", key)
		assert.Assert(t, runs == 1 || notRun > 0, "%s was never decided", key)
	}
}

// A group names a replica whose process has moved to a zone that the team's data may
// not enter. Nothing may be sent there, and claims must continue with the other
// replicas.
func TestNoBytesLeaveTheZones(t *testing.T) {
	f := newFiveEntries(t, Options{})
	f.change(func(s *membership.State) {
		moved := s.View.Instances["c"]
		moved.Zone = "yongkang-hall"
		s.View.Instances["c"] = moved
	})
	before := f.net.CallCount("c")
	c := newClaim("slip", "attempt-1")
	f.assertClaim(t, "d", c, VerdictRun)
	assert.NilError(t, f.service("d").Finish(t.Context(), c, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 200))
	f.assertLookup(t, "e", c, VerdictRecorded)
	assert.Equal(t, f.net.CallCount("c"), before)
}
