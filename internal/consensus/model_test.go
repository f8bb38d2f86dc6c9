package consensus

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// The environment chooses how much the model check does.
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

// Clients read and write while messages are dropped, repeated and reordered,
// links are cut one way, processes crash between each two steps and freeze,
// disks are lost within the bound, and members come and go. At the end all
// faults stop. A user would see a lost or reverted change, a stale read, or a
// group that never works again.
func TestModel(t *testing.T) { runModel(t, defaultRuns, func(*world) {}) }

// Besides, leaders hand over now and then. A user would see a stale read if a
// leader kept its lease after it had asked another to stand.
func TestModelWithHandovers(t *testing.T) {
	runModel(t, defaultRuns/3, func(w *world) { w.every(time.Second, w.handOver) })
}

func runModel(t *testing.T, otherwise uint64, prepare func(*world)) {
	first := fromEnvironment(t, seedVariable, 1)
	runs := fromEnvironment(t, runsVariable, otherwise)
	steps, operations, terms := 0, 0, 0
	for seed := first; seed < first+runs; seed++ {
		w := newWorld(t, seed, 3+2*int(seed%2))
		prepare(w)
		w.live()
		steps += w.steps
		operations += len(w.history.operations)
		terms += len(w.checks.leaders)
		if t.Failed() {
			t.Fatalf("seed %d failed at %s", seed, w.now)
		}
	}
	t.Logf("%d runs, %d steps, %d operations, %d leaders", runs, steps, operations, terms)
}

// live runs a world to its end and checks it.
func (w *world) live() {
	w.every(20*time.Millisecond, w.client)
	w.every(500*time.Millisecond, w.injectFault)
	w.every(2*time.Second, w.repair)
	w.runUntil(runLength)
	w.calm = true
	w.runUntil(runLength + 30*time.Second)
	w.checkRecovered()
	w.checks.logMatching(w)
	if result := w.history.check(w.checks.log, w.order+1); result != porcupine.Ok {
		w.t.Errorf("seed %d: reads and writes are not linearizable: %s", w.checks.seed, result)
	}
}

// every repeats do at random intervals around mean; faults end when the
// world is calm.
func (w *world) every(mean time.Duration, do func()) {
	w.after(time.Duration(w.random.Int64N(int64(2*mean))), func() {
		if w.now > runLength+20*time.Second || w.calm && mean == 500*time.Millisecond {
			return
		}
		do()
		w.every(mean, do)
	})
}

// checkRecovered: once faults stop, there is a leader, every host is a voter,
// and all have applied the same.
func (w *world) checkRecovered() {
	leader := w.newestLeader()
	if leader == nil {
		w.t.Errorf("seed %d: no leader after the faults stopped", w.checks.seed)
		return
	}
	status := leader.core.Status()
	if voters(status.Membership) != len(w.hosts) || len(status.Membership.Members) != len(w.hosts) {
		w.t.Errorf("seed %d: membership %v after the faults stopped", w.checks.seed, status.Membership)
	}
	for _, h := range w.hosts {
		if own := h.core.Status(); own.Applied != status.Last {
			w.t.Errorf("seed %d: %s applied %d of %d after the faults stopped", w.checks.seed, h.disk.id, own.Applied, status.Last)
		}
	}
}
