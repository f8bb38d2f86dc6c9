package replica

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A change is confirmed by the leader and one follower. Then the follower loses
// its disk and the leader is killed. The empty member must not elect a leader
// together with the third one, which doesn't have the change. After the empty
// member was added again, a second disk is lost, and no change may be missing.
func TestLostDiskKeepsConfirmedChanges(t *testing.T) {
	withGroup(t, func(t *testing.T, c *cluster) {
		c.propose("first")
		leader := c.leader()
		holder, lagging := c.others(leader)[0], c.others(leader)[1]
		c.setCut(leader.name, lagging.name, true)
		c.propose("accepted")
		c.loseDisk(holder.name)
		c.kill(leader.name)
		c.start(holder.name)
		c.setCut(leader.name, lagging.name, false)
		time.Sleep(time.Minute)
		assert.Assert(t, !holder.node.Status().IsLeader && !lagging.node.Status().IsLeader)
		assert.Equal(t, holder.node.Status().Initialised, false)

		c.start(leader.name)
		c.addMember(holder)
		assert.DeepEqual(t, c.waitForEqualState("a", "b", "c"), []string{"first", "accepted"})

		c.loseDisk(leader.name)
		c.start(leader.name)
		c.addMember(leader)
		c.propose("last")
		assert.DeepEqual(t, c.waitForEqualState("a", "b", "c"), []string{"first", "accepted", "last"})
	})
}

// All control instances lose power at once during proposals, and unsynced data is
// lost. Each confirmed change must still be there.
func TestPowerLossOnAllInstances(t *testing.T) {
	withGroup(t, func(t *testing.T, c *cluster) {
		var confirmed []string
		for round := range 10 {
			leader := c.leader()
			release := c.others(leader)[0].disk.Stall()
			for i := range 5 {
				command := fmt.Sprintf("%d-%d", round, i)
				if _, err := leader.node.Propose(shortContext(t), []byte(command)); err == nil {
					confirmed = append(confirmed, command)
				}
			}
			go leader.node.Propose(context.Background(), []byte("pending"))
			for _, name := range []string{"a", "b", "c"} {
				c.kill(name)
			}
			release()
			for _, name := range []string{"a", "b", "c"} {
				c.start(name)
			}
			all := c.commandsAt(c.leader())
			for _, command := range confirmed {
				assert.Assert(t, slices.Contains(all, command), "%s is lost", command)
			}
		}
		assert.Equal(t, len(confirmed), 50)
	})
}

// While the disks of both followers stall, a change must not be confirmed. If
// followers acknowledged it before a sync, a power failure with the loss of the
// leader's disk would lose a confirmed change.
func TestNothingIsConfirmedBeforeFollowersSync(t *testing.T) {
	withGroup(t, func(t *testing.T, c *cluster) {
		c.propose("before")
		leader := c.leader()
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		for _, other := range c.others(leader) {
			release := other.disk.Stall()
			defer release()
		}
		_, err := leader.node.Propose(ctx, []byte("x"))
		assert.ErrorIs(t, err, ErrUncertain)
	})
}

// A disk is full, fails a sync, or stalls. The member must stop at once and not
// resume, its callers must not get a confirmation, and the other members continue.
func TestDiskFailureStopsMember(t *testing.T) {
	tables := []struct {
		name      string
		breakDisk func(h *testInstance) (repair func())
	}{
		{"full", func(h *testInstance) func() { h.disk.SetCapacity(1); return func() {} }},
		{"fails a sync", func(h *testInstance) func() { h.disk.FailSyncs(1); return func() {} }},
		{"stalls", func(h *testInstance) func() { return h.disk.Stall() }},
	}
	for _, row := range tables {
		t.Run(row.name, func(t *testing.T) {
			withGroup(t, func(t *testing.T, c *cluster) {
				c.propose("before")
				failing := c.leader()
				repairDisk := row.breakDisk(failing)
				_, err := failing.node.Propose(context.Background(), []byte("caught"))
				assert.ErrorIs(t, err, ErrUncertain)
				assert.ErrorIs(t, <-failing.ended, ErrStorage)
				repairDisk()
				assert.Assert(t, failing.node.Status().StorageFailed && !failing.node.Status().IsLeader)
				_, err = failing.node.Propose(shortContext(t), []byte("x"))
				assert.ErrorIs(t, err, ErrStorage)
				assert.ErrorIs(t, failing.node.ReadBarrier(shortContext(t)), ErrStorage)
				c.proposeTo(c.waitForLeader(c.others(failing)), "after")
			})
		})
	}
}

// A disk is full, fails a sync, or stalls for some seconds, and then works again.
// The process must continue without a restart: it doesn't claim leadership while
// the disk fails, catches up, applies nothing twice, and counts as a voter again.
func TestMemberRecoversFromDiskFailure(t *testing.T) {
	tables := []struct {
		name      string
		breakDisk func(h *testInstance) (repair func())
	}{
		{"full", func(h *testInstance) func() { h.disk.SetCapacity(1); return func() { h.disk.SetCapacity(0) } }},
		{"fails a sync", func(h *testInstance) func() { h.disk.FailSyncs(1); return func() {} }},
		{"stalls", func(h *testInstance) func() { return h.disk.Stall() }},
	}
	for _, row := range tables {
		for _, who := range []string{"leader", "follower"} {
			t.Run(row.name+" of a "+who, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t)
					c.options = func(o *Options) { o.Reopen, o.SnapshotEntries, o.KeepEntries = true, 8, 2 }
					c.add("a", "b", "c")
					c.init("a", "b", "c")
					c.proposeMany("before", 20)
					failing := c.leader()
					if who == "follower" {
						failing = c.others(failing)[0]
					}
					repairDisk := row.breakDisk(failing)
					_, _ = failing.node.Propose(shortContext(t), []byte("caught"))
					c.proposeMany("after", 20)
					time.Sleep(4 * time.Second)
					repairDisk()
					time.Sleep(2 * time.Second)
					assert.Equal(t, len(failing.ended), 0)
					assert.Assert(t, !failing.node.Status().StorageFailed)
					healthy, third := c.others(failing)[0], c.others(failing)[1]
					c.kill(third.name)
					c.proposeTo(c.waitForLeader([]*testInstance{failing, healthy}), "by two")
					time.Sleep(time.Second)
					assert.DeepEqual(t, failing.state.list(), healthy.state.list())
				})
			})
		}
	}
}

// A planned stop must complete while a disk hangs.
func TestStopWhileDiskHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.options = func(o *Options) { o.Reopen = true }
		c.add("a", "b", "c")
		c.init("a", "b", "c")
		failing := c.leader()
		release := failing.disk.Stall()
		defer release()
		_, err := failing.node.Propose(context.Background(), []byte("caught"))
		assert.ErrorIs(t, err, ErrUncertain)
		time.Sleep(5 * time.Second)
		failing.stop()
		assert.NilError(t, <-failing.ended)
	})
}
