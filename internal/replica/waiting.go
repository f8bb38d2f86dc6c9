package replica

import (
	"slices"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// proposal waits for its entry to be applied.
type proposal struct {
	term  uint64
	began time.Time
	reply chan proposeResult
}

// memberChange waits until the committed membership shows it.
type memberChange struct {
	change consensus.Change
	term   uint64
	reply  chan changeResult
}

// answerProposal answers who waits for the entry at e's index. An entry of
// another term there is another leader's: the own command was overwritten.
func (n *Node) answerProposal(e *pb.LogEntry, result []byte) {
	waiting, ok := n.proposals[e.Index]
	if !ok {
		return
	}
	delete(n.proposals, e.Index)
	if waiting.term != e.Term {
		waiting.reply <- proposeResult{err: ErrUncertain}
		return
	}
	n.metrics.commit.Observe(time.Since(waiting.began).Seconds())
	waiting.reply <- proposeResult{applied: Applied{Index: e.Index, Result: result}}
}

func (n *Node) answerReads(results []consensus.ReadResult) {
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

// settle follows a turn: it answers membership changes, and all who wait for
// a leadership that is over.
func (n *Node) settle() {
	status := n.core.Status()
	if status.Role != consensus.Leader {
		n.failWaiting(ErrNotLeader)
		return
	}
	for index, p := range n.proposals {
		if p.term != status.Term {
			p.reply <- proposeResult{err: ErrUncertain}
			delete(n.proposals, index)
		}
	}
	n.changes = slices.DeleteFunc(n.changes, func(c memberChange) bool { return c.settle(status) })
}

// settle answers c if its end has come.
func (c memberChange) settle(status consensus.Status) bool {
	switch {
	case c.term != status.Term:
		c.reply <- changeResult{err: ErrUncertain}
	case status.MembershipCommitted && c.done(status.Membership):
		c.reply <- changeResult{membership: status.Membership}
	default:
		return false
	}
	return true
}

func (c memberChange) done(membership *pb.Membership) bool {
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

// failWaiting answers all who wait. A proposal in the log may still commit
// under the next leader.
func (n *Node) failWaiting(reads error) {
	for _, p := range n.proposals {
		p.reply <- proposeResult{err: ErrUncertain}
	}
	clear(n.proposals)
	for _, reply := range n.reads {
		reply <- reads
	}
	clear(n.reads)
	for _, c := range n.changes {
		c.reply <- changeResult{err: ErrUncertain}
	}
	n.changes = nil
	for _, h := range n.handovers {
		close(h.reply)
	}
	n.handovers = nil
}
