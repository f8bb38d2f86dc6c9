package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

var testStart = time.Unix(1000, 0)

func threeMemberState(t *testing.T) State {
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
	return newCoreWithState(t, id, threeMemberState(t))
}

func newCoreWithState(t *testing.T, id string, state State) *Core {
	t.Helper()
	c, err := New(Config{ID: id, Random: rand.New(rand.NewPCG(1, 1))}, state, testStart)
	assert.NilError(t, err)
	return c
}

// stepAndCollect steps m into c and returns the messages that c sends.
func stepAndCollect(c *Core, now time.Time, m *pb.ConsensusMessage) []*pb.ConsensusMessage {
	c.Step(now, m)
	r := c.Ready()
	c.Advance(now, r)
	return r.Messages
}

// With each answer a member promises its leader not to vote for another within
// an election timeout. If it voted anyway, for example after a restart, a second
// leader could be elected while the first still serves reads under its lease:
// a user would see a change and then, at the first leader, the earlier state.
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
				stepAndCollect(c, testStart.Add(100*time.Millisecond), heartbeat)
			}
			vote := &pb.ConsensusMessage{Kind: kind, From: "c", To: "b", Term: 2, PrevIndex: 9, PrevTerm: 1}
			sent := stepAndCollect(c, testStart.Add(row.after), vote)
			assert.Equal(t, len(sent) == 1 && !sent[0].Reject, row.votes, "%s, %s", row.name, kind)
			if !row.votes {
				assert.Equal(t, c.Status().Term, uint64(1), "%s, %s", row.name, kind)
			}
		}
	}
}

// A leader that removes itself crashes with the removal only on its own disk.
// The others need its vote, which it can't grant to their shorter logs, so the
// group stays without a leader unless the removed member campaigns itself.
func TestRemovedLeaderCampaignsUntilRemovalIsCommitted(t *testing.T) {
	state := threeMemberState(t)
	without := &pb.Membership{}
	without.Members = append(without.Members, newCore(t, "a").Status().Membership.Members[1:]...)
	c := newCore(t, "a")
	c.term, c.role, c.leader = 2, Leader, "a"
	c.progress = map[string]*progress{}
	c.syncProgress(testStart)
	c.appendMembership(testStart, without)
	state.Entries = c.log.entries
	restarted := newCoreWithState(t, "a", state)
	restarted.Tick(testStart.Add(2 * DefaultElectionTimeout))
	assert.Equal(t, restarted.Status().Role, PreCandidate)
}

// Messages that no correct member sends must have no effect.
func TestInvalidMessagesAreDropped(t *testing.T) {
	tables := map[string]*pb.ConsensusMessage{
		"for another disk":   {Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: "a", To: "c", Term: 5},
		"from itself":        {Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: "b", To: "b", Term: 5},
		"entries with a gap": {Kind: pb.MessageKind_MESSAGE_KIND_APPEND, From: "a", To: "b", Term: 1, PrevIndex: 1, PrevTerm: 1, Entries: []*pb.LogEntry{{Index: 4, Term: 1}}},
		"snapshot of none":   {Kind: pb.MessageKind_MESSAGE_KIND_SNAPSHOT, From: "a", To: "b", Term: 1},
		"unknown kind":       {Kind: 99, From: "a", To: "b", Term: 1},
	}
	for name, m := range tables {
		c := newCore(t, "b")
		assert.Equal(t, len(stepAndCollect(c, testStart, m)), 0, name)
		assert.Equal(t, c.Status().Last, uint64(1), name)
	}
}

// newLeader returns "a" as the leader at the start of term 4, with an entry of
// term 2 at index 2 and its own first entry at index 3, neither committed.
func newLeader(t *testing.T) (*Core, time.Time) {
	t.Helper()
	state := threeMemberState(t)
	state.HardState = &pb.HardState{Term: 3, Commit: 1}
	state.Entries = append(state.Entries, &pb.LogEntry{Index: 2, Term: 2, Kind: pb.EntryKind_ENTRY_KIND_NO_OP})
	c := newCoreWithState(t, "a", state)
	now := testStart.Add(2 * DefaultElectionTimeout)
	c.Tick(now)
	stepAndCollect(c, now, &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: "b", To: "a", Term: 4})
	stepAndCollect(c, now, &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: "b", To: "a", Term: 4})
	assert.Equal(t, c.Status().Role, Leader)
	return c, now
}

// acknowledgeFromB delivers an acknowledgement from "b" up to index to the
// leader of term 4.
func acknowledgeFromB(c *Core, now time.Time, index uint64) {
	stepAndCollect(c, now, &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: "b", To: "a", Term: 4, PrevIndex: index})
}

// Two operators change the membership at once, or one does while a new leader
// doesn't know yet whether an earlier change is committed. With two pending
// changes there could be two quorums without a common member: two leaders, and
// a lost change.
func TestOneMembershipChangeAtATime(t *testing.T) {
	c, now := newLeader(t)
	add := func(id string) error {
		_, err := c.ProposeChange(now, Change{Member: &pb.Member{InstanceId: id, DiskId: id, RpcAddress: id}})
		return err
	}
	assert.ErrorIs(t, add("d"), ErrChangePending)
	acknowledgeFromB(c, now, 3)
	assert.NilError(t, add("d"))
	assert.ErrorIs(t, add("e"), ErrChangePending)
	c.Advance(now, c.Ready())
	acknowledgeFromB(c, now, 4)
	assert.NilError(t, add("e"))
}

// If a leader committed an entry of an earlier term because a quorum holds it
// and then crashed, a member whose last entry is of a term between the two could
// win the election and overwrite it: a confirmed change would be lost.
func TestEntriesOfEarlierTermsAreNotCommittedByCounting(t *testing.T) {
	c, now := newLeader(t)
	acknowledgeFromB(c, now, 2)
	assert.Equal(t, c.Status().Commit, uint64(1))
	acknowledgeFromB(c, now, 3)
	assert.Equal(t, c.Status().Commit, uint64(3))
}

// A leader that transfers leadership must not use its lease any more: the
// successor may commit a change, and a read here would return the state before it.
func TestNoLeaseReadAfterLeadershipTransfer(t *testing.T) {
	c, now := newLeader(t)
	acknowledgeFromB(c, now, 3)
	stepAndCollect(c, now, &pb.ConsensusMessage{Kind: pb.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, From: "b", To: "a", Term: 4, ReadRound: 1})
	assert.NilError(t, c.Read(now, 1))
	r := c.Ready()
	assert.DeepEqual(t, r.Reads, []ReadResult{{ID: 1, Index: 3, OK: true}})
	c.Advance(now, r)
	assert.NilError(t, c.TransferLeadership(now))
	assert.NilError(t, c.Read(now, 2))
	assert.Equal(t, len(c.Ready().Reads), 0)
}

// While no follower answers, nothing commits, but clients continue to propose.
// The leader's memory must stay bounded, and proposals must be accepted again
// after a commit.
func TestUncommittedCommandsAreBounded(t *testing.T) {
	c, now := newLeader(t)
	c.config.MaxPendingBytes, c.config.MaxUncommitted = 100, 12
	propose := func(size int) error {
		_, _, err := c.Propose(now, make([]byte, size))
		return err
	}
	assert.ErrorIs(t, propose(MaxCommandBytes+1), ErrTooLarge)
	assert.NilError(t, propose(60))
	assert.ErrorIs(t, propose(60), ErrBusy)
	c.Advance(now, c.Ready())
	acknowledgeFromB(c, now, 4)
	for range 12 {
		assert.NilError(t, propose(1))
	}
	assert.ErrorIs(t, propose(1), ErrBusy)
}
