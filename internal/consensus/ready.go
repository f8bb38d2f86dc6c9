package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Ready is work for the owner of a Core, in the order of its fields: persist
// and sync Snapshot, HardState and Entries; only then send Messages, for they
// promise what was persisted; then restore Snapshot, apply Committed, answer
// Reads, and call Advance.
type Ready struct {
	// Snapshot replaces the whole state and log; nil when there is none.
	Snapshot *pb.Snapshot
	// HardState is nil when term and vote are unchanged and Entries is empty.
	HardState *pb.HardState
	// Entries follow the persisted log, or overwrite it from their first index.
	Entries   []*pb.LogEntry
	Messages  []*pb.ConsensusMessage
	Committed []*pb.LogEntry
	Reads     []ReadResult
}

// NeedsSync tells whether anything in r must be durable before sending.
func (r Ready) NeedsSync() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

// ReadResult ends a Read. When OK, the state after Index is current as of
// some moment after the Read began; otherwise leadership was not confirmed.
type ReadResult struct {
	ID    uint64
	Index uint64
	OK    bool
}

// HasReady tells whether Ready has work.
func (c *Core) HasReady() bool {
	return c.log.incoming != nil || c.hardStateChanged() || c.log.stable < c.log.last() ||
		len(c.messages) > 0 || c.log.applied < c.log.commit || len(c.results) > 0
}

// Ready takes the work that is due. No other method may be called until
// Advance, save the read-only ones.
func (c *Core) Ready() Ready {
	r := Ready{
		Snapshot:  c.log.incoming,
		Entries:   c.log.unstable(),
		Messages:  c.messages,
		Committed: c.log.unapplied(),
		Reads:     c.results,
	}
	if c.hardStateChanged() || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = c.hardState()
	}
	c.messages, c.results = nil, nil
	return r
}

// Advance tells that all of r was carried out.
func (c *Core) Advance(now time.Time, r Ready) {
	if r.HardState != nil {
		c.savedTerm, c.savedVote = r.HardState.Term, r.HardState.VotedFor
	}
	if r.Snapshot != nil && c.log.incoming == r.Snapshot {
		c.log.incoming = nil
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = r.Entries[n-1].Index
	}
	if n := len(r.Committed); n > 0 {
		c.log.applied = r.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceLeader(now)
	}
}

func (c *Core) hardStateChanged() bool {
	return c.term != c.savedTerm || c.vote != c.savedVote
}

func (c *Core) hardState() *pb.HardState {
	return &pb.HardState{Term: c.term, VotedFor: c.vote, Commit: c.log.commit}
}
