package replica

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A change is synced and replicated, and the leader is killed before it replies.
// The operator gets ErrUncertain and repeats the change: the first one must be in
// the log exactly once, so that the repeat finds it.
func TestLeaderKilledBetweenSyncAndReply(t *testing.T) {
	withGroup(t, func(t *testing.T, c *cluster) {
		c.propose("first")
		old := c.leader()
		// The followers persist and answer, but the answers are lost.
		for _, other := range c.others(old) {
			c.setCut(other.name, old.name, true)
		}
		outcome := make(chan error, 1)
		go func() {
			_, err := old.node.Propose(context.Background(), []byte("second"))
			outcome <- err
		}()
		time.Sleep(100 * time.Millisecond)
		c.kill(old.name)
		assert.ErrorIs(t, <-outcome, ErrUncertain)
		delete(c.hosts, old.name)
		commands := c.leader().state.list()
		assert.DeepEqual(t, commands, []string{"first", "second"})
	})
}

// A member is partitioned for a long time, in one or both directions, without
// connection errors. It must not serve reads from its outdated state, the other
// members continue, and its return must not depose the leader.
func TestPartitionedMember(t *testing.T) {
	tables := []struct {
		name        string
		leader      bool // the leader is the one cut off
		sends, gets bool // direction that still works
		pair        bool // only the link between leader and follower is cut
	}{
		{"leader, both ways", true, false, false, false},
		{"leader, still sends", true, true, false, false},
		{"leader, still gets", true, false, true, false},
		{"follower, both ways", false, false, false, false},
		{"follower, still sends", false, true, false, false},
		{"follower, still gets", false, false, true, false},
		{"follower from leader, both ways", false, false, false, true},
		{"follower from leader, still sends", false, true, false, true},
	}
	for _, row := range tables {
		t.Run(row.name, func(t *testing.T) {
			withGroup(t, func(t *testing.T, c *cluster) { testPartition(t, c, row.leader, row.sends, row.gets, row.pair) })
		})
	}
}

func testPartition(t *testing.T, c *cluster, leader, sends, gets, pair bool) {
	c.propose("before")
	first := c.leader()
	partitioned := first
	if !leader {
		partitioned = c.others(first)[0]
	}
	peers := c.others(partitioned)
	if pair {
		peers = []*testInstance{first}
	}
	for _, other := range peers {
		c.setCut(partitioned.name, other.name, !sends)
		c.setCut(other.name, partitioned.name, !gets)
	}
	time.Sleep(5 * time.Second)
	others := c.others(partitioned)
	current := c.waitForLeader(others)
	assert.Assert(t, leader || current == first, "a working leader was deposed")
	for i := range 20 {
		c.proposeTo(current, fmt.Sprint("during-", i))
		assert.Assert(t, partitioned.node.ReadBarrier(shortContext(t)) != nil)
		time.Sleep(time.Second)
	}
	before := current.node.Status()
	for _, other := range others {
		c.setCut(partitioned.name, other.name, false)
		c.setCut(other.name, partitioned.name, false)
	}
	assert.Equal(t, len(c.waitForEqualState("a", "b", "c")), 21)
	after := current.node.Status()
	assert.Assert(t, after.IsLeader)
	assert.Equal(t, after.Term, before.Term)
}

// An instance is down during hundreds of changes, and the entries that it needs
// are compacted. After its restart it must catch up by a snapshot, regardless of
// its old data on disk.
func TestRestartAfterManyEntries(t *testing.T) {
	for _, missed := range []int{500, 1200} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			c.options = func(o *Options) { o.SnapshotEntries, o.KeepEntries = 100, 20 }
			c.add("a", "b", "c")
			c.init("a", "b", "c")
			c.proposeMany("early", 130)
			down := c.others(c.leader())[0]
			c.kill(down.name)
			c.proposeMany("missed", missed)
			c.start(down.name)
			assert.Equal(t, len(c.waitForEqualState("a", "b", "c")), 130+missed)
			for _, name := range []string{"a", "b", "c"} {
				c.kill(name)
				c.start(name)
			}
			c.propose("late")
			assert.Equal(t, len(c.waitForEqualState("a", "b", "c")), 131+missed)
		})
	}
}

// A leader is frozen for longer than its lease with a read and a change pending,
// while another leader commits. When it resumes, the read must not return the
// outdated state, and the change must not be confirmed.
func TestFrozenLeaderConfirmsNothing(t *testing.T) {
	for _, frozen := range []time.Duration{1500 * time.Millisecond, 20 * time.Second} {
		withGroup(t, func(t *testing.T, c *cluster) {
			c.propose("before")
			old := c.leader()
			thaw := make(chan struct{})
			old.state.freeze = thaw
			go old.node.Propose(context.Background(), []byte("freeze"))
			time.Sleep(10 * time.Millisecond)
			answers := make(chan error, 2)
			go func() { answers <- old.node.ReadBarrier(context.Background()) }()
			go func() {
				_, err := old.node.Propose(context.Background(), []byte("late"))
				answers <- err
			}()
			time.Sleep(frozen)
			c.proposeTo(c.waitForLeader(c.others(old)), "meanwhile")
			close(thaw)
			assert.Assert(t, <-answers != nil)
			assert.Assert(t, <-answers != nil)
			assert.DeepEqual(t, c.waitForEqualState("a", "b", "c"), []string{"before", "freeze", "meanwhile"})
		})
	}
}

// At the planned stop of a leader, users must not wait for an election timeout,
// and no change is lost.
func TestLeadershipTransferAtPlannedStop(t *testing.T) {
	withGroup(t, func(t *testing.T, c *cluster) {
		c.proposeMany("x", 10)
		old := c.leader()
		began := time.Now()
		assert.NilError(t, old.node.TransferLeadership(shortContext(t)))
		next := c.waitForLeader(c.others(old))
		assert.Assert(t, time.Since(began) <= 100*time.Millisecond, "%s", time.Since(began))
		c.proposeTo(next, "last")
		assert.Equal(t, len(c.waitForEqualState("a", "b", "c")), 11)
	})
}

// The leader is killed while a member with a lost disk is being replaced. After
// the operator repeats the command at the next leader, the group must have three
// voters and every confirmed change.
func TestLeaderKilledWhileAMemberIsReplaced(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 60 * time.Millisecond, 120 * time.Millisecond, 300 * time.Millisecond} {
		withGroup(t, func(t *testing.T, c *cluster) {
			c.proposeMany("x", 50)
			leader := c.leader()
			replaced := c.others(leader)[0]
			c.loseDisk(replaced.name)
			c.start(replaced.name)
			go leader.node.ProposeMember(context.Background(), false, c.member(replaced.name))
			time.Sleep(delay)
			c.kill(leader.name)
			time.Sleep(3 * time.Second)
			c.start(leader.name)
			c.addMember(replaced)
			c.propose("last")
			assert.Equal(t, len(c.waitForEqualState("a", "b", "c")), 51)
			members := c.leader().node.Status().Members
			assert.Equal(t, len(members), 3)
			for _, m := range members {
				assert.Assert(t, !m.Member.Learner)
				assert.Equal(t, m.Member.DiskId, c.hosts[m.Member.InstanceId].node.DiskID())
			}
		})
	}
}

func (c *cluster) setCut(from, to string, cut bool) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.link.cut[[2]string{from, to}] = cut
}

// addMember adds an instance's new disk and, like an operator, repeats the command
// until it is confirmed.
func (c *cluster) addMember(h *testInstance) {
	c.t.Helper()
	for range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := c.leader().node.ProposeMember(ctx, false, c.member(h.name))
		cancel()
		if err == nil {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.t.Fatal("the member was not added")
}

func (c *cluster) waitForLeader(hosts []*testInstance) *testInstance {
	c.t.Helper()
	for range 200 {
		for _, h := range hosts {
			if h.node.Status().IsLeader && h.node.ReadBarrier(shortContext(c.t)) == nil {
				return h
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("no leader within 10 s")
	return nil
}

func (c *cluster) commandsAt(leader *testInstance) []string {
	c.t.Helper()
	if err := leader.node.ReadBarrier(shortContext(c.t)); err != nil {
		c.t.Fatal(err)
	}
	return leader.state.list()
}
