package outcome

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func newClaim(key, attempt string) Claim {
	return Claim{
		Key:            KeyFor([]byte("secret"), testTeam, key),
		Team:           testTeam,
		PermittedZones: testZones,
		Attempt:        fleet.AttemptID(attempt),
		Endpoint:       "bank-1",
	}
}

func (f *testFleet) service(name fleet.InstanceID) *Service { return f.nodes[name].service }

func (f *testFleet) claim(t *testing.T, entry fleet.InstanceID, c Claim) (Verdict, Record) {
	t.Helper()
	verdict, record, err := f.claimWithin(t, 5*time.Second, entry, c)
	assert.NilError(t, err)
	return verdict, record
}

func (f *testFleet) claimWithin(t *testing.T, d time.Duration, entry fleet.InstanceID, c Claim) (Verdict, Record, error) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return f.service(entry).Claim(ctx, c)
}

// assertClaim checks the verdict of a claim.
func (f *testFleet) assertClaim(t *testing.T, entry fleet.InstanceID, c Claim, want Verdict) Record {
	t.Helper()
	verdict, record := f.claim(t, entry, c)
	assert.Equal(t, verdict, want)
	return record
}

// assertLookup checks the verdict of a lookup of the claim's key.
func (f *testFleet) assertLookup(t *testing.T, entry fleet.InstanceID, c Claim, want Verdict) {
	t.Helper()
	verdict, _, err := f.service(entry).Lookup(t.Context(), c.Team, c.Key, c.PermittedZones)
	assert.NilError(t, err)
	assert.Equal(t, verdict, want)
}

// assertForbid checks the verdict of forbidding the claim's key.
func (f *testFleet) assertForbid(t *testing.T, entry fleet.InstanceID, c Claim, want Verdict) {
	t.Helper()
	verdict, _, err := f.service(entry).Forbid(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, verdict, want)
}

// A caller repeats a request at another entry before and after its first attempt has
// ended. Only the first attempt may run; the repeat must be told "in flight", then the
// recorded outcome.
func TestRepeatAtAnotherEntry(t *testing.T) {
	f := newTestFleet(t, Options{}, "a", "b", "c")
	first := newClaim("slip", "attempt-1")
	f.assertClaim(t, "a", first, VerdictRun)

	record := f.assertClaim(t, "b", newClaim("slip", "attempt-2"), VerdictInFlight)
	assert.Equal(t, record.Attempt, first.Attempt)

	err := f.service("a").Finish(t.Context(), first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 201)
	assert.NilError(t, err)
	for _, entry := range []fleet.InstanceID{"a", "b", "c"} {
		record := f.assertClaim(t, entry, newClaim("slip", fmt.Sprintf("later-%s", entry)), VerdictRecorded)
		assert.Equal(t, record.Outcome, pb.OutcomeKind_OUTCOME_KIND_COMPLETED)
		assert.Equal(t, record.StatusCode, 201)
		f.assertLookup(t, entry, first, VerdictRecorded)
	}
}

// A caller looks up an unclaimed key, then an operator forbids the key. The
// lookup must leave no record; after the tombstone no attempt may run.
func TestForbiddenNeverRuns(t *testing.T) {
	f := newTestFleet(t, Options{}, "a", "b", "c")
	c := newClaim("slip", "attempt-1")
	f.assertLookup(t, "a", c, VerdictUnset)

	f.assertForbid(t, "b", c, VerdictNotRun)
	f.assertClaim(t, "a", c, VerdictNotRun)
	f.assertLookup(t, "c", c, VerdictNotRun)
}

// An entry that is a replica is cut off from the two others, and a caller sends it a
// request. No accept was sent, so the answer is an error: the request has certainly not
// run.
func TestCutOffBeforeAccept(t *testing.T) {
	f := newTestFleet(t, Options{DisableFastPath: true, CallTimeout: 20 * time.Millisecond}, "a", "b", "c")
	f.net.SetCut(true, "a", "b", "c")
	_, _, err := f.claimWithin(t, 200*time.Millisecond, "a", newClaim("slip", "attempt-1"))
	assert.Assert(t, err != nil)
	f.assertClaim(t, "b", newClaim("slip", "attempt-2"), VerdictRun)
}
