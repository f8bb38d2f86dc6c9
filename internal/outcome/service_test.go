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

func newTrio(t *testing.T) *testFleet {
	f := newTestFleet(t, Options{}, "a", "b", "c")
	f.setGroups("a", "b", "c")
	f.awaitReady(t, 3)
	return f
}

func (f *testFleet) ledger(name fleet.InstanceID) *Service { return f.nodes[name].service }

// A caller sends its pickup slip, and sends it again to another entry before
// and after the first run has ended. Only the first may run; the repeat is
// told that it is in flight, then its recorded outcome.
func TestRepeatAtAnotherEntry(t *testing.T) {
	f := newTrio(t)
	first := claimOf("slip", "attempt-1")
	verdict, _, err := f.ledger("a").Claim(t.Context(), first)
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictRun)

	verdict, record, err := f.ledger("b").Claim(t.Context(), claimOf("slip", "attempt-2"))
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictInFlight)
	assert.Equal(t, record.Attempt, first.Attempt)

	err = f.ledger("a").Finish(t.Context(), first, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 201)
	assert.NilError(t, err)
	for _, entry := range []fleet.InstanceID{"a", "b", "c"} {
		verdict, record, err = f.ledger(entry).Claim(t.Context(), claimOf("slip", fmt.Sprintf("later-%s", entry)))
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictRecorded)
		assert.Equal(t, record.Outcome, pb.OutcomeKind_OUTCOME_KIND_COMPLETED)
		assert.Equal(t, record.StatusCode, 201)
		verdict, _, err = f.ledger(entry).Lookup(t.Context(), testTeam, first.Key, testZones)
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictRecorded)
	}
}

// A caller asks after a key that nobody claimed, then an operator forbids it.
// The lookup leaves no record; after the tombstone no attempt may run.
func TestForbiddenNeverRuns(t *testing.T) {
	f := newTrio(t)
	c := claimOf("slip", "attempt-1")
	verdict, _, err := f.ledger("a").Lookup(t.Context(), testTeam, c.Key, testZones)
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictUnset)

	verdict, _, err = f.ledger("b").Forbid(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictNotRun)
	verdict, _, err = f.ledger("a").Claim(t.Context(), c)
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictNotRun)
	verdict, _, err = f.ledger("c").Lookup(t.Context(), testTeam, c.Key, testZones)
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictNotRun)
}

// An entry is cut off from the two other replicas and a caller sends it a
// request. No accept has left, so the answer is an error: truly not run.
func TestCutOffBeforeAccept(t *testing.T) {
	f := newTestFleet(t, Options{NoFast: true, Call: 20 * time.Millisecond}, "a", "b", "c")
	f.setGroups("a", "b", "c")
	f.awaitReady(t, 3)
	for _, other := range []fleet.InstanceID{"b", "c"} {
		f.setCut("a", other, true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, _, err := f.ledger("a").Claim(ctx, claimOf("slip", "attempt-1"))
	assert.Assert(t, err != nil)
	verdict, _, err := f.ledger("b").Claim(t.Context(), claimOf("slip", "attempt-2"))
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictRun)
}
