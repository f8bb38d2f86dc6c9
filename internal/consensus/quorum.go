package consensus

import (
	"slices"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// quorum is the size of a majority of voters; 1 when there are none, which no
// count of members reaches.
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

// find gives the member with a disk ID, nil when there is none.
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

// countVoters counts the voters for which ok holds.
func countVoters(m *pb.Membership, ok func(diskID string) bool) int {
	n := 0
	for _, member := range m.GetMembers() {
		if !member.Learner && ok(member.DiskId) {
			n++
		}
	}
	return n
}

// reachedByQuorum gives the highest value that a quorum of voters has reached,
// 0 when there is no voter.
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
