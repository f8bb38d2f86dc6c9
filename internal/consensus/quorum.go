package consensus

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// quorum returns the size of a majority of voters. Without voters it returns 1,
// which no count of voters reaches.
func quorum(m *pb.Membership) int { return voters(m)/2 + 1 }

func voters(m *pb.Membership) int {
	n := 0
	for _, member := range m.GetMembers() {
		if !member.Learner {
			n++
		}
	}
	return n
}

// find returns the member with a disk ID, or nil.
func find(m *pb.Membership, diskID string) *pb.Member {
	for _, member := range m.GetMembers() {
		if member.DiskId == diskID {
			return member
		}
	}
	return nil
}

func isVoter(m *pb.Membership, diskID string) bool {
	member := find(m, diskID)
	return member != nil && !member.Learner
}

// countVoters counts the voters for which ok returns true.
func countVoters(m *pb.Membership, ok func(diskID string) bool) int {
	n := 0
	for _, member := range m.GetMembers() {
		if !member.Learner && ok(member.DiskId) {
			n++
		}
	}
	return n
}

// reachedByQuorum returns the highest value that a quorum of voters has
// reached, or 0 if there are no voters.
func reachedByQuorum(m *pb.Membership, valueOf func(diskID string) uint64) uint64 {
	values := make([]uint64, 0, len(m.GetMembers()))
	for _, member := range m.GetMembers() {
		if !member.Learner {
			values = append(values, valueOf(member.DiskId))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-quorum(m)]
}
