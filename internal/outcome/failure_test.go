package outcome

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// twoPhases makes claims prepare first, so that a test can stop them between
// the phases.
var twoPhases = Options{NoFast: true, Call: 50 * time.Millisecond}

func newFive(t *testing.T, o Options) *testFleet {
	f := newTestFleet(t, o, "a", "b", "c", "d", "e")
	f.setGroups("a", "b", "c")
	f.awaitReady(t, 3)
	return f
}

func (f *testFleet) claim(t *testing.T, entry fleet.InstanceID, c Claim) (Verdict, Record) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	verdict, record, err := f.ledger(entry).Claim(ctx, c)
	assert.NilError(t, err)
	return verdict, record
}

// An entry dies before its claim has reached a replica. The caller repeats at
// another entry, and its request runs there.
func TestEntryKilledBeforeIntent(t *testing.T) {
	f := newFive(t, twoPhases)
	for _, to := range []fleet.InstanceID{"a", "b", "c"} {
		f.setCut("d", to, true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _, err := f.ledger("d").Claim(ctx, claimOf("slip", "attempt-1"))
	assert.Assert(t, err != nil)
	f.kill("d")
	verdict, _ := f.claim(t, "e", claimOf("slip", "attempt-2"))
	assert.Equal(t, verdict, VerdictRun)
}

// An entry has its intent decided and dies: before it dispatched, while the
// request ran, or after it answered and before it recorded the outcome. The
// ledger can't tell these apart. All repeats at other entries must agree that
// the request may have run; none may run it or say "not run".
func TestEntryKilledAfterIntent(t *testing.T) {
	for _, o := range []Options{{}, twoPhases} {
		f := newFive(t, o)
		f.claim(t, "d", claimOf("warm-up", "attempt-0"))
		verdict, _ := f.claim(t, "d", claimOf("slip", "attempt-1"))
		assert.Equal(t, verdict, VerdictRun)
		f.kill("d")
		for _, entry := range []fleet.InstanceID{"a", "b", "e", "a"} {
			verdict, record := f.claim(t, entry, claimOf("slip", "attempt-2"))
			assert.Equal(t, verdict, VerdictUnknown)
			assert.Equal(t, record.Attempt, fleet.AttemptID("attempt-1"))
		}
		verdict, _, err := f.ledger("c").Forbid(t.Context(), claimOf("slip", "attempt-3"))
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictUnknown)
	}
}

// An entry dies when one replica alone has accepted its intent. Whether it was
// decided can't be known by who reads the others; the first repeat decides,
// and all later ones agree with it.
func TestEntryKilledInAccept(t *testing.T) {
	for _, reached := range []fleet.InstanceID{"a", "b", "c"} {
		f := newFive(t, twoPhases)
		f.setHold(func(from, to fleet.InstanceID, rpc string, reply bool) {
			if from == "d" && to != reached && strings.HasSuffix(rpc, "/Accept") {
				f.setCut("d", to, true)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		verdict, _, err := f.ledger("d").Claim(ctx, claimOf("slip", "attempt-1"))
		cancel()
		assert.NilError(t, err)
		assert.Equal(t, verdict, VerdictUnknown)
		f.kill("d")
		verdict, _ = f.claim(t, "e", claimOf("slip", "attempt-2"))
		if verdict == VerdictRun {
			verdict = VerdictInFlight
		}
		again, _ := f.claim(t, "a", claimOf("slip", "attempt-3"))
		assert.Equal(t, again, verdict)
	}
}

// An entry freezes in its claim, just before its accepts leave. Its lease runs
// out, its replica is replaced, and the caller's repeat runs elsewhere. When
// it wakes, its accepts arrive at last: it must not be told to run.
func TestFrozenEntryWakes(t *testing.T) {
	f := newFive(t, twoPhases)
	wake := make(chan struct{})
	frozen := make(chan struct{})
	var once sync.Once
	f.setHold(func(from, _ fleet.InstanceID, rpc string, reply bool) {
		if from == "a" && !reply && strings.HasSuffix(rpc, "/Accept") {
			once.Do(func() { close(frozen) })
			<-wake
		}
	})
	late := make(chan Verdict, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		verdict, _, _ := f.ledger("a").Claim(ctx, claimOf("slip", "attempt-1"))
		late <- verdict
	}()
	<-frozen
	f.lose("a")
	f.setGroups("b", "c", "d")
	f.awaitReady(t, 3)
	verdict, _ := f.claim(t, "e", claimOf("slip", "attempt-2"))
	assert.Equal(t, verdict, VerdictRun)
	close(wake)
	assert.Assert(t, <-late != VerdictRun)
}

// An intent is decided by two of three replicas. One of them dies, the group
// is repaired, and the other one dies right after. A repeat must still find
// the intent.
func TestSecondReplicaLostAfterRepair(t *testing.T) {
	f := newFive(t, twoPhases)
	f.setCut("d", "c", true)
	verdict, _ := f.claim(t, "d", claimOf("slip", "attempt-1"))
	assert.Equal(t, verdict, VerdictRun)
	f.setCut("d", "c", false)
	f.kill("a")
	f.setGroups("b", "c", "e")
	f.awaitReady(t, 3)
	f.kill("b")
	f.setGroups("c", "e", "d")
	f.awaitReady(t, 3)
	verdict, record := f.claim(t, "e", claimOf("slip", "attempt-2"))
	assert.Equal(t, verdict, VerdictInFlight)
	assert.Equal(t, record.Attempt, fleet.AttemptID("attempt-1"))
}

// Two replicas die before the first is repaired, and with them the only copies
// of an intent. A repeat finds nothing: it must be told "unknown", neither run
// nor "not run".
func TestHistoryLost(t *testing.T) {
	f := newFive(t, twoPhases)
	f.setCut("d", "c", true)
	verdict, _ := f.claim(t, "d", claimOf("slip", "attempt-1"))
	assert.Equal(t, verdict, VerdictRun)
	f.kill("a")
	f.kill("b")
	f.setGroups("c", "d", "e")
	f.awaitReady(t, 3)
	verdict, _ = f.claim(t, "e", claimOf("slip", "attempt-2"))
	assert.Equal(t, verdict, VerdictUnknown)
	verdict, _, err := f.ledger("c").Forbid(t.Context(), claimOf("slip", "attempt-3"))
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictUnknown)
}

// A history was lost just now, and the entry's clock is hours ahead of the
// control group's. Were it to judge by its own clock that the lost records have
// aged, a call whose record was lost would run again.
func TestHistoryLostByAnotherClock(t *testing.T) {
	f := newFive(t, Options{})
	c := claimOf("slip", "attempt-1")
	f.mu.Lock()
	f.groups[ShardOf(c.Key, testZones)].current.HistoryLostMs = time.Now().Add(-5 * time.Hour).UnixMilli()
	f.mu.Unlock()
	f.change(func(*membership.State) {})
	verdict, _ := f.claim(t, "d", c)
	assert.Equal(t, verdict, VerdictUnknown)
}

// The network between an entry and two replicas fails in one direction or
// both while it claims. With nothing accepted the answer is an error. Once an
// accept may have arrived it is "unknown", and after the network heals the
// record is settled, so that repeats are told "not run", truly.
func TestCutWhileClaiming(t *testing.T) {
	cases := map[string]struct {
		there, back bool
		at          string
		want        Verdict
	}{
		"requests lost from the start": {there: true, at: "/Prepare", want: VerdictUnset},
		"replies lost from the start":  {back: true, at: "/Prepare", want: VerdictUnset},
		"both lost from the start":     {there: true, back: true, at: "/Prepare", want: VerdictUnset},
		"requests lost at the accept":  {there: true, at: "/Accept", want: VerdictUnknown},
		"replies lost at the accept":   {back: true, at: "/Accept", want: VerdictUnknown},
		"both lost at the accept":      {there: true, back: true, at: "/Accept", want: VerdictUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFive(t, twoPhases)
			cutOff := func(cut bool) {
				for _, other := range []fleet.InstanceID{"a", "b", "c"} {
					f.setCut("d", other, cut && c.there)
					f.setCut(other, "d", cut && c.back)
				}
			}
			f.setHold(func(from, _ fleet.InstanceID, rpc string, reply bool) {
				if from == "d" && !reply && strings.HasSuffix(rpc, c.at) {
					cutOff(true)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			verdict, _, err := f.ledger("d").Claim(ctx, claimOf("slip", "attempt-1"))
			assert.Equal(t, verdict, c.want)
			assert.Equal(t, err != nil, c.want == VerdictUnset)
			f.setHold(nil)
			cutOff(false)
			if c.want == VerdictUnset {
				verdict, _ = f.claim(t, "e", claimOf("slip", "attempt-2"))
				assert.Equal(t, verdict, VerdictRun)
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
		verdict, record, err := f.ledger("e").Lookup(t.Context(), testTeam, claimOf(key, "any").Key, testZones)
		assert.NilError(t, err)
		if verdict == VerdictNotRun || record.Outcome == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the record was not settled")
}

// Callers send the same keys to all entries at once while operators forbid
// them. For each key one attempt may run, or "not run" is said, never both.
func TestClaimsRace(t *testing.T) {
	f := newFive(t, Options{})
	const keys = 60
	var mu sync.Mutex
	runs := make(map[string]int)
	notRun := make(map[string]int)
	var group sync.WaitGroup
	for n := range keys {
		key := fmt.Sprint("slip-", n)
		for _, entry := range []fleet.InstanceID{"a", "b", "c", "d", "e"} {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				c := claimOf(key, fmt.Sprint("attempt-", key, entry))
				verdict, _, err := VerdictUnset, Record{}, error(nil)
				if entry == "e" && n%2 == 0 {
					verdict, _, err = f.ledger(entry).Forbid(ctx, c)
				} else {
					verdict, _, err = f.ledger(entry).Claim(ctx, c)
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Errorf("key %s at %s: %v", key, entry, err)
				}
				if verdict == VerdictRun {
					runs[key]++
				}
				if verdict == VerdictNotRun {
					notRun[key]++
				}
			})
		}
	}
	group.Wait()
	for n := range keys {
		key := fmt.Sprint("slip-", n)
		assert.Assert(t, runs[key] <= 1, "%d attempts of %s may run", runs[key], key)
		assert.Assert(t, runs[key] == 0 || notRun[key] == 0, "%s runs and was answered not run", key)
		assert.Assert(t, runs[key] == 1 || notRun[key] > 0, "%s was never decided", key)
	}
}

// A group names a replica whose process has moved to a zone that the team's
// data may not touch. No byte may go there, and claims go on with the others.
func TestNoBytesLeaveTheZones(t *testing.T) {
	f := newFive(t, Options{})
	f.change(func(s *membership.State) {
		moved := s.View.Instances["c"]
		moved.Zone = "yongkang-hall"
		s.View.Instances["c"] = moved
	})
	f.mu.Lock()
	f.calls["c"] = 0
	f.mu.Unlock()
	c := claimOf("slip", "attempt-1")
	verdict, _ := f.claim(t, "d", c)
	assert.Equal(t, verdict, VerdictRun)
	assert.NilError(t, f.ledger("d").Finish(t.Context(), c, pb.OutcomeKind_OUTCOME_KIND_COMPLETED, 200))
	verdict, _, err := f.ledger("e").Lookup(t.Context(), testTeam, c.Key, testZones)
	assert.NilError(t, err)
	assert.Equal(t, verdict, VerdictRecorded)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.calls["c"], 0)
}
