package consensus

import (
	"fmt"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// MaxSnapshot bounds the data of a snapshot that is taken over, bytes.
const MaxSnapshot = 1 << 30

// beginSnapshot starts to send the newest snapshot to a member that needs
// entries which were dropped.
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
	if s.GetMembership() == nil || m.SnapshotSize > MaxSnapshot {
		return
	}
	c.heardLeader(now, m)
	if s.Index <= c.log.commit {
		c.acknowledge(m.From, c.log.commit)
		return
	}
	if c.log.matches(s.Index, s.Term) {
		c.log.commit = s.Index
		c.acknowledge(m.From, s.Index)
		return
	}
	whole := c.takePart(m)
	if whole == nil {
		c.send(&pb.ConsensusMessage{
			Kind: pb.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY, To: m.From,
			PrevIndex: s.Index, SnapshotOffset: uint64(len(c.receiving.Data)),
		})
		return
	}
	c.receiving = nil
	c.log.reset(whole)
	c.log.incoming = whole
	c.acknowledge(m.From, whole.Index)
}

// takePart adds a part to the snapshot being received, and gives the snapshot
// once it is whole. A part out of order is dropped; the answer tells the
// leader how much is held. Parts of different leaders never mix, for a change
// of term forgets those received.
func (c *Core) takePart(m *pb.ConsensusMessage) *pb.Snapshot {
	s := m.Snapshot
	if c.receiving == nil || c.receiving.Index != s.Index || c.receiving.Term != s.Term {
		c.receiving = &pb.Snapshot{Index: s.Index, Term: s.Term, Membership: s.Membership}
	}
	held := uint64(len(c.receiving.Data))
	if m.SnapshotOffset != held || held+uint64(len(s.Data)) > m.SnapshotSize {
		return nil
	}
	c.receiving.Data = append(c.receiving.Data, s.Data...)
	if uint64(len(c.receiving.Data)) < m.SnapshotSize {
		return nil
	}
	return c.receiving
}

func (c *Core) handleSnapshotReply(now time.Time, m *pb.ConsensusMessage) {
	p := c.heardMember(now, m)
	if p == nil || p.mode != sendingSnapshot || p.snapshot.Index != m.PrevIndex {
		return
	}
	if m.SnapshotOffset > uint64(len(p.snapshot.Data)) {
		return
	}
	// A repeated answer to an earlier part would send that part's successor
	// once more; resendIfLost is for parts that were dropped.
	if m.SnapshotOffset == p.snapshotOffset {
		return
	}
	p.snapshotOffset = m.SnapshotOffset
	c.sendSnapshotPart(now, m.From, p)
}
