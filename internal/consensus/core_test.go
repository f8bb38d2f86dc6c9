package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var begin = time.Unix(1000, 0)

func threeMembers(t *testing.T) State {
	t.Helper()
	state, err := Bootstrap([]*pb.Member{
		{InstanceId: "a", DiskId: "a", RpcAddress: "a"},
		{InstanceId: "b", DiskId: "b", RpcAddress: "b"},
		{InstanceId: "c", DiskId: "c", RpcAddress: "c"},
	})
	assert.NilError(t, err)
	return state
}

func newCore(t *testing.T, id string) *Core {
	t.Helper()
	return coreOf(t, id, threeMembers(t))
}

func coreOf(t *testing.T, id string, state State) *Core {
	t.Helper()
	c, err := New(Config{ID: id, Random: rand.New(rand.NewPCG(1, 1))}, state, begin)
	assert.NilError(t, err)
	return c
}

// answers steps m into c and gives the messages it sends.
func answers(c *Core, now time.Time, m *pb.ConsensusMessage) []*pb.ConsensusMessage {
	c.Step(now, m)
	r := c.Ready()
	c.Advance(now, r)
	return r.Messages
}

// A member promises its leader, by each answer, not to help another for an
// election timeout. One that breaks the promise, also because a restart made
// it forget, elects a second leader while the first answers reads under its
// lease: a user sees a change and then, at the first leader, the state before.
func TestNoVoteWithinTheLease(t *testing.T) {
	heartbeat := &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT, From: "a", To: "b", Term: 1}
	tables := []struct {
		name  string
		heard bool
		after time.Duration
		votes bool
	}{
		{"just restarted", false, 10 * time.Millisecond, false},
		{"restarted most of a timeout ago", false, DefaultElectionTimeout - 1, false},
		{"restarted a timeout ago", false, DefaultElectionTimeout, true},
		{"heard the leader", true, DefaultElectionTimeout, false},
		{"heard the leader a timeout ago", true, DefaultElectionTimeout + 100*time.Millisecond, true},
	}
	for _, row := range tables {
		for _, kind := range []pb.MessageKind{pb.MessageKind_MESSAGE_KIND_VOTE, pb.MessageKind_MESSAGE_KIND_PRE_VOTE} {
			c := newCore(t, "b")
			if row.heard {
				answers(c, begin.Add(100*time.Millisecond), heartbeat)
			}
			vote := &pb.ConsensusMessage{Kind: kind, From: "c", To: "b", Term: 2, PrevIndex: 9, PrevTerm: 1}
			sent := answers(c, begin.Add(row.after), vote)
			assert.Equal(t, len(sent) == 1 && !sent[0].Reject, row.votes, "%s, %s", row.name, kind)
			if !row.votes {
				assert.Equal(t, c.Status().Term, uint64(1), "%s, %s", row.name, kind)
			}
		}
	}
}

// A leader that removes itself crashes with the removal on its disk only. The
// rest needs its vote and can't have it; unless it stands itself, no user is
// ever served again.
func TestRemovedLeaderStandsUntilTheRemovalIsCommitted(t *testing.T) {
	state := threeMembers(t)
	without := &pb.Membership{}
	without.Members = append(without.Members, newCore(t, "a").Status().Membership.Members[1:]...)
	c := newCore(t, "a")
	c.term, c.role, c.leader = 2, Leader, "a"
	c.members = map[string]*progress{}
	c.syncProgress(begin)
	c.appendMembership(begin, without)
	state.Entries = c.log.entries
	restarted := coreOf(t, "a", state)
	restarted.Tick(begin.Add(2 * DefaultElectionTimeout))
	assert.Equal(t, restarted.Status().Role, PreCandidate)
}

// Messages that no correct member sends must do nothing.
func TestOddMessagesAreDropped(t *testing.T) {
	tables := map[string]*pb.ConsensusMessage{
		"for another disk":   {Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: "a", To: "c", Term: 5},
		"from itself":        {Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: "b", To: "b", Term: 5},
		"entries with a gap": {Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: "a", To: "b", Term: 1, PrevIndex: 1, PrevTerm: 1, Entries: []*pb.LogEntry{{Index: 4, Term: 1}}},
		"snapshot of none":   {Kind: pb.MessageKind_MESSAGE_KIND_SNAPSHOT, From: "a", To: "b", Term: 1},
		"unknown kind":       {Kind: 99, From: "a", To: "b", Term: 1},
	}
	for name, m := range tables {
		c := newCore(t, "b")
		assert.Equal(t, len(answers(c, begin, m)), 0, name)
		assert.Equal(t, c.Status().Last, uint64(1), name)
	}
}

// newLeader is "a" at the start of term 4, with an entry of term 2 at index 2
// and its own first entry at 3, neither committed.
func newLeader(t *testing.T) (*Core, time.Time) {
	t.Helper()
	state := threeMembers(t)
	state.HardState = &pb.HardState{Term: 3, Commit: 1}
	state.Entries = append(state.Entries, &pb.LogEntry{Index: 2, Term: 2, Kind: pb.EntryKind_ENTRY_KIND_NO_OP})
	c := coreOf(t, "a", state)
	now := begin.Add(2 * DefaultElectionTimeout)
	c.Tick(now)
	answers(c, now, &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: "b", To: "a", Term: 4})
	answers(c, now, &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: "b", To: "a", Term: 4})
	assert.Equal(t, c.Status().Role, Leader)
	return c, now
}

// acknowledge lets "b" tell the leader of term 4 that it holds all up to index.
func acknowledge(c *Core, now time.Time, index uint64) {
	answers(c, now, &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: "b", To: "a", Term: 4, PrevIndex: index})
}

// Two operators change the members at once, or one does when a new leader
// doesn't know yet which earlier change holds. With both changes under way two
// quorums without a common member exist: two leaders, and a change lost.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c, now := newLeader(t)
	add := func(id string) error {
		_, err := c.ProposeChange(now, Change{Member: &pb.Member{InstanceId: id, DiskId: id, RpcAddress: id}})
		return err
	}
	assert.ErrorIs(t, add("d"), ErrChangePending)
	acknowledge(c, now, 3)
	assert.NilError(t, add("d"))
	assert.ErrorIs(t, add("e"), ErrChangePending)
	c.Advance(now, c.Ready())
	acknowledge(c, now, 4)
	assert.NilError(t, add("e"))
}

// An entry of an earlier term is on a quorum, and the leader counts it as
// committed; it crashes, and a member whose last entry is of a term between
// the two wins and overwrites it: a confirmed change is gone.
func TestEntriesOfEarlierTermsAreNotCommittedByCounting(t *testing.T) {
	c, now := newLeader(t)
	acknowledge(c, now, 2)
	assert.Equal(t, c.Status().Commit, uint64(1))
	acknowledge(c, now, 3)
	assert.Equal(t, c.Status().Commit, uint64(3))
}

// A leader asks another to stand and goes on under its old lease: the
// successor commits a change, and a user reads the state before it here.
func TestNoLeaseReadAfterHandOver(t *testing.T) {
	c, now := newLeader(t)
	acknowledge(c, now, 3)
	answers(c, now, &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, From: "b", To: "a", Term: 4, ReadRound: 1})
	assert.NilError(t, c.Read(now, 1))
	r := c.Ready()
	assert.DeepEqual(t, r.Reads, []ReadResult{{ID: 1, Index: 3, OK: true}})
	c.Advance(now, r)
	assert.NilError(t, c.HandOver(now))
	assert.NilError(t, c.Read(now, 2))
	assert.Equal(t, len(c.Ready().Reads), 0)
}

// Nothing commits, since no follower answers, and clients go on proposing: the
// leader's memory must stay bounded, and be free again after the commit.
func TestUncommittedCommandsAreBounded(t *testing.T) {
	c, now := newLeader(t)
	c.config.MaxPendingBytes, c.config.MaxUncommitted = 100, 12
	propose := func(size int) error {
		_, _, err := c.Propose(now, make([]byte, size))
		return err
	}
	assert.ErrorIs(t, propose(MaxCommand+1), ErrTooLarge)
	assert.NilError(t, propose(60))
	assert.ErrorIs(t, propose(60), ErrBusy)
	c.Advance(now, c.Ready())
	acknowledge(c, now, 4)
	for range 12 {
		assert.NilError(t, propose(1))
	}
	assert.ErrorIs(t, propose(1), ErrBusy)
}
