package consensus

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Core is one member of the group. It is not safe for concurrent use.
type Core struct {
	config Config
	log    replicatedLog

	role   Role
	term   uint64
	vote   string // disk ID voted for in term
	leader string // disk ID of the leader of term, if known

	savedTerm uint64 // what is persisted
	savedVote string

	electionDue time.Time
	lastLeader  time.Time       // when a leader was last heard
	votes       map[string]bool // answers to the own candidacy

	members      map[string]*progress // as leader
	heartbeatDue time.Time
	pending      int // bytes of the own proposals that await commit
	lease        lease
	reads        []read
	receiving    *pb.Snapshot // parts of a snapshot that came so far

	messages []*pb.ConsensusMessage
	results  []ReadResult
}

// New restores a member from what it persisted. Entries up to the snapshot
// count as applied: the owner restores its state machine from it first.
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
	// A member that restarts has forgotten which leader it promised not to
	// replace; by voting at once it would break that leader's lease, and a
	// stale read would follow. It keeps quiet as if it had just heard one.
	c.lastLeader = now
	c.becomeFollower(now, c.term, "")
	return c, nil
}

// Tick acts on what has become due. Call it every few tens of milliseconds.
func (c *Core) Tick(now time.Time) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDue) || !c.mayStand() {
		return
	}
	c.standPre(now)
}

// Step takes in a message of another member. Messages for another disk, or
// of a kind not known here, are dropped.
func (c *Core) Step(now time.Time, m *pb.ConsensusMessage) {
	if m.To != c.config.ID || m.From == c.config.ID {
		return
	}
	if m.Term > c.term && !c.stepNewer(now, m) {
		return
	}
	if m.Term < c.term {
		c.stepOlder(m)
		return
	}
	c.dispatch(now, m)
}

// stepNewer takes in a message of a later term; false when it is done with.
func (c *Core) stepNewer(now time.Time, m *pb.ConsensusMessage) bool {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.answerPreVote(now, m)
		return false
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			// A granted pre-vote names the term that would come; the term
			// only begins with a real vote.
			c.countPreVote(now, m)
			return false
		}
		c.becomeFollower(now, m.Term, "")
		return false
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		if c.followsLeader(now) && !m.Handover {
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

// stepOlder answers a message of an earlier term where the sender would
// otherwise never learn of the later one: a leader whose member voted in a
// later term, and a candidate that was cut off while terms passed.
func (c *Core) stepOlder(m *pb.ConsensusMessage) {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_APPEND, pb.MessageKind_MESSAGE_KIND_HEARTBEAT, pb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From, Reject: true})
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		c.send(&pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: true})
	}
}

func (c *Core) dispatch(now time.Time, m *pb.ConsensusMessage) {
	switch m.Kind {
	case pb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.answerPreVote(now, m)
	case pb.MessageKind_MESSAGE_KIND_VOTE:
		c.answerVote(now, m)
	case pb.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		c.countVote(now, m)
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

// send queues m with the own identity, and the own term unless m has one.
func (c *Core) send(m *pb.ConsensusMessage) {
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

// Compact takes over a snapshot of the applied state up to s.Index, and drops
// entries except the newest keep before it, which spare a member that lags a
// little the whole snapshot. The snapshot must be durable.
func (c *Core) Compact(s *pb.Snapshot, keep uint64) {
	keepFrom := uint64(1)
	if s.Index > keep {
		keepFrom = s.Index - keep + 1
	}
	c.log.compact(s, keepFrom)
}

// SnapshotAt describes, without data, a snapshot of the state as applied up
// to index, which must be applied and not compacted.
func (c *Core) SnapshotAt(index uint64) *pb.Snapshot {
	term, _ := c.log.termAt(index)
	return &pb.Snapshot{Index: index, Term: term, Membership: c.log.membershipBefore(index)}
}
