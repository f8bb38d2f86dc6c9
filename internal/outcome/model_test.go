package outcome

import (
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// modelRunsEnv is the environment variable that sets the number of runs, to take more
// than CI does.
const modelRunsEnv = "HYSSOPSAIL_MODEL_RUNS"

const (
	defaultModelRuns = 3000
	modelSteps       = 1500
)

func modelRunCount(t *testing.T) int {
	text := os.Getenv(modelRunsEnv)
	if text == "" {
		return defaultModelRuns
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// A request that must not be repeated is sent to several entries while messages are
// lost, duplicated and reordered, entries freeze, resume, crash and restart without
// their records, and replicas are replaced one after another. If any rule of the ledger
// has a gap, two attempts run, or a caller is told "not run" of a request that ran.
func TestModel(t *testing.T) {
	checkModel(t, newWorld)
}

// As TestModel, while the team's permitted zones change repeatedly: some entries claim
// under the old zones, some under the new, in different shards. Two attempts run unless
// claims in different shards meet somewhere.
func TestModelZoneChanges(t *testing.T) {
	checkModel(t, newZoneChangeWorld)
}

func checkModel(t *testing.T, make func(seed uint64, f fault) *world) {
	runs := modelRunCount(t)
	total := newAudit()
	for seed := range uint64(runs) {
		w := make(seed, faultNone)
		if err := w.run(modelSteps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for v, n := range w.audit.verdictCounts {
			total.verdictCounts[v] += n
		}
	}
	t.Logf("%d runs: %v", runs, total.verdictCounts)
	for _, v := range []Verdict{VerdictUnset, VerdictRun, VerdictInFlight, VerdictRecorded, VerdictUnknown, VerdictNotRun} {
		assert.Assert(t, total.verdictCounts[v] > runs/50, "verdict %s occurred too rarely", v)
	}
}

// Each guard is disabled in turn. The model check must find a violation, or it wouldn't
// notice that the guard is missing.
func TestModelSeesEachGuardMissing(t *testing.T) {
	for _, c := range []struct {
		name  string
		make  func(seed uint64, f fault) *world
		fault fault
	}{
		{"promise check", newWorld, faultNoPromise},
		{"epoch seal", newWorld, faultNoSeal},
		{"copy from a majority", newWorld, faultOneSource},
		{"ready gate", newWorld, faultNoReadyGate},
		{"ballot for each proposer", newWorld, faultSharedBallots},
		{"fast ballot needs all replicas", newWorld, faultFastMajority},
		{"fast value binds", newWorld, faultFastNeverBinds},
		{"history lost", newWorld, faultForgetHistoryLoss},
		{"former shards come first", newZoneChangeWorld, faultSkipFormer},
		{"former shards are sealed", newZoneChangeWorld, faultOnlyReadFormer},
		{"promise check, moving", newZoneChangeWorld, faultNoPromise},
		{"copy from a majority, moving", newZoneChangeWorld, faultOneSource},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			expectViolation(t, c.make, c.fault)
		})
	}
}

func expectViolation(t *testing.T, make func(seed uint64, f fault) *world, f fault) {
	for seed := range uint64(200_000) {
		if err := make(seed, f).run(modelSteps); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return
		}
	}
	t.Fatal("no violation found")
}
