package consensus

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Environment variables and defaults of the model check.
const (
	runsVariable = "HYSSOPSAIL_MODEL_RUNS" // number of seeds
	seedVariable = "HYSSOPSAIL_MODEL_SEED" // first seed
	defaultRuns  = 60
	runLength    = 60 * time.Second // virtual
)

func fromEnvironment(t *testing.T, name string, otherwise uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return value
}

// Clients read and write while messages are dropped, duplicated and reordered,
// links fail in one direction, processes freeze and crash between any two steps,
// disks are lost within the fault model, and members are added and removed. At
// the end all faults stop. The test guards against lost or reverted changes,
// stale reads, and a group that doesn't recover.
func TestModel(t *testing.T) { runModel(t, defaultRuns, func(*simulation) {}) }

// Like TestModel, with leadership transfers. It guards against stale reads by a
// leader that keeps its lease after it began a transfer.
func TestModelWithLeadershipTransfers(t *testing.T) {
	runModel(t, defaultRuns/3, func(sim *simulation) { sim.every(time.Second, sim.transferLeadership) })
}

func runModel(t *testing.T, otherwise uint64, prepare func(*simulation)) {
	first := fromEnvironment(t, seedVariable, 1)
	runs := fromEnvironment(t, runsVariable, otherwise)
	steps, operations, terms := 0, 0, 0
	for seed := first; seed < first+runs; seed++ {
		sim := newSimulation(t, seed, 3+2*int(seed%2))
		prepare(sim)
		sim.runAndCheck()
		steps += sim.steps
		operations += len(sim.history.operations)
		terms += len(sim.invariants.leaders)
		if t.Failed() {
			t.Fatalf("seed %d failed at %s", seed, sim.now)
		}
	}
	t.Logf("%d runs, %d steps, %d operations, %d leaders", runs, steps, operations, terms)
}

// runAndCheck runs a simulation to its end and checks the result.
func (sim *simulation) runAndCheck() {
	sim.every(20*time.Millisecond, sim.clientOperation)
	sim.every(500*time.Millisecond, sim.injectFault)
	sim.every(2*time.Second, sim.repair)
	sim.runUntil(runLength)
	sim.faultsStopped = true
	sim.runUntil(runLength + 30*time.Second)
	sim.checkRecovered()
	sim.invariants.checkLogMatching(sim)
	if result := sim.history.check(sim.invariants.committed, sim.order+1); result != porcupine.Ok {
		sim.t.Errorf("seed %d: reads and writes are not linearizable: %s", sim.invariants.seed, result)
	}
}

// every repeats do at random intervals around mean. Fault injection, which is
// recognized by its interval, ends once faultsStopped is set.
func (sim *simulation) every(mean time.Duration, do func()) {
	sim.after(time.Duration(sim.random.Int64N(int64(2*mean))), func() {
		if sim.now > runLength+20*time.Second || sim.faultsStopped && mean == 500*time.Millisecond {
			return
		}
		do()
		sim.every(mean, do)
	})
}

// checkRecovered verifies that after the end of all faults there is a leader,
// every host is a voter, and all hosts have applied the whole log.
func (sim *simulation) checkRecovered() {
	leader := sim.newestLeader()
	if leader == nil {
		sim.t.Errorf("seed %d: no leader after the faults stopped", sim.invariants.seed)
		return
	}
	status := leader.core.Status()
	if voters(status.Membership) != len(sim.hosts) || len(status.Membership.Members) != len(sim.hosts) {
		sim.t.Errorf("seed %d: membership %v after the faults stopped", sim.invariants.seed, status.Membership)
	}
	for _, h := range sim.hosts {
		if own := h.core.Status(); own.Applied != status.Last {
			sim.t.Errorf("seed %d: %s applied %d of %d after the faults stopped", sim.invariants.seed, h.disk.id, own.Applied, status.Last)
		}
	}
}
