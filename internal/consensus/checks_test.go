package consensus

import (
	"bytes"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// checks hold what must be true at every moment.
type checks struct {
	t       testing.TB
	seed    uint64
	leaders map[uint64]string       // by term
	log     map[uint64]*pb.LogEntry // committed entries by index
	known   map[uint64]uint64       // the term by whose end each was committed
	looks   int
}

func newChecks(t testing.TB, seed uint64) checks {
	return checks{t: t, seed: seed, leaders: map[uint64]string{}, log: map[uint64]*pb.LogEntry{}, known: map[uint64]uint64{}}
}

// applied: two members never apply different entries at one index.
func (c *checks) applied(h *host, e *pb.LogEntry) {
	known := c.log[e.Index]
	if known == nil {
		c.log[e.Index] = e
		c.known[e.Index] = h.core.term
		return
	}
	if known.Term != e.Term || !bytes.Equal(known.Data, e.Data) {
		c.t.Errorf("seed %d: state machine safety: %s applies entry %d of term %d, others that of term %d",
			c.seed, h.disk.id, e.Index, e.Term, known.Term)
	}
}

// look checks h after each of its steps.
func (c *checks) look(w *world, h *host) {
	if h.core.role == Leader {
		c.lookLeader(h)
	}
	c.looks++
	if c.looks%200 == 0 {
		c.logMatching(w)
	}
}

func (c *checks) lookLeader(h *host) {
	id, term := h.disk.id, h.core.term
	known, seen := c.leaders[term]
	if seen && known != id {
		c.t.Errorf("seed %d: election safety: %s and %s lead term %d", c.seed, known, id, term)
	}
	if seen {
		return
	}
	c.leaders[term] = id
	for index, e := range c.log {
		// A frozen candidate may find its votes only when later terms have
		// committed more; it must hold what earlier terms committed.
		if c.known[index] < term && index > h.core.log.offset && !h.core.log.matches(index, e.Term) {
			c.t.Errorf("seed %d: leader completeness: %s leads term %d without committed entry %d of term %d",
				c.seed, id, term, index, e.Term)
			return
		}
	}
}

// logMatching: where two logs have the same term at an index, they are equal
// up to there.
func (c *checks) logMatching(w *world) {
	for _, a := range w.hosts {
		for _, b := range w.hosts {
			if a.core != nil && b.core != nil && a != b {
				c.compare(a, b)
			}
		}
	}
}

func (c *checks) compare(a, b *host) {
	x, y := &a.core.log, &b.core.log
	agreed := false
	for index := min(x.last(), y.last()); index > max(x.offset, y.offset); index-- {
		e := x.entries[index-x.offset-1]
		f := y.entries[index-y.offset-1]
		same := e.Term == f.Term
		if same && !bytes.Equal(e.Data, f.Data) || agreed && !same {
			c.t.Errorf("seed %d: log matching: %s and %s differ at %d", c.seed, a.disk.id, b.disk.id, index)
			return
		}
		agreed = agreed || same
	}
}
