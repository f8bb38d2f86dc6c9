package outcome

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// In newFive a and d are in durgapur, b and e in howrah, c in barasat; a, b
// and c hold the records.
var (
	twoZones  = fleet.NewZoneSet("howrah", "barasat")
	oneZone   = fleet.NewZoneSet("howrah")
	otherZone = fleet.NewZoneSet("durgapur")
)

func under(zones fleet.ZoneSet, c Claim) Claim {
	c.Permitted = zones
	return c
}

// A pickup slip runs, its team's zones are narrowed and widened again, and the
// slip is sent again after each change. Records are elsewhere now; the repeat
// must find that of the first run, and a new slip must run once under each.
func TestRepeatAfterZoneChanges(t *testing.T) {
	f := newFive(t, Options{})
	first := claimOf("slip", "attempt-1")
	f.claims(t, "a", first, VerdictRun)
	assert.NilError(t, f.ledger("a").Finish(t.Context(), first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 201))

	f.setZones(twoZones, "b", "c", "e")
	f.recorded(t, twoZones, "b", "c", "e")
	f.claims(t, "b", under(twoZones, claimOf("second slip", "attempt-2")), VerdictRun)
	f.claims(t, "e", under(twoZones, claimOf("second slip", "attempt-3")), VerdictInFlight)

	f.setZones(testZones, "a", "b", "c")
	f.recorded(t, testZones, "a", "b", "d")
	record := f.claims(t, "d", claimOf("second slip", "attempt-4"), VerdictInFlight)
	assert.Equal(t, record.Attempt, fleet.AttemptID("attempt-2"))
	f.forbids(t, "d", claimOf("third slip", "attempt-5"), VerdictNotRun)
	f.looksUp(t, "d", claimOf("fourth slip", "any"), VerdictUnset)
	f.claims(t, "d", claimOf("fourth slip", "attempt-6"), VerdictRun)
}

// recorded tells that the first slip's record is known at the entries.
func (f *testFleet) recorded(t *testing.T, zones fleet.ZoneSet, entries ...fleet.InstanceID) {
	t.Helper()
	for _, entry := range entries {
		c := under(zones, claimOf("slip", "later-"+string(entry)))
		record := f.claims(t, entry, c, VerdictRecorded)
		assert.Equal(t, record.StatusCode, 201)
		f.looksUp(t, entry, c, VerdictRecorded)
		f.forbids(t, entry, c, VerdictRecorded)
	}
}

// An entry that hasn't applied the change of zones claims a slip under the old
// ones, and its accepts are slow. A repeat comes to an entry under the new
// ones meanwhile. Each looks in other shards; one of the two may run.
func TestOldAndNewZonesClaimOneKey(t *testing.T) {
	f := newFive(t, twoPhases)
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
		verdict, _, _ := f.ledger("a").Claim(t.Context(), claimOf("slip", "attempt-old"))
		old <- verdict
	}()
	<-held
	f.claims(t, "e", under(twoZones, claimOf("slip", "attempt-new")), VerdictRun)
	close(release)
	assert.Equal(t, <-old, VerdictUnknown)
	f.claims(t, "b", under(twoZones, claimOf("slip", "attempt-late")), VerdictInFlight)
}

// A team's zones are narrowed so far that most replicas of its former records
// are outside. These are no longer asked. No key can be told from one that ran
// before, so "unknown" is answered; a call whose key is its own runs.
func TestFormerRecordsOutsideTheZones(t *testing.T) {
	f := newFive(t, Options{})
	first := claimOf("slip", "attempt-1")
	f.claims(t, "a", first, VerdictRun)
	// The claim is answered by a and one of b and c; the last call to the other
	// may still be on its way, and would be counted below.
	f.await(t, "the first claim's last call", func() bool { return f.net.Calls("b") == f.net.Calls("c") })
	f.setZones(oneZone, "b", "e")
	before := f.net.Calls("a") + f.net.Calls("c") + f.net.Calls("d")
	for _, key := range []string{"slip", "new slip"} {
		c := under(oneZone, claimOf(key, "attempt-"+key))
		record := f.claims(t, "b", c, VerdictUnknown)
		assert.Equal(t, record.Attempt, fleet.AttemptID(""))
		f.looksUp(t, "e", c, VerdictUnknown)
		f.forbids(t, "e", c, VerdictUnknown)
	}
	fresh := under(oneZone, claimOf("own key", "attempt-own"))
	fresh.Fresh = true
	f.claims(t, "b", fresh, VerdictRun)
	// The first call ends: its outcome goes to no replica outside either.
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, f.ledger("b").Finish(short, first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 200) != nil)
	assert.Equal(t, f.net.Calls("a")+f.net.Calls("c")+f.net.Calls("d"), before)
}

// A group of former zones in which no entry ever was has no records: a team
// whose zones were mistyped must not wait for them. A claim that still names
// the old zones is refused.
func TestFormerZonesWithoutReplicas(t *testing.T) {
	f := newFive(t, Options{})
	f.setZones(otherZone)
	f.setZones(twoZones, "b", "c", "e")
	f.claims(t, "b", under(twoZones, claimOf("slip", "attempt-1")), VerdictRun)
	_, _, err := f.ledger("b").Claim(t.Context(), under(otherZone, claimOf("other slip", "attempt-2")))
	assert.ErrorContains(t, err, "no longer")
}

// A claim under the old zones waits for the replicas of its group. The zones
// change, then an entry joins these: the claim must not go on there, since
// others have passed the group as one without records.
func TestClaimWaitsAcrossAChangeOfZones(t *testing.T) {
	f := newFive(t, Options{})
	f.setZones(otherZone)
	waiting := make(chan error, 1)
	slip := under(otherZone, claimOf("slip", "attempt-1"))
	slip.Fresh = true // its own key: the records of before don't matter
	go func() {
		_, _, err := f.ledger("d").Claim(t.Context(), slip)
		waiting <- err
	}()
	d := f.ledger("d")
	f.await(t, "claim under way", func() bool { return d.lastProposerID.Load() > 0 })
	f.setZones(fleet.NewZoneSet("durgapur", "howrah"), "a", "b", "e")
	f.setGroups(otherZone, "a", "d")
	assert.ErrorContains(t, <-waiting, "no longer")
}
