package outcome

import (
	"testing"
)

// stepWithoutFailures takes a step without crashes, freezes or repairs. Messages are
// still lost, duplicated and reordered.
func (w *world) stepWithoutFailures(begin bool) {
	switch roll := w.random.IntN(100); {
	case roll < 80 || !begin && roll < 98:
		w.deliver()
	case roll < 85 || !begin:
		w.timeout()
	default:
		w.begin()
	}
}

// Several entries get the same request at once. If each gave up its own attempt on
// meeting another's undecided intent and answered "in flight", none would run the
// request, and all repeats would be answered "in flight" for as long as these entries
// live. An entry may give up only once the other's intent is decided.
func TestModelDecides(t *testing.T) {
	for seed := range uint64(1000) {
		w := newWorld(seed, faultNone)
		for range 100 {
			w.deliverState()
		}
		for range 200 {
			w.stepWithoutFailures(true)
		}
		for step := 0; !w.allDone(); step++ {
			w.stepWithoutFailures(false)
			if step > 200_000 {
				t.Fatalf("seed %d: claims do not terminate", seed)
			}
		}
		if w.audit.violation != nil {
			t.Fatalf("seed %d: %v", seed, w.audit.violation)
		}
		for key, claims := range w.claimsByKey() {
			if k := w.audit.answersOn(key); k.run == "" && !k.notRun {
				t.Fatalf("seed %d: none of %d claims of key %d may run", seed, claims, key[15])
			}
		}
	}
}

func (w *world) allDone() bool {
	for _, n := range w.nodes {
		for _, m := range n.active {
			if !m.done {
				return false
			}
		}
	}
	return true
}

// claimsByKey counts the claims of each key.
func (w *world) claimsByKey() map[Key]int {
	claims := make(map[Key]int)
	for _, n := range w.nodes {
		for _, m := range n.active {
			if m.purpose == PurposeClaim {
				claims[m.claim.Key]++
			}
		}
	}
	return claims
}
