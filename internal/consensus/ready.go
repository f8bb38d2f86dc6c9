package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Ready is work for the caller of a Core, in the order of its fields: persist
// and sync Snapshot, HardState and Entries; only then send Messages, which rely
// on the persisted state; then restore Snapshot, apply Committed, answer Reads,
// and call Advance.
type Ready struct {
	// Snapshot replaces the whole state and log; nil if there is none.
	Snapshot *pb.Snapshot
	// HardState is nil if term and vote are unchanged and there are neither
	// Entries nor a Snapshot.
	HardState *pb.HardState
	// Entries extend the persisted log, or overwrite it from their first index.
	Entries   []*pb.LogEntry
	Messages  []*pb.ConsensusMessage
	Committed []*pb.LogEntry
	Reads     []ReadResult
}

// NeedsSync reports whether r has anything to persist before sending Messages.
func (r Ready) NeedsSync() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

// ReadResult is the outcome of a Read. If OK, the state at Index is current as
// of some moment after the Read began; otherwise leadership was not confirmed.
type ReadResult struct {
	ID    uint64
	Index uint64
	OK    bool
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.log.incoming != nil || c.hardStateChanged() || c.log.stable < c.log.last() ||
		len(c.messages) > 0 || c.log.applied < c.log.commit || len(c.readResults) > 0
}

// Ready returns the pending work. Until Advance, only read-only methods may be
// called.
func (c *Core) Ready() Ready {
	r := Ready{
		Snapshot:  c.log.incoming,
		Entries:   c.log.unstable(),
		Messages:  c.messages,
		Committed: c.log.unapplied(),
		Reads:     c.readResults,
	}
	if c.hardStateChanged() || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = c.hardState()
	}
	c.messages, c.readResults = nil, nil
	return r
}

// Advance records that r was processed completely.
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
