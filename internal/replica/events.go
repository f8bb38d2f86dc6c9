package replica

import (
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// event is a request to the goroutine of Run.
type event interface {
	run(n *Node, now time.Time)
	// reject completes an event without running it.
	reject(cause error)
	// size is the approximate number of bytes that the event causes to be written.
	size() int
}

// messageEvent is a message from another member.
type messageEvent struct{ message *pb.ConsensusMessage }

func (e messageEvent) reject(error) {}

func (e messageEvent) size() int {
	size := len(e.message.Snapshot.GetData())
	for _, entry := range e.message.Entries {
		size += len(entry.GetData())
	}
	return size
}

func (e messageEvent) run(n *Node, now time.Time) {
	m := e.message
	if m.To != n.DiskID() || m.Group == "" {
		return
	}
	if n.group == "" && !n.joinGroup(m.Group) {
		return
	}
	// Two groups may list this disk, for example after an init at each of two
	// instances. Accepting messages of both would mix two logs, and members would
	// apply different commands at one index. The disk belongs to the first group.
	if m.Group != n.group {
		return
	}
	n.learnAddress(m)
	n.core.Step(now, m)
}

// joinGroup makes an empty disk part of the group that sent it a message. Only a
// member of the group can know the disk's ID, which an operator provided.
func (n *Node) joinGroup(group string) bool {
	if err := n.writeWithTimeout(0, func() error { return n.store.JoinGroup(group) }); err != nil {
		n.options.Part.Error("Can't join the group.", "group", group, "err", err)
		n.failed.Store(true)
		return false
	}
	n.group = group
	n.options.Part.Info("Joined the group.", "group", group)
	return true
}

// proposeEvent is a call of Propose.
type proposeEvent struct {
	command []byte
	reply   chan proposeResult // buffer of one
}

// proposeResult is the outcome of a proposeEvent.
type proposeResult struct {
	applied Applied
	err     error
}

func (e proposeEvent) reject(cause error) { e.reply <- proposeResult{err: cause} }

func (e proposeEvent) size() int { return len(e.command) }

func (e proposeEvent) run(n *Node, now time.Time) {
	index, term, err := n.core.Propose(now, e.command)
	if err != nil {
		e.reject(translateError(err))
		return
	}
	n.proposals[index] = proposal{term: term, proposedAt: now, reply: e.reply}
}

// readEvent is a call of ReadBarrier.
type readEvent struct{ reply chan error }

func (e readEvent) reject(cause error) { e.reply <- cause }

func (e readEvent) size() int { return 0 }

func (e readEvent) run(n *Node, now time.Time) {
	n.nextRead++
	if err := n.core.Read(now, n.nextRead); err != nil {
		e.reject(translateError(err))
		return
	}
	n.reads[n.nextRead] = e.reply
}

// changeEvent is a call of ProposeMember.
type changeEvent struct {
	change consensus.Change
	reply  chan changeResult
}

// changeResult is the outcome of a changeEvent.
type changeResult struct {
	membership *pb.Membership
	err        error
}

func (e changeEvent) reject(cause error) { e.reply <- changeResult{err: cause} }

func (e changeEvent) size() int { return 0 }

func (e changeEvent) run(n *Node, now time.Time) {
	if _, err := n.core.ProposeChange(now, e.change); err != nil {
		e.reject(translateError(err))
		return
	}
	n.changes = append(n.changes, memberChange{change: e.change, term: n.core.Status().Term, reply: e.reply})
}

// transferEvent starts a leadership transfer.
type transferEvent struct{ reply chan struct{} } // closed when this member is not the leader

func (e transferEvent) reject(error) { close(e.reply) }

func (e transferEvent) size() int { return 0 }

func (e transferEvent) run(n *Node, now time.Time) {
	if n.core.TransferLeadership(now) == consensus.ErrNotLeader {
		close(e.reply)
		return
	}
	n.transfers = append(n.transfers, e)
}

// initEvent is a call of Init.
type initEvent struct {
	group   string
	members []*pb.Member
	reply   chan error
}

func (e initEvent) reject(cause error) { e.reply <- cause }

func (e initEvent) size() int { return 0 }

func (e initEvent) run(n *Node, _ time.Time) { e.reply <- n.initGroup(e.group, e.members) }

// initGroup persists the first entry and then the group in the disk's identity.
// After a crash between the two, the disk counts as empty.
func (n *Node) initGroup(group string, members []*pb.Member) error {
	if n.group != "" {
		return trace.AlreadyExists("disk belongs to fleet %s", fleetIDOf(n.group))
	}
	state, err := consensus.Bootstrap(members)
	if err != nil {
		return translateError(err)
	}
	err = n.writeWithTimeout(0, func() error {
		if err := n.store.Save(state.HardState, state.Entries); err != nil {
			return err
		}
		return n.store.JoinGroup(group)
	})
	if err != nil {
		n.failed.Store(true)
		return trace.Wrap(ErrStorage, "%v", err)
	}
	n.group = group
	n.options.Part.Info("Created the group.", "group", group)
	return n.restore(state)
}

// translateError maps an error of the core to one of this package.
func translateError(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return ErrNotLeader
	case errors.Is(err, consensus.ErrBusy):
		return trace.LimitExceeded("%v", err)
	case errors.Is(err, consensus.ErrChangePending):
		return trace.CompareFailed("%v", err)
	case errors.Is(err, consensus.ErrMembership), errors.Is(err, consensus.ErrTooLarge):
		return trace.BadParameter("%v", err)
	}
	return trace.Wrap(err)
}
