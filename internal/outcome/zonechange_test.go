package outcome

import (
	"context"
	"strings"
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
	verdict, _ := f.claim(t, "a", first)
	assert.Equal(t, verdict, VerdictRun)
	assert.NilError(t, f.ledger("a").Finish(t.Context(), first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 201))

	f.setZones(twoZones, "b", "c", "e")
	f.recorded(t, twoZones, "b", "c", "e")
	verdict, _ = f.claim(t, "b", under(twoZones, claimOf("second slip", "attempt-2")))
	assert.Equal(t, verdict, VerdictRun)
	verdict, _ = f.claim(t, "e", under(twoZones, claimOf("second slip", "attempt-3")))
	assert.Equal(t, verdict, VerdictInFlight)

	f.setZones(testZones, "a", "b", "c")
	f.recorded(t, testZones, "a", "b", "d")
	verdict, record := f.claim(t, "d", claimOf("second slip", "attempt-4"))
	assert.Equal(t, verdict, VerdictInFlight)
	assert.Equal(t, record.Attempt, fleet.AttemptID("attempt-2"))
	verdict, _, err := f.ledger("d").Forbid(t.Context(), claimOf("third slip", "attempt-5"))
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictNotRun)
	verdict, _, err = f.ledger("d").Lookup(t.Context(), testTeam, claimOf("fourth slip", "any").Key, testZones)
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictUnset)
	verdict, _ = f.claim(t, "d", claimOf("fourth slip", "attempt-6"))
	assert.Equal(t, verdict, VerdictRun)
}

// recorded tells that the first slip's record is known at the entries.
func (f *testFleet) recorded(t *testing.T, zones fleet.ZoneSet, entries ...fleet.InstanceID) {
	t.Helper()
	for _, entry := range entries {
		c := under(zones, claimOf("slip", "later-"+string(entry)))
		verdict, record := f.claim(t, entry, c)
		assert.Equal(t, verdict, VerdictRecorded)
		assert.Equal(t, record.StatusCode, 201)
		verdict, _, err := f.ledger(entry).Lookup(t.Context(), testTeam, c.Key, zones)
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictRecorded)
		verdict, _, err = f.ledger(entry).Forbid(t.Context(), c)
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictRecorded)
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
	f.setHold(func(from, _ fleet.InstanceID, rpc string, reply bool) {
		if from == "a" && strings.HasSuffix(rpc, "Accept") && !reply {
			held <- struct{}{}
			<-release
		}
	})
	old := make(chan Verdict, 1)
	go func() {
		verdict, _, _ := f.ledger("a").Claim(t.Context(), claimOf("slip", "attempt-old"))
		old <- verdict
	}()
	<-held
	verdict, _ := f.claim(t, "e", under(twoZones, claimOf("slip", "attempt-new")))
	assert.Equal(t, verdict, VerdictRun)
	close(release)
	assert.Equal(t, <-old, VerdictUnknown)
	verdict, _ = f.claim(t, "b", under(twoZones, claimOf("slip", "attempt-late")))
	assert.Equal(t, verdict, VerdictInFlight)
}

// A team's zones are narrowed so far that most replicas of its former records
// are outside. These are no longer asked. No key can be told from one that ran
// before, so "unknown" is answered; a call whose key is its own runs.
func TestFormerRecordsOutsideTheZones(t *testing.T) {
	f := newFive(t, Options{})
	first := claimOf("slip", "attempt-1")
	verdict, _ := f.claim(t, "a", first)
	assert.Equal(t, verdict, VerdictRun)
	f.setZones(oneZone, "b", "e")
	before := f.called("a") + f.called("c") + f.called("d")
	for _, key := range []string{"slip", "new slip"} {
		c := under(oneZone, claimOf(key, "attempt-"+key))
		verdict, record := f.claim(t, "b", c)
		assert.Equal(t, verdict, VerdictUnknown)
		assert.Equal(t, record.Attempt, fleet.AttemptID(""))
		verdict, _, err := f.ledger("e").Lookup(t.Context(), testTeam, c.Key, oneZone)
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictUnknown)
		verdict, _, err = f.ledger("e").Forbid(t.Context(), c)
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictUnknown)
	}
	fresh := under(oneZone, claimOf("own key", "attempt-own"))
	fresh.Fresh = true
	verdict, _ = f.claim(t, "b", fresh)
	assert.Equal(t, verdict, VerdictRun)
	// The first call ends: its outcome goes to no replica outside either.
	short, cancel := contextFor(t, 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, f.ledger("b").Finish(short, first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 200) != nil)
	assert.Equal(t, f.called("a")+f.called("c")+f.called("d"), before)
}

// A group of former zones in which no entry ever was has no records: a team
// whose zones were mistyped must not wait for them. A claim that still names
// the old zones is refused.
func TestFormerZonesWithoutReplicas(t *testing.T) {
	f := newFive(t, Options{})
	f.setZones(otherZone)
	f.setZones(twoZones, "b", "c", "e")
	verdict, _ := f.claim(t, "b", under(twoZones, claimOf("slip", "attempt-1")))
	assert.Equal(t, verdict, VerdictRun)
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
	f.await(t, "claim under way", func() bool { return d.numbers.Load() > 0 })
	f.setZones(fleet.NewZoneSet("durgapur", "howrah"), "a", "b", "e")
	for n := range uint32(fleet.LedgerShards) {
		f.setGroup(fleet.LedgerShard{ZoneClass: otherZone.Class(), Shard: n}, "a", "d")
	}
	assert.ErrorContains(t, <-waiting, "no longer")
}

func (f *testFleet) called(name fleet.InstanceID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[name]
}

func contextFor(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), d)
}
