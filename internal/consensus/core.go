package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Core is the consensus state of one member. It is not safe for concurrent use.
type Core struct {
	config Config
	log    replicatedLog

	role   Role
	term   uint64
	vote   string // disk ID voted for in term
	leader string // disk ID of the leader of term, if known

	savedTerm uint64 // persisted term
	savedVote string // persisted vote

	electionDeadline time.Time
	leaderContact    time.Time       // last message from a leader
	votes            map[string]bool // granted votes by disk ID

	progress         map[string]*progress // by disk ID; only while leader
	nextHeartbeat    time.Time
	pendingBytes     int // size of this leader's uncommitted commands
	lease            lease
	pendingReads     []pendingRead
	receivedSnapshot *pb.Snapshot // snapshot parts received so far

	messages    []*pb.ConsensusMessage
	readResults []ReadResult
}

// New restores a member from its persisted state. Entries up to the snapshot
// count as applied: the caller first restores its state machine from it.
func New(config Config, state State, now time.Time) (*Core, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	c := &Core{config: config, log: newLog(state)}
	if state.HardState != nil {
		c.term, c.vote = state.HardState.Term, state.HardState.VotedFor
	}
	c.savedTerm, c.savedVote = c.term, c.vote
	// The restarted member no longer knows whether it supports a leader's
	// lease. Voting at once could violate the lease and allow a stale read, so
	// the member waits as if it had just heard from a leader.
	c.leaderContact = now
	c.becomeFollower(now, c.term, "")
	return c, nil
}

// Tick processes expired timers. Call it every few tens of milliseconds.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) || !c.canCampaign() {
		return
	}
	c.preCampaign(now)
}

// Step processes a message from another member. Messages to another disk and
// of an unknown kind are dropped.
func (c *Core) Step(now time.Time, m *pb.ConsensusMessage) {
	if m.To != c.config.ID || m.From == c.config.ID {
		return
	}
	if m.Term > c.term && !c.stepNewerTerm(now, m) {
		return
	}
	if m.Term < c.term {
		c.stepOlderTerm(m)
		return
	}
	c.stepCurrentTerm(now, m)
}

// stepNewerTerm handles the later term of m. It returns false if m needs no
// further processing.
func (c *Core) stepNewerTerm(now time.Time, m *pb.ConsensusMessage) bool {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.handlePreVote(now, m)
		return false
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			// A granted pre-vote carries the prospective term; that term
			// starts only with an actual vote.
			c.handlePreVoteReply(now, m)
			return false
		}
		c.becomeFollower(now, m.Term, "")
		return false
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		if c.hasRecentLeader(now) && !m.Handover {
			return false
		}
		c.becomeFollower(now, m.Term, "")
	case pb.MessageKind_MESSAGE_KIND_APPEND, pb.MessageKind_MESSAGE_KIND_HEARTBEAT, pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.becomeFollower(now, m.Term, m.From)
	default:
		c.becomeFollower(now, m.Term, "")
	}
	return true
}

// stepOlderTerm answers a message of an earlier term if its sender might not
// learn of the later term otherwise: a leader whose follower voted in a later
// term, or a candidate that was partitioned while the term advanced.
func (c *Core) stepOlderTerm(m *pb.ConsensusMessage) {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_APPEND, pb.MessageKind_MESSAGE_KIND_HEARTBEAT, pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true})
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: true})
	}
}

func (c *Core) stepCurrentTerm(now time.Time, m *pb.ConsensusMessage) {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.handlePreVote(now, m)
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		c.handleVote(now, m)
	case pb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		c.handleVoteReply(now, m)
	case pb.MessageKind_MESSAGE_KIND_APPEND:
		c.handleAppend(now, m)
	case pb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		c.handleHeartbeat(now, m)
	case pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.handleSnapshot(now, m)
	case pb.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		c.handleAppendReply(now, m)
	case pb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		c.handleHeartbeatReply(now, m)
	case pb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		c.handleTimeoutNow(now, m)
	case pb.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY:
		c.handleSnapshotReply(now, m)
	}
}

// send queues m with this member's ID, and its term unless m has one.
func (c *Core) send(m *pb.ConsensusMessage) {
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// Compact records a snapshot of the state applied up to s.Index and drops the
// entries that it covers, except for the newest keep entries. These let a
// slightly lagging member catch up without a snapshot. The snapshot must be
// durable.
func (c *Core) Compact(s *pb.Snapshot, keep uint64) {
	keepFrom := uint64(1)
	if s.Index > keep {
		keepFrom = s.Index - keep + 1
	}
	c.log.compact(s, keepFrom)
}

// SnapshotAt returns the metadata, without data, for a snapshot of the state
// at index. The entry at index must be applied and not compacted.
func (c *Core) SnapshotAt(index uint64) *pb.Snapshot {
	term, _ := c.log.termAt(index)
	return &pb.Snapshot{Index: index, Term: term, Membership: c.log.membershipAtIndex(index)}
}
