package outcome

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// In newFiveEntries, a and d are in durgapur, b and e in howrah, c in barasat; a, b and
// c are the replicas.
var (
	twoZones  = fleet.NewZoneSet("howrah", "barasat")
	oneZone   = fleet.NewZoneSet("howrah")
	otherZone = fleet.NewZoneSet("durgapur")
)

func withZones(zones fleet.ZoneSet, c Claim) Claim {
	c.PermittedZones = zones
	return c
}

// A request runs, its team's zones are narrowed and widened again, and the request is
// repeated after each change. Records are in other shards by then: the repeat must find
// the record of the first run, and new keys must run once under each set of zones.
func TestRepeatAfterZoneChanges(t *testing.T) {
	f := newFiveEntries(t, Options{})
	first := newClaim("slip", "attempt-1")
	f.assertClaim(t, "a", first, VerdictRun)
	assert.NilError(t, f.service("a").Finish(t.Context(), first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 201))

	f.setZones(twoZones, "b", "c", "e")
	f.assertFirstRecorded(t, twoZones, "b", "c", "e")
	f.assertClaim(t, "b", withZones(twoZones, newClaim("second slip", "attempt-2")), VerdictRun)
	f.assertClaim(t, "e", withZones(twoZones, newClaim("second slip", "attempt-3")), VerdictInFlight)

	f.setZones(testZones, "a", "b", "c")
	f.assertFirstRecorded(t, testZones, "a", "b", "d")
	record := f.assertClaim(t, "d", newClaim("second slip", "attempt-4"), VerdictInFlight)
	assert.Equal(t, record.Attempt, fleet.AttemptID("attempt-2"))
	f.assertForbid(t, "d", newClaim("third slip", "attempt-5"), VerdictNotRun)
	f.assertLookup(t, "d", newClaim("fourth slip", "any"), VerdictUnset)
	f.assertClaim(t, "d", newClaim("fourth slip", "attempt-6"), VerdictRun)
}

// assertFirstRecorded checks that the entries find the record of the first request.
func (f *testFleet) assertFirstRecorded(t *testing.T, zones fleet.ZoneSet, entries ...fleet.InstanceID) {
	t.Helper()
	for _, entry := range entries {
		c := withZones(zones, newClaim("slip", "later-"+string(entry)))
		record := f.assertClaim(t, entry, c, VerdictRecorded)
		assert.Equal(t, record.StatusCode, 201)
		f.assertLookup(t, entry, c, VerdictRecorded)
		f.assertForbid(t, entry, c, VerdictRecorded)
	}
}

// An entry that hasn't applied a change of zones claims a key under the old zones, and
// its accepts are slow. Meanwhile a repeat comes to an entry under the new zones. Each
// uses other shards; only one of the two may run.
func TestOldAndNewZonesClaimOneKey(t *testing.T) {
	f := newFiveEntries(t, twoPhases)
	f.nodes["a"].setStale()
	f.setZones(twoZones, "b", "c", "e")
	held := make(chan struct{}, 3)
	release := make(chan struct{})
	f.net.OnRequest("a", "/Accept", func(string) {
		held <- struct{}{}
		<-release
	})
	old := make(chan Verdict, 1)
	go func() {
		verdict, _, _ := f.service("a").Claim(t.Context(), newClaim("slip", "attempt-old"))
		old <- verdict
	}()
	<-held
	f.assertClaim(t, "e", withZones(twoZones, newClaim("slip", "attempt-new")), VerdictRun)
	close(release)
	assert.Equal(t, <-old, VerdictUnknown)
	f.assertClaim(t, "b", withZones(twoZones, newClaim("slip", "attempt-late")), VerdictInFlight)
}

// A team's zones are narrowed so far that most replicas of its former records are
// outside. These are no longer asked. A new key can't be distinguished from one that ran,
// so "unknown" is answered; a call with a key of its own runs.
func TestFormerRecordsOutsideTheZones(t *testing.T) {
	f := newFiveEntries(t, Options{})
	first := newClaim("slip", "attempt-1")
	f.assertClaim(t, "a", first, VerdictRun)
	// A majority, a and one of b and c, answers the claim. The last call to the other
	// may still be in progress and would be counted below.
	f.await(t, "the first claim's last call", func() bool { return f.net.CallCount("b") == f.net.CallCount("c") })
	f.setZones(oneZone, "b", "e")
	before := f.net.CallCount("a") + f.net.CallCount("c") + f.net.CallCount("d")
	for _, key := range []string{"slip", "new slip"} {
		c := withZones(oneZone, newClaim(key, "attempt-"+key))
		record := f.assertClaim(t, "b", c, VerdictUnknown)
		assert.Equal(t, record.Attempt, fleet.AttemptID(""))
		f.assertLookup(t, "e", c, VerdictUnknown)
		f.assertForbid(t, "e", c, VerdictUnknown)
	}
	fresh := withZones(oneZone, newClaim("own key", "attempt-own"))
	fresh.UniqueKey = true
	f.assertClaim(t, "b", fresh, VerdictRun)
	// The outcome of the first call must not be sent outside the zones either.
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, f.service("b").Finish(short, first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 200) != nil)
	assert.Equal(t, f.net.CallCount("a")+f.net.CallCount("c")+f.net.CallCount("d"), before)
}

// A group of former zones that never had an entry has no records, so a team whose zones
// were mistyped must not wait for it. A claim that still names the old zones is
// refused.
func TestFormerZonesWithoutReplicas(t *testing.T) {
	f := newFiveEntries(t, Options{})
	f.setZones(otherZone)
	f.setZones(twoZones, "b", "c", "e")
	f.assertClaim(t, "b", withZones(twoZones, newClaim("slip", "attempt-1")), VerdictRun)
	_, _, err := f.service("b").Claim(t.Context(), withZones(otherZone, newClaim("other slip", "attempt-2")))
	assert.ErrorContains(t, err, "no longer")
}

// A claim under the old zones waits for the replicas of its group. The zones change,
// then an entry joins the old zones. The claim must not continue there, since other
// claims have treated the group as one without records.
func TestClaimWaitsAcrossAChangeOfZones(t *testing.T) {
	f := newFiveEntries(t, Options{})
	f.setZones(otherZone)
	waiting := make(chan error, 1)
	slip := withZones(otherZone, newClaim("slip", "attempt-1"))
	slip.UniqueKey = true // its own key: earlier records don't matter
	go func() {
		_, _, err := f.service("d").Claim(t.Context(), slip)
		waiting <- err
	}()
	d := f.service("d")
	f.await(t, "claim under way", func() bool { return d.lastProposerID.Load() > 0 })
	f.setZones(fleet.NewZoneSet("durgapur", "howrah"), "a", "b", "e")
	f.setGroups(otherZone, "a", "d")
	assert.ErrorContains(t, <-waiting, "no longer")
}
