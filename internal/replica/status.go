package replica

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// publishedStatus is the status that the loop published last, for other
// goroutines.
type publishedStatus struct {
	status consensus.Status
	group  string
}

func (n *Node) publish() {
	status := n.core.Status()
	n.metrics.observe(status)
	n.published.Store(&publishedStatus{status: status, group: n.group})
}

// Status implements Group.
func (n *Node) Status() Status {
	p := n.published.Load()
	s := Status{
		FleetID: fleetIDOf(p.group), DiskID: n.DiskID(),
		Term: p.status.Term, Commit: p.status.Commit, Applied: p.status.Applied,
		StorageFailed: n.failed.Load(), Initialised: p.group != "",
	}
	running := !n.hasEnded() && !s.StorageFailed
	s.IsLeader = p.status.Role == consensus.Leader && running
	for _, m := range p.status.Membership.GetMembers() {
		if m.DiskId == p.status.Leader && running {
			s.Leader = m
		}
		s.Members = append(s.Members, progressOf(m, p.status, n.DiskID()))
	}
	return s
}

func (n *Node) hasEnded() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

func progressOf(m *pb.Member, status consensus.Status, ownID string) MemberProgress {
	progress := MemberProgress{Member: m, LastContactMs: -1}
	for _, known := range status.Members {
		if known.DiskID != m.DiskId {
			continue
		}
		progress.Match = known.Match
		switch {
		case m.DiskId == ownID:
			progress.LastContactMs = 0
		case known.Answered:
			progress.LastContactMs = time.Since(known.LastContact).Milliseconds()
		}
	}
	return progress
}
