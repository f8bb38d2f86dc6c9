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

// A change is confirmed by the leader and one member. The member loses its
// disk and comes back empty, and the leader dies: together with the third,
// which never saw the change, the empty one must not elect a leader without
// it. After the repair a second disk is lost, and still nothing is missing.
func TestLostDiskCannotVoteAChangeAway(t *testing.T) {
	inGroup(t, func(t *testing.T, c *cluster) {
		c.propose("first")
		leader := c.leader()
		holder, behind := c.others(leader)[0], c.others(leader)[1]
		c.setCut(leader.name, behind.name, true)
		c.propose("accepted")
		c.loseDisk(holder.name)
		c.kill(leader.name)
		c.start(holder.name)
		c.setCut(leader.name, behind.name, false)
		time.Sleep(time.Minute)
		assert.Assert(t, !holder.node.Status().IsLeader && !behind.node.Status().IsLeader)
		assert.Equal(t, holder.node.Status().Initialised, false)

		c.start(leader.name)
		c.repair(holder)
		assert.DeepEqual(t, c.agree("a", "b", "c"), []string{"first", "accepted"})

		c.loseDisk(leader.name)
		c.start(leader.name)
		c.repair(leader)
		c.propose("last")
		assert.DeepEqual(t, c.agree("a", "b", "c"), []string{"first", "accepted", "last"})
	})
}

// All control instances lose power at once, in the middle of proposals, and
// what their disks had not synced is gone. Each confirmed change is there.
func TestAllRestartWithUnsyncedWritesDropped(t *testing.T) {
	inGroup(t, func(t *testing.T, c *cluster) {
		var confirmed []string
		for round := range 10 {
			leader := c.leader()
			release := c.others(leader)[0].disk.Stall()
			for i := range 5 {
				command := fmt.Sprintf("%d-%d", round, i)
				if _, err := leader.node.Propose(short(t), []byte(command)); err == nil {
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
			all := c.agreeUnder(c.leader())
			for _, command := range confirmed {
				assert.Assert(t, slices.Contains(all, command), "%s is lost", command)
			}
		}
		assert.Equal(t, len(confirmed), 50)
	})
}

// Both followers' disks are slow when a change comes. The change must not be
// confirmed on the word of members that don't hold it durably: the power
// fails, the leader's disk is lost, and a confirmed change would be gone.
func TestNothingIsConfirmedBeforeFollowersSync(t *testing.T) {
	inGroup(t, func(t *testing.T, c *cluster) {
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

// A disk is full, fails a sync, or takes forever. The instance must stop at
// once and for good, its callers must not be told that anything was done, and
// the others go on.
func TestBadDiskStepsDown(t *testing.T) {
	tables := []struct {
		name  string
		spoil func(h *machineHost) (mend func())
	}{
		{"full", func(h *machineHost) func() { h.disk.SetCapacity(1); return func() {} }},
		{"fails a sync", func(h *machineHost) func() { h.disk.FailSyncs(1); return func() {} }},
		{"stalls", func(h *machineHost) func() { return h.disk.Stall() }},
	}
	for _, row := range tables {
		t.Run(row.name, func(t *testing.T) {
			inGroup(t, func(t *testing.T, c *cluster) {
				c.propose("before")
				bad := c.leader()
				mend := row.spoil(bad)
				_, err := bad.node.Propose(context.Background(), []byte("caught"))
				assert.ErrorIs(t, err, ErrUncertain)
				assert.ErrorIs(t, <-bad.ended, ErrStorage)
				mend()
				assert.Assert(t, bad.node.Status().StorageFailed && !bad.node.Status().IsLeader)
				_, err = bad.node.Propose(short(t), []byte("x"))
				assert.ErrorIs(t, err, ErrStorage)
				assert.ErrorIs(t, bad.node.ReadBarrier(short(t)), ErrStorage)
				c.proposeTo(c.leaderOf(c.others(bad)), "after")
			})
		})
	}
}

// A disk is full, fails a sync, or hangs for some seconds, and then works again.
// Its process goes on without a restart: it never claims to lead meanwhile, takes
// up what it missed, applies nothing twice, and is a voter that counts.
func TestBadDiskComesBack(t *testing.T) {
	tables := []struct {
		name  string
		spoil func(h *machineHost) (mend func())
	}{
		{"full", func(h *machineHost) func() { h.disk.SetCapacity(1); return func() { h.disk.SetCapacity(0) } }},
		{"fails a sync", func(h *machineHost) func() { h.disk.FailSyncs(1); return func() {} }},
		{"stalls", func(h *machineHost) func() { return h.disk.Stall() }},
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
					bad := c.leader()
					if who == "follower" {
						bad = c.others(bad)[0]
					}
					mend := row.spoil(bad)
					_, _ = bad.node.Propose(short(t), []byte("caught"))
					c.proposeMany("after", 20)
					time.Sleep(4 * time.Second)
					mend()
					time.Sleep(2 * time.Second)
					assert.Equal(t, len(bad.ended), 0)
					assert.Assert(t, !bad.node.Status().StorageFailed)
					good, third := c.others(bad)[0], c.others(bad)[1]
					c.kill(third.name)
					c.proposeTo(c.leaderOf([]*machineHost{bad, good}), "by two")
					time.Sleep(time.Second)
					assert.DeepEqual(t, bad.state.list(), good.state.list())
				})
			})
		}
	}
}

// A planned stop comes while a disk hangs: it ends without the disk.
func TestStopWhileADiskHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.options = func(o *Options) { o.Reopen = true }
		c.add("a", "b", "c")
		c.init("a", "b", "c")
		bad := c.leader()
		release := bad.disk.Stall()
		defer release()
		_, err := bad.node.Propose(context.Background(), []byte("caught"))
		assert.ErrorIs(t, err, ErrUncertain)
		time.Sleep(5 * time.Second)
		bad.stop()
		assert.NilError(t, <-bad.ended)
	})
}
