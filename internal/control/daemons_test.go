package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// The leases of fleetYAML are the defaults.
const (
	testInstanceLease = 2 * time.Second
	testSettingsLease = 3 * time.Second
)

func TestDaemonJoinsFollowsAndLeaves(t *testing.T) {
	withHarness(t, func(b *daemonHarness) {
		d := b.start("e0", 1)
		assert.Assert(t, !d.current())
		time.Sleep(time.Second)
		assert.Assert(t, d.current())
		assert.Equal(t, d.agent.State().FleetID, "trust")
		b.apply("teams/sorters", 1, teamYAML("sorters", "howrah"))
		time.Sleep(100 * time.Millisecond)
		state := d.agent.State()
		assert.Equal(t, state.Tree.Versions["teams/sorters"], uint64(2))
		assert.DeepEqual(t, state.Tree.Teams["sorters"].PermittedZones, []fleet.AvailabilityZone{"howrah"})
		assert.Assert(t, state.View.Holds(d.agent.Self().Owner()))
		assert.NilError(t, d.agent.Leave(b.ctx))
		assert.Assert(t, !d.current())
		assert.Equal(t, len(b.view()), 0)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(b.view()), 0)
	})
}

// An entry is cut off from the control group without a word. It stops taking
// requests before its lease ends at the leader, and before the settings lease
// has passed; the view drops it only after that. When the link heals, it
// learns that its place is lost.
func TestPartitionedEntryStopsBeforeRemovalFromView(t *testing.T) {
	withHarness(t, func(b *daemonHarness) {
		d := b.start("e0", 1)
		other := b.start("e1", 1)
		time.Sleep(5 * time.Second)
		assert.Assert(t, d.current())
		b.setPartitioned("e0", true)
		cut := time.Now()
		for b.view()["e0"] != 0 {
			time.Sleep(10 * time.Millisecond)
			if b.view()["e0"] == 0 {
				assert.Assert(t, !d.current())
			}
		}
		assert.Assert(t, time.Since(cut) <= testSettingsLease)
		assert.Assert(t, other.current())
		b.setPartitioned("e0", false)
		assert.Assert(t, errors.Is(<-d.ended, membership.ErrFenced))
		assert.Assert(t, !d.current())
	})
}

func TestShortPartitionKeepsLease(t *testing.T) {
	withEntry(t, func(b *daemonHarness, d *daemon) {
		b.setPartitioned("e0", true)
		time.Sleep(testInstanceLease / 2)
		b.setPartitioned("e0", false)
		time.Sleep(testInstanceLease)
		assert.Assert(t, d.current())
		assert.Equal(t, b.view()["e0"], uint64(1))
	})
}

// An entry is cut off for a moment in which 600, or more than all kept deltas,
// changes are accepted. It catches up, by deltas or by the whole state, under
// the incarnation that it had, and its settings and view are the newest.
func TestLaggingEntryCatchesUp(t *testing.T) {
	for _, changes := range []uint64{600, maxRecentDeltas + 100} {
		withEntry(t, func(b *daemonHarness, d *daemon) {
			b.setPartitioned("e0", true)
			for n := range changes {
				b.apply("teams/sorters", n+1, teamYAML("sorters", "barasat"))
			}
			time.Sleep(testInstanceLease / 2)
			assert.Equal(t, d.agent.State().Tree.Versions["teams/sorters"], uint64(1))
			b.setPartitioned("e0", false)
			time.Sleep(testSettingsLease)
			assert.Assert(t, d.current())
			assert.Equal(t, d.agent.State().Tree.Versions["teams/sorters"], changes+1)
			assert.Equal(t, b.view()["e0"], uint64(1))
		})
	}
}

// Only answers get lost on the way to the entry. The leader sees renewals and
// keeps the entry in the view, but the entry can't know: it stops.
func TestOneWayPartitionStopsEntry(t *testing.T) {
	withEntry(t, func(b *daemonHarness, d *daemon) {
		for _, a := range b.cluster.addresses() {
			b.cluster.net.SetCut(true, a, "e0")
		}
		time.Sleep(testInstanceLease)
		assert.Assert(t, !d.current())
		assert.Equal(t, b.view()["e0"], uint64(1))
	})
}

// A control member that is cut off from the others still answers pulls, with
// nothing new. Renewals at the leader tell the entry that it lags: it asks
// another member and stays current, with the newest settings.
func TestEntryPullsFromAnotherMemberWhenOneLags(t *testing.T) {
	withEntry(t, func(b *daemonHarness, d *daemon) {
		for n := 1; n < 3; n++ {
			b.cluster.setPartitioned(n, true)
		}
		version := uint64(1)
		for range 10 {
			b.apply("teams/sorters", version, teamYAML("sorters", "howrah"))
			version++
			time.Sleep(testSettingsLease)
			assert.Assert(t, d.current())
			assert.Equal(t, d.agent.State().Tree.Versions["teams/sorters"], version)
		}
	})
}

// All members that answer pulls are cut off from the leader while settings
// change. The entry renews its instance lease all the while, but can't get the
// change: it must stop within the settings lease, not serve on old settings.
func TestEntryWithStaleSettingsStops(t *testing.T) {
	withEntry(t, func(b *daemonHarness, d *daemon) {
		for _, m := range b.cluster.members {
			serveControl(b.cluster.net, m.address(), hangingPulls{m.server})
		}
		time.Sleep(25 * time.Second) // open polls end
		assert.Assert(t, d.current())
		b.apply("teams/sorters", 1, teamYAML("sorters", "howrah"))
		time.Sleep(testSettingsLease)
		assert.Assert(t, !d.current())
		assert.Equal(t, b.view()["e0"], uint64(1))
	})
}

type hangingPulls struct{ pb.DRPCControlServer }

func (hangingPulls) Pull(ctx context.Context, _ *pb.PullRequest) (*pb.PullReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A daemon is restarted while the process before still runs, such as one that
// was frozen. The new incarnation takes the place; the old one's next renewal
// tells it so, and it is not current from then on.
func TestRestartFencesTheOldProcess(t *testing.T) {
	withHarness(t, func(b *daemonHarness) {
		old := b.start("e0", 1)
		time.Sleep(time.Second)
		assert.Assert(t, old.current())
		b.start("e0", 2)
		assert.Assert(t, errors.Is(<-old.ended, membership.ErrFenced))
		assert.Assert(t, !old.current())
		assert.Equal(t, b.view()["e0"], uint64(2))
	})
}

// The leader changes right after an entry has died. The new leader knows no
// renewals: it expires nobody before a full lease, and the dead one after it.
func TestNewLeaderWaitsAFullLease(t *testing.T) {
	withHarness(t, func(b *daemonHarness) {
		alive := b.start("e0", 1)
		b.start("e1", 1)
		time.Sleep(5 * time.Second)
		b.setPartitioned("e1", true)
		time.Sleep(testInstanceLease / 2)
		b.cluster.elect(1)
		elected := time.Now()
		for b.view()["e1"] != 0 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, alive.current())
		}
		assert.Assert(t, time.Since(elected) >= testInstanceLease)
		assert.Assert(t, time.Since(elected) < 2*testInstanceLease)
		assert.Equal(t, b.view()["e0"], uint64(1))
	})
}

// No leader for long: all entries stop, none is expired, and all go on with
// their incarnations once there is a leader.
func TestNoInstanceExpiresWithoutLeader(t *testing.T) {
	withEntry(t, func(b *daemonHarness, d *daemon) {
		b.cluster.elect(-1)
		time.Sleep(10 * time.Second)
		assert.Assert(t, !d.current())
		b.cluster.elect(2)
		time.Sleep(testInstanceLease)
		assert.Assert(t, d.current())
		assert.Equal(t, b.view()["e0"], uint64(1))
	})
}

// The leader dies after the change is synced and before it answers. The
// operator's tool resends to the next leader and gets the first result.
func TestChangeRepeatedAtNextLeader(t *testing.T) {
	withHarness(t, func(b *daemonHarness) {
		b.cluster.mu.Lock()
		b.cluster.failNextReply = true
		b.cluster.mu.Unlock()
		reply := b.apply("teams/sorters", 1, teamYAML("sorters", "howrah"))
		assert.Assert(t, reply.Result.Repeated)
		assert.Equal(t, reply.Result.Version, uint64(2))
		now, err := b.admin.GetSettings(b.ctx, &pb.GetSettingsRequest{Name: "teams/sorters"})
		assert.NilError(t, err)
		assert.Equal(t, now.Documents[0].Version, uint64(2))
	})
}

// A change is applied with a wait while one entry is cut off. The answer comes
// only when that entry has stopped: at no time is the older version in force
// anywhere after it.
func TestInForceWaitCoversPartitionedEntry(t *testing.T) {
	withHarness(t, func(b *daemonHarness) {
		d := b.start("e0", 1)
		cut := b.start("e1", 1)
		time.Sleep(5 * time.Second)
		quick := b.change("teams/sorters", 1, teamYAML("sorters", "barasat"), 20*time.Second)
		assert.Assert(t, quick.InForce)
		b.setPartitioned("e1", true)
		asked := time.Now()
		reply := b.change("teams/sorters", 2, teamYAML("sorters", "howrah"), 20*time.Second)
		assert.Assert(t, reply.InForce)
		assert.Assert(t, !cut.current())
		assert.Assert(t, time.Since(asked) < testSettingsLease)
		assert.Equal(t, d.agent.State().Tree.Versions["teams/sorters"], uint64(3))
		b.setPartitioned("e0", true)
		short := b.change("teams/sorters", 3, teamYAML("sorters", "howrah"), 100*time.Millisecond)
		assert.Assert(t, !short.InForce)
		assert.DeepEqual(t, short.PendingInstances, []string{"e0"})
	})
}

// An operator drains an entry: it learns of it, its ledger shards move, and
// it may leave with nothing lost.
func TestDrainHandsOver(t *testing.T) {
	withHarness(t, func(b *daemonHarness) {
		d := b.start("e0", 1)
		time.Sleep(time.Second) // first of all, so that it has shards
		for n := 1; n < 4; n++ {
			b.start(fmt.Sprint("e", n), 1)
		}
		time.Sleep(time.Second)
		completeCopies(b)
		_, err := b.admin.Drain(b.ctx, &pb.DrainRequest{InstanceId: "e0"})
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond) // a pull's spacing
		assert.Assert(t, d.agent.Self().Draining)
		assert.Assert(t, !d.agent.HandedOver())
		completeCopies(b)
		assert.NilError(t, d.agent.AwaitHandover(b.ctx))
		assert.Assert(t, d.current())
		assert.NilError(t, d.agent.Leave(b.ctx))
		for _, g := range b.groups() {
			assert.Equal(t, g.HistoryLostUnixMs, int64(0))
		}
	})
}
