package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Status is a snapshot of a Core's state. Its protobuf messages are shared and
// must not be modified.
type Status struct {
	Role                Role
	Term                uint64
	Leader              string // disk ID; empty if unknown
	Commit              uint64
	Applied             uint64
	First               uint64 // first index in the log
	Last                uint64
	SnapshotIndex       uint64         // index of the latest snapshot; 0 if there is none
	Membership          *pb.Membership // latest, committed or not
	MembershipCommitted bool           // Membership is committed
	Members             []MemberStatus // only set by a leader
}

// MemberStatus is the leader's replication status of one member.
type MemberStatus struct {
	DiskID      string
	Match       uint64
	LastContact time.Time
	Answered    bool // LastContact is the time of an answer
}

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{
		Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.log.commit, Applied: c.log.applied,
		First: c.log.offset + 1, Last: c.log.last(), SnapshotIndex: c.log.snapshot.GetIndex(),
		Membership: c.log.membership(), MembershipCommitted: c.log.membershipIndex() <= c.log.commit,
	}
	for _, member := range s.Membership.Members {
		if p := c.progress[member.DiskId]; p != nil {
			s.Members = append(s.Members, MemberStatus{
				DiskID: member.DiskId, Match: p.match, LastContact: p.lastContact, Answered: p.answered,
			})
		}
	}
	return s
}

// IsLeader reports whether c is the leader of its term.
func (c *Core) IsLeader() bool { return c.role == Leader }
