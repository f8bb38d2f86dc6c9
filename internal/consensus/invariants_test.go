package consensus

import (
	"bytes"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// invariants checks the safety properties of the protocol during a simulation.
type invariants struct {
	t             testing.TB
	seed          uint64
	leaders       map[uint64]string       // leader's disk ID by term
	committed     map[uint64]*pb.LogEntry // committed entries by index
	committedTerm map[uint64]uint64       // by index: a term by whose end the entry was committed
	checkCount    int
}

func newInvariants(t testing.TB, seed uint64) invariants {
	return invariants{t: t, seed: seed, leaders: map[uint64]string{}, committed: map[uint64]*pb.LogEntry{}, committedTerm: map[uint64]uint64{}}
}

// checkApplied verifies state machine safety: no two members apply different
// entries at the same index.
func (inv *invariants) checkApplied(h *host, e *pb.LogEntry) {
	first := inv.committed[e.Index]
	if first == nil {
		inv.committed[e.Index] = e
		inv.committedTerm[e.Index] = h.core.term
		return
	}
	if first.Term != e.Term || !bytes.Equal(first.Data, e.Data) {
		inv.t.Errorf("seed %d: state machine safety: %s applies entry %d of term %d, others that of term %d",
			inv.seed, h.disk.id, e.Index, e.Term, first.Term)
	}
}

// checkHost is called after each step of h.
func (inv *invariants) checkHost(sim *simulation, h *host) {
	if h.core.role == Leader {
		inv.checkLeader(h)
	}
	inv.checkCount++
	if inv.checkCount%200 == 0 {
		inv.checkLogMatching(sim)
	}
}

func (inv *invariants) checkLeader(h *host) {
	id, term := h.disk.id, h.core.term
	leader, seen := inv.leaders[term]
	if seen && leader != id {
		inv.t.Errorf("seed %d: election safety: %s and %s lead term %d", inv.seed, leader, id, term)
	}
	if seen {
		return
	}
	inv.leaders[term] = id
	for index, e := range inv.committed {
		// A frozen candidate may process its votes after later terms have
		// committed more entries. It must hold those committed by earlier terms.
		if inv.committedTerm[index] < term && index > h.core.log.offset && !h.core.log.matches(index, e.Term) {
			inv.t.Errorf("seed %d: leader completeness: %s leads term %d without committed entry %d of term %d",
				inv.seed, id, term, index, e.Term)
			return
		}
	}
}

// checkLogMatching verifies that two logs with the same term at an index are
// identical up to that index.
func (inv *invariants) checkLogMatching(sim *simulation) {
	for _, a := range sim.hosts {
		for _, b := range sim.hosts {
			if a.core != nil && b.core != nil && a != b {
				inv.compareLogs(a, b)
			}
		}
	}
}

func (inv *invariants) compareLogs(a, b *host) {
	x, y := &a.core.log, &b.core.log
	agreed := false
	for index := min(x.last(), y.last()); index > max(x.offset, y.offset); index-- {
		e := x.entries[index-x.offset-1]
		f := y.entries[index-y.offset-1]
		same := e.Term == f.Term
		if same && !bytes.Equal(e.Data, f.Data) || agreed && !same {
			inv.t.Errorf("seed %d: log matching: %s and %s differ at %d", inv.seed, a.disk.id, b.disk.id, index)
			return
		}
		agreed = agreed || same
	}
}
