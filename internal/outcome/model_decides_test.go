package outcome

import (
	"testing"
)

// calmStep has no deaths, freezes or repairs; messages are still lost,
// repeated and reordered.
func (w *world) calmStep(begin bool) {
	switch roll := w.random.IntN(100); {
	case roll < 80 || !begin && roll < 98:
		w.deliver()
	case roll < 85 || !begin:
		w.timeout()
	default:
		w.begin()
	}
}

// Several entries get the same request at once. Each one meets another's
// undecided intent, says "in flight" and gives up its own: nobody runs it, and
// all repeats are told "in flight" for as long as these entries live. Whoever
// gives up must have seen the other's intent decided.
func TestModelDecides(t *testing.T) {
	for seed := range uint64(1000) {
		w := newWorld(seed, faultNone)
		for range 100 {
			w.push()
		}
		for range 200 {
			w.calmStep(true)
		}
		for step := 0; !w.answered(); step++ {
			w.calmStep(false)
			if step > 200_000 {
				t.Fatalf("seed %d: claims go on for ever", seed)
			}
		}
		if w.audit.broken != nil {
			t.Fatalf("seed %d: %v", seed, w.audit.broken)
		}
		for key, claims := range w.claimed() {
			if k := w.audit.known(key); k.run == "" && !k.notRun {
				t.Fatalf("seed %d: none of %d claims of key %d may run", seed, claims, key[15])
			}
		}
	}
}

func (w *world) answered() bool {
	for _, n := range w.nodes {
		for _, m := range n.active {
			if !m.done {
				return false
			}
		}
	}
	return true
}

// claimed counts the claims of each key.
func (w *world) claimed() map[Key]int {
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
