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

func claimOf(key, attempt string) Claim {
	return Claim{
		Key:       KeyFor([]byte("secret"), testTeam, key),
		Team:      testTeam,
		Permitted: testZones,
		Attempt:   fleet.AttemptID(attempt),
		Endpoint:  "bank-1",
	}
}

func (f *testFleet) ledger(name fleet.InstanceID) *Service { return f.nodes[name].service }

func (f *testFleet) claim(t *testing.T, entry fleet.InstanceID, c Claim) (Verdict, Record) {
	t.Helper()
	verdict, record, err := f.claimWithin(t, 5*time.Second, entry, c)
	assert.NilError(t, err)
	return verdict, record
}

func (f *testFleet) claimWithin(t *testing.T, d time.Duration, entry fleet.InstanceID, c Claim) (Verdict, Record, error) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	return f.ledger(entry).Claim(ctx, c)
}

// claims checks the verdict of a claim.
func (f *testFleet) claims(t *testing.T, entry fleet.InstanceID, c Claim, want Verdict) Record {
	t.Helper()
	verdict, record := f.claim(t, entry, c)
	assert.Equal(t, verdict, want)
	return record
}

// looksUp checks the verdict of a lookup of the claim's key.
func (f *testFleet) looksUp(t *testing.T, entry fleet.InstanceID, c Claim, want Verdict) {
	t.Helper()
	verdict, _, err := f.ledger(entry).Lookup(t.Context(), c.Team, c.Key, c.Permitted)
	assert.NilError(t, err)
	assert.Equal(t, verdict, want)
}

// forbids checks the verdict of forbidding the claim's key.
func (f *testFleet) forbids(t *testing.T, entry fleet.InstanceID, c Claim, want Verdict) {
	t.Helper()
	verdict, _, err := f.ledger(entry).Forbid(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, verdict, want)
}

// A caller sends its pickup slip, and sends it again to another entry before
// and after the first run has ended. Only the first may run; the repeat is
// told that it is in flight, then its recorded outcome.
func TestRepeatAtAnotherEntry(t *testing.T) {
	f := newTestFleet(t, Options{}, "a", "b", "c")
	first := claimOf("slip", "attempt-1")
	f.claims(t, "a", first, VerdictRun)

	record := f.claims(t, "b", claimOf("slip", "attempt-2"), VerdictInFlight)
	assert.Equal(t, record.Attempt, first.Attempt)

	err := f.ledger("a").Finish(t.Context(), first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 201)
	assert.NilError(t, err)
	for _, entry := range []fleet.InstanceID{"a", "b", "c"} {
		record := f.claims(t, entry, claimOf("slip", fmt.Sprintf("later-%s", entry)), VerdictRecorded)
		assert.Equal(t, record.Outcome, pb.OutcomeKind_OUTCOME_KIND_COMPLETED)
		assert.Equal(t, record.StatusCode, 201)
		f.looksUp(t, entry, first, VerdictRecorded)
	}
}

// A caller asks after a key that nobody claimed, then an operator forbids it.
// The lookup leaves no record; after the tombstone no attempt may run.
func TestForbiddenNeverRuns(t *testing.T) {
	f := newTestFleet(t, Options{}, "a", "b", "c")
	c := claimOf("slip", "attempt-1")
	f.looksUp(t, "a", c, VerdictUnset)

	f.forbids(t, "b", c, VerdictNotRun)
	f.claims(t, "a", c, VerdictNotRun)
	f.looksUp(t, "c", c, VerdictNotRun)
}

// An entry is cut off from the two other replicas and a caller sends it a
// request. No accept has left, so the answer is an error: truly not run.
func TestCutOffBeforeAccept(t *testing.T) {
	f := newTestFleet(t, Options{DisableFastPath: true, CallTimeout: 20 * time.Millisecond}, "a", "b", "c")
	f.net.SetCut(true, "a", "b", "c")
	_, _, err := f.claimWithin(t, 200*time.Millisecond, "a", claimOf("slip", "attempt-1"))
	assert.Assert(t, err != nil)
	f.claims(t, "b", claimOf("slip", "attempt-2"), VerdictRun)
}
