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
	withHarness(t, func(h *daemonHarness) {
		d := h.start("e0", 1)
		assert.Assert(t, !d.current())
		time.Sleep(time.Second)
		assert.Assert(t, d.current())
		assert.Equal(t, d.agent.State().FleetID, "trust")
		h.apply("teams/sorters", 1, teamYAML("sorters", "howrah"))
		time.Sleep(100 * time.Millisecond)
		state := d.agent.State()
		assert.Equal(t, state.Tree.Versions["teams/sorters"], uint64(2))
		assert.DeepEqual(t, state.Tree.Teams["sorters"].PermittedZones, []fleet.AvailabilityZone{"howrah"})
		assert.Assert(t, state.View.Contains(d.agent.Self().Owner()))
		assert.NilError(t, d.agent.Leave(h.ctx))
		assert.Assert(t, !d.current())
		assert.Equal(t, len(h.view()), 0)
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(h.view()), 0)
	})
}

// An entry is partitioned from the control group. It must stop taking requests
// before its lease ends at the leader and within the settings lease; the view
// may drop it only after that. When the link is back, the entry must be fenced.
func TestPartitionedEntryStopsBeforeRemovalFromView(t *testing.T) {
	withHarness(t, func(h *daemonHarness) {
		d := h.start("e0", 1)
		other := h.start("e1", 1)
		time.Sleep(5 * time.Second)
		assert.Assert(t, d.current())
		h.setPartitioned("e0", true)
		partitionedAt := time.Now()
		for h.view()["e0"] != 0 {
			time.Sleep(10 * time.Millisecond)
			if h.view()["e0"] == 0 {
				assert.Assert(t, !d.current())
			}
		}
		assert.Assert(t, time.Since(partitionedAt) <= testSettingsLease)
		assert.Assert(t, other.current())
		h.setPartitioned("e0", false)
		assert.Assert(t, errors.Is(<-d.ended, membership.ErrFenced))
		assert.Assert(t, !d.current())
	})
}

func TestShortPartitionKeepsLease(t *testing.T) {
	withEntry(t, func(h *daemonHarness, d *daemon) {
		h.setPartitioned("e0", true)
		time.Sleep(testInstanceLease / 2)
		h.setPartitioned("e0", false)
		time.Sleep(testInstanceLease)
		assert.Assert(t, d.current())
		assert.Equal(t, h.view()["e0"], uint64(1))
	})
}

// An entry is partitioned for less than its lease, while 600 changes, or more
// than all kept deltas, are accepted. It must catch up, by deltas or by the whole
// state, under the same incarnation and with the latest settings.
func TestLaggingEntryCatchesUp(t *testing.T) {
	for _, changes := range []uint64{600, maxRecentDeltas + 100} {
		withEntry(t, func(h *daemonHarness, d *daemon) {
			h.setPartitioned("e0", true)
			for n := range changes {
				h.apply("teams/sorters", n+1, teamYAML("sorters", "barasat"))
			}
			time.Sleep(testInstanceLease / 2)
			assert.Equal(t, d.agent.State().Tree.Versions["teams/sorters"], uint64(1))
			h.setPartitioned("e0", false)
			time.Sleep(testSettingsLease)
			assert.Assert(t, d.current())
			assert.Equal(t, d.agent.State().Tree.Versions["teams/sorters"], changes+1)
			assert.Equal(t, h.view()["e0"], uint64(1))
		})
	}
}

// Only the answers to the entry are lost. The leader receives renewals and keeps
// the entry in the view, but the entry gets no lease and must stop.
func TestOneWayPartitionStopsEntry(t *testing.T) {
	withEntry(t, func(h *daemonHarness, d *daemon) {
		for _, a := range h.cluster.addresses() {
			h.cluster.net.SetCut(true, a, "e0")
		}
		time.Sleep(testInstanceLease)
		assert.Assert(t, !d.current())
		assert.Equal(t, h.view()["e0"], uint64(1))
	})
}

// A control member that is partitioned from the others still answers pulls, but
// with stale state. Renewals at the leader show the entry that it lags: it must
// pull from another member and stay current, with the latest settings.
func TestEntryPullsFromAnotherMemberWhenOneLags(t *testing.T) {
	withEntry(t, func(h *daemonHarness, d *daemon) {
		for n := 1; n < 3; n++ {
			h.cluster.setPartitioned(n, true)
		}
		version := uint64(1)
		for range 10 {
			h.apply("teams/sorters", version, teamYAML("sorters", "howrah"))
			version++
			time.Sleep(testSettingsLease)
			assert.Assert(t, d.current())
			assert.Equal(t, d.agent.State().Tree.Versions["teams/sorters"], version)
		}
	})
}

// Settings change while no member answers pulls. The entry still renews its
// instance lease but can't get the change: it must stop within the settings
// lease, so that it does not serve with stale settings.
func TestEntryWithStaleSettingsStops(t *testing.T) {
	withEntry(t, func(h *daemonHarness, d *daemon) {
		for _, m := range h.cluster.members {
			serveControl(h.cluster.net, m.address(), hangingPulls{m.server})
		}
		time.Sleep(25 * time.Second) // open pulls end
		assert.Assert(t, d.current())
		h.apply("teams/sorters", 1, teamYAML("sorters", "howrah"))
		time.Sleep(testSettingsLease)
		assert.Assert(t, !d.current())
		assert.Equal(t, h.view()["e0"], uint64(1))
	})
}

type hangingPulls struct{ pb.DRPCControlServer }

func (hangingPulls) Pull(ctx context.Context, _ *pb.PullRequest) (*pb.PullReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A daemon is restarted while its earlier process still exists, for example
// because it was suspended. The new incarnation replaces the old one, whose next
// renewal must fence it.
func TestRestartFencesTheOldProcess(t *testing.T) {
	withHarness(t, func(h *daemonHarness) {
		old := h.start("e0", 1)
		time.Sleep(time.Second)
		assert.Assert(t, old.current())
		h.start("e0", 2)
		assert.Assert(t, errors.Is(<-old.ended, membership.ErrFenced))
		assert.Assert(t, !old.current())
		assert.Equal(t, h.view()["e0"], uint64(2))
	})
}

// The leader changes right after an entry became unreachable. The new leader
// knows no renewals: it must expire no instance before a full lease has passed,
// and then only the unreachable one.
func TestNewLeaderWaitsAFullLease(t *testing.T) {
	withHarness(t, func(h *daemonHarness) {
		alive := h.start("e0", 1)
		h.start("e1", 1)
		time.Sleep(5 * time.Second)
		h.setPartitioned("e1", true)
		time.Sleep(testInstanceLease / 2)
		h.cluster.elect(1)
		elected := time.Now()
		for h.view()["e1"] != 0 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, alive.current())
		}
		assert.Assert(t, time.Since(elected) >= testInstanceLease)
		assert.Assert(t, time.Since(elected) < 2*testInstanceLease)
		assert.Equal(t, h.view()["e0"], uint64(1))
	})
}

// There is no leader for longer than a lease. The entry must stop and must not be
// expired, and it must continue under its incarnation once there is a leader.
func TestNoInstanceExpiresWithoutLeader(t *testing.T) {
	withEntry(t, func(h *daemonHarness, d *daemon) {
		h.cluster.elect(-1)
		time.Sleep(10 * time.Second)
		assert.Assert(t, !d.current())
		h.cluster.elect(2)
		time.Sleep(testInstanceLease)
		assert.Assert(t, d.current())
		assert.Equal(t, h.view()["e0"], uint64(1))
	})
}

// The leader fails after a change is committed and before it answers. The
// operator's client repeats the change at the next leader and must get the first
// result.
func TestChangeRepeatedAtNextLeader(t *testing.T) {
	withHarness(t, func(h *daemonHarness) {
		h.cluster.mu.Lock()
		h.cluster.failNextReply = true
		h.cluster.mu.Unlock()
		reply := h.apply("teams/sorters", 1, teamYAML("sorters", "howrah"))
		assert.Assert(t, reply.Result.Repeated)
		assert.Equal(t, reply.Result.Version, uint64(2))
		now, err := h.admin.GetSettings(h.ctx, &pb.GetSettingsRequest{Name: "teams/sorters"})
		assert.NilError(t, err)
		assert.Equal(t, now.Documents[0].Version, uint64(2))
	})
}

// A change is sent with a wait while one entry is partitioned. The answer must
// come only after that entry has stopped, so that the older version is in force
// nowhere after it.
func TestInForceWaitCoversPartitionedEntry(t *testing.T) {
	withHarness(t, func(h *daemonHarness) {
		d := h.start("e0", 1)
		partitioned := h.start("e1", 1)
		time.Sleep(5 * time.Second)
		quick := h.change("teams/sorters", 1, teamYAML("sorters", "barasat"), 20*time.Second)
		assert.Assert(t, quick.InForce)
		h.setPartitioned("e1", true)
		asked := time.Now()
		reply := h.change("teams/sorters", 2, teamYAML("sorters", "howrah"), 20*time.Second)
		assert.Assert(t, reply.InForce)
		assert.Assert(t, !partitioned.current())
		assert.Assert(t, time.Since(asked) < testSettingsLease)
		assert.Equal(t, d.agent.State().Tree.Versions["teams/sorters"], uint64(3))
		h.setPartitioned("e0", true)
		short := h.change("teams/sorters", 3, teamYAML("sorters", "howrah"), 100*time.Millisecond)
		assert.Assert(t, !short.InForce)
		assert.DeepEqual(t, short.PendingInstances, []string{"e0"})
	})
}

// An operator drains an entry. The entry must learn of it and hand over its
// ledger shards, and no history may be lost when it leaves.
func TestDrainHandsOver(t *testing.T) {
	withHarness(t, func(h *daemonHarness) {
		d := h.start("e0", 1)
		time.Sleep(time.Second) // e0 starts first, so that it has shards
		for n := 1; n < 4; n++ {
			h.start(fmt.Sprint("e", n), 1)
		}
		time.Sleep(time.Second)
		completeCopies(h)
		_, err := h.admin.Drain(h.ctx, &pb.DrainRequest{InstanceId: "e0"})
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond) // the interval between pulls
		assert.Assert(t, d.agent.Self().Draining)
		assert.Assert(t, !d.agent.HandedOver())
		completeCopies(h)
		assert.NilError(t, d.agent.AwaitHandover(h.ctx))
		assert.Assert(t, d.current())
		assert.NilError(t, d.agent.Leave(h.ctx))
		for _, g := range h.groups() {
			assert.Equal(t, g.HistoryLostUnixMs, int64(0))
		}
	})
}
