package replica

import (
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/consensus"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// event is handed to the loop.
type event interface {
	run(n *Node, now time.Time)
	// refuse answers an event that is not run.
	refuse(cause error)
	// size is about the bytes that it makes the loop write.
	size() int
}

// messageEvent is a message of another member.
type messageEvent struct{ message *pb.ConsensusMessage }

func (e messageEvent) refuse(error) {}

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
	if n.group == "" && !n.join(m.Group) {
		return
	}
	// Two groups may name this disk, as after two inits at different instances.
	// Messages of the second, taken in, would mix two logs, and members would
	// apply different commands at one index. The disk is the first one's alone.
	if m.Group != n.group {
		return
	}
	n.learnAddress(m)
	n.core.Step(now, m)
}

// join makes an empty disk part of the group that named it. Only a member of
// the group can know the disk's ID, from an operator who gave it.
func (n *Node) join(group string) bool {
	if err := n.guarded(0, func() error { return n.store.JoinGroup(group) }); err != nil {
		n.options.Part.Error("Can't join the group.", "group", group, "err", err)
		n.failed.Store(true)
		return false
	}
	n.group = group
	n.options.Part.Info("Joined the group.", "group", group)
	return true
}

// proposeEvent is a command to commit.
type proposeEvent struct {
	command []byte
	reply   chan proposeResult // holds one
}

// proposeResult ends a proposeEvent.
type proposeResult struct {
	applied Applied
	err     error
}

func (e proposeEvent) refuse(cause error) { e.reply <- proposeResult{err: cause} }

func (e proposeEvent) size() int { return len(e.command) }

func (e proposeEvent) run(n *Node, now time.Time) {
	index, term, err := n.core.Propose(now, e.command)
	if err != nil {
		e.refuse(refusal(err))
		return
	}
	n.proposals[index] = proposal{term: term, began: now, reply: e.reply}
}

// readEvent is a ReadBarrier.
type readEvent struct{ reply chan error }

func (e readEvent) refuse(cause error) { e.reply <- cause }

func (e readEvent) size() int { return 0 }

func (e readEvent) run(n *Node, now time.Time) {
	n.nextRead++
	if err := n.core.Read(now, n.nextRead); err != nil {
		e.refuse(refusal(err))
		return
	}
	n.reads[n.nextRead] = e.reply
}

// changeEvent is a membership change.
type changeEvent struct {
	change consensus.Change
	reply  chan changeResult
}

// changeResult ends a changeEvent.
type changeResult struct {
	membership *pb.Membership
	err        error
}

func (e changeEvent) refuse(cause error) { e.reply <- changeResult{err: cause} }

func (e changeEvent) size() int { return 0 }

func (e changeEvent) run(n *Node, now time.Time) {
	if _, err := n.core.ProposeChange(now, e.change); err != nil {
		e.refuse(refusal(err))
		return
	}
	n.changes = append(n.changes, memberChange{change: e.change, term: n.core.Status().Term, reply: e.reply})
}

// handoverEvent asks another member to lead.
type handoverEvent struct{ reply chan struct{} } // closed when not leading

func (e handoverEvent) refuse(error) { close(e.reply) }

func (e handoverEvent) size() int { return 0 }

func (e handoverEvent) run(n *Node, now time.Time) {
	if n.core.TransferLeadership(now) == consensus.ErrNotLeader {
		close(e.reply)
		return
	}
	n.handovers = append(n.handovers, e)
}

// initEvent begins a group on this disk.
type initEvent struct {
	group   string
	members []*pb.Member
	reply   chan error
}

func (e initEvent) refuse(cause error) { e.reply <- cause }

func (e initEvent) size() int { return 0 }

func (e initEvent) run(n *Node, _ time.Time) { e.reply <- n.begin(e.group, e.members) }

// begin makes the first entry durable, and then that the disk is the group's:
// a crash between the two leaves an empty disk.
func (n *Node) begin(group string, members []*pb.Member) error {
	if n.group != "" {
		return trace.AlreadyExists("disk belongs to fleet %s", fleetOf(n.group))
	}
	state, err := consensus.Bootstrap(members)
	if err != nil {
		return refusal(err)
	}
	err = n.guarded(0, func() error {
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
	n.options.Part.Info("Began the group.", "group", group)
	return n.restore(state)
}

// refusal translates an error of the core.
func refusal(err error) error {
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
