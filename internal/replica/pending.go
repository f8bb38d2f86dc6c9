package replica

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// proposal is a pending Propose call, which waits for its entry to be applied.
type proposal struct {
	term       uint64
	proposedAt time.Time
	reply      chan proposeResult
}

// memberChange is a pending ProposeMember call, which waits until the committed
// membership contains the change.
type memberChange struct {
	change consensus.Change
	term   uint64
	reply  chan changeResult
}

// completeProposal completes the call that waits for the entry at e's index. If
// the entry's term differs, another leader overwrote the proposed command.
func (n *Node) completeProposal(e *pb.LogEntry, result []byte) {
	pending, ok := n.proposals[e.Index]
	if !ok {
		return
	}
	delete(n.proposals, e.Index)
	if pending.term != e.Term {
		pending.reply <- proposeResult{err: ErrUncertain}
		return
	}
	n.metrics.commit.Observe(time.Since(pending.proposedAt).Seconds())
	pending.reply <- proposeResult{applied: Applied{Index: e.Index, Result: result}}
}

func (n *Node) completeReads(results []consensus.ReadResult) {
	for _, r := range results {
		reply, ok := n.reads[r.ID]
		if !ok {
			continue
		}
		delete(n.reads, r.ID)
		if r.OK {
			reply <- nil
		} else {
			reply <- ErrNotLeader
		}
	}
}

// completePending completes membership changes that are in effect, and fails all
// calls whose leadership has ended.
func (n *Node) completePending() {
	status := n.core.Status()
	if status.Role != consensus.Leader {
		n.failPending(ErrNotLeader)
		return
	}
	for index, p := range n.proposals {
		if p.term != status.Term {
			p.reply <- proposeResult{err: ErrUncertain}
			delete(n.proposals, index)
		}
	}
	n.changes = slices.DeleteFunc(n.changes, func(c memberChange) bool { return c.tryComplete(status) })
}

// tryComplete completes c if its outcome is known, and reports whether it did.
func (c memberChange) tryComplete(status consensus.Status) bool {
	switch {
	case c.term != status.Term:
		c.reply <- changeResult{err: ErrUncertain}
	case status.MembershipCommitted && c.inEffect(status.Membership):
		c.reply <- changeResult{membership: status.Membership}
	default:
		return false
	}
	return true
}

// inEffect reports whether membership contains the change.
func (c memberChange) inEffect(membership *pb.Membership) bool {
	wanted := c.change.Member
	for _, m := range membership.Members {
		if c.change.Remove {
			if m.DiskId == wanted.DiskId || wanted.DiskId == "" && m.InstanceId == wanted.InstanceId {
				return false
			}
			continue
		}
		if m.DiskId == wanted.DiskId {
			return !m.Learner && m.RpcAddress == wanted.RpcAddress
		}
	}
	return c.change.Remove
}

// failPending fails all pending calls: reads with readError, and proposals and
// membership changes with ErrUncertain, since an entry in the log may still be
// committed by the next leader.
func (n *Node) failPending(readError error) {
	for _, p := range n.proposals {
		p.reply <- proposeResult{err: ErrUncertain}
	}
	clear(n.proposals)
	for _, reply := range n.reads {
		reply <- readError
	}
	clear(n.reads)
	for _, c := range n.changes {
		c.reply <- changeResult{err: ErrUncertain}
	}
	n.changes = nil
	for _, t := range n.transfers {
		close(t.reply)
	}
	n.transfers = nil
}
