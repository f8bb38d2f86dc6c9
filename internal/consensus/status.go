package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Status is a copy of what a Core knows; the messages in it are shared and
// must not be changed.
type Status struct {
	Role       Role
	Term       uint64
	Leader     string // disk ID, empty when not known
	Commit     uint64
	Applied    uint64
	First      uint64 // first index still held
	Last       uint64
	Snapshot   uint64         // index of the newest snapshot, 0 for none
	Membership *pb.Membership // newest, committed or not
	Committed  bool           // Membership is committed
	Members    []MemberStatus // as leader
}

// MemberStatus is a leader's knowledge of one member.
type MemberStatus struct {
	DiskID   string
	Match    uint64
	Contact  time.Time
	Answered bool // Contact is an answer, not just the election
}

// Status tells what c knows.
func (c *Core) Status() Status {
	s := Status{
		Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.log.commit, Applied: c.log.applied,
		First: c.log.offset + 1, Last: c.log.last(), Snapshot: c.log.snapshot.GetIndex(),
		Membership: c.log.membership(), Committed: c.log.membershipIndex() <= c.log.commit,
	}
	for _, member := range s.Membership.Members {
		if p := c.members[member.DiskId]; p != nil {
			s.Members = append(s.Members, MemberStatus{
				DiskID: member.DiskId, Match: p.match, Contact: p.contact, Answered: p.answered,
			})
		}
	}
	return s
}

// IsLeader tells whether c leads its term.
func (c *Core) IsLeader() bool { return c.role == Leader }
