package consensus

import (
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// MaxSnapshotBytes is the maximum data size of a snapshot that a member accepts
// from a leader.
const MaxSnapshotBytes = 1 << 30

// beginSnapshot starts to send the latest snapshot to a member that needs
// compacted entries.
func (c *Core) beginSnapshot(now time.Time, id string, p *progress) {
	if c.log.snapshot == nil {
		panic(fmt.Sprintf("consensus: no entry %d and no snapshot", p.next-1))
	}
	p.probe()
	p.mode = sendingSnapshot
	p.snapshot = c.log.snapshot
	c.sendSnapshotPart(now, id, p)
}

func (c *Core) sendSnapshotPart(now time.Time, id string, p *progress) {
	s := p.snapshot
	size := uint64(len(s.Data))
	end := min(size, p.snapshotOffset+uint64(c.config.MaxMessageBytes))
	c.send(&pb.ConsensusMessage{
		Kind: pb.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id,
		Snapshot: &pb.Snapshot{
			Index: s.Index, Term: s.Term, Membership: s.Membership,
			Data: s.Data[p.snapshotOffset:end],
		},
		SnapshotOffset: p.snapshotOffset, SnapshotSize: size,
	})
	p.sentAt = now
}

func (c *Core) handleSnapshot(now time.Time, m *pb.ConsensusMessage) {
	s := m.Snapshot
	if s.GetMembership() == nil || m.SnapshotSize > MaxSnapshotBytes {
		return
	}
	c.recordLeaderContact(now, m)
	if s.Index <= c.log.commit {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	if c.log.matches(s.Index, s.Term) {
		c.log.commit = s.Index
		c.acknowledge(m.From, s.Index)
		return
	}
	complete := c.addSnapshotPart(m)
	if complete == nil {
		c.send(&pb.ConsensusMessage{
			Kind: pb.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY, To: m.From,
			PrevIndex: s.Index, SnapshotOffset: uint64(len(c.receivedSnapshot.Data)),
		})
		return
	}
	c.receivedSnapshot = nil
	c.log.reset(complete)
	c.log.incoming = complete
	c.acknowledge(m.From, complete.Index)
}

// addSnapshotPart adds a part to the snapshot being received. It returns the
// snapshot once it is complete, and nil before. A part out of order is dropped;
// the reply tells the leader how many bytes were received. Parts from different
// leaders are never mixed, since a change of term discards received parts.
func (c *Core) addSnapshotPart(m *pb.ConsensusMessage) *pb.Snapshot {
	s := m.Snapshot
	if c.receivedSnapshot == nil || c.receivedSnapshot.Index != s.Index || c.receivedSnapshot.Term != s.Term {
		c.receivedSnapshot = &pb.Snapshot{Index: s.Index, Term: s.Term, Membership: s.Membership}
	}
	received := uint64(len(c.receivedSnapshot.Data))
	if m.SnapshotOffset != received || received+uint64(len(s.Data)) > m.SnapshotSize {
		return nil
	}
	c.receivedSnapshot.Data = append(c.receivedSnapshot.Data, s.Data...)
	if uint64(len(c.receivedSnapshot.Data)) < m.SnapshotSize {
		return nil
	}
	return c.receivedSnapshot
}

func (c *Core) handleSnapshotReply(now time.Time, m *pb.ConsensusMessage) {
	p := c.recordContact(now, m)
	if p == nil || p.mode != sendingSnapshot || p.snapshot.Index != m.PrevIndex {
		return
	}
	if m.SnapshotOffset > uint64(len(p.snapshot.Data)) {
		return
	}
	// A duplicate reply must not send the next part again; resendIfLost handles
	// lost parts.
	if m.SnapshotOffset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = m.SnapshotOffset
	c.sendSnapshotPart(now, m.From, p)
}
