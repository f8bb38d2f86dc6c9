package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/storage"
	"github.com/hyssopsail/hyssopsail/internal/storage/faultfs"
)

func TestInitRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a", "b")
		a, b := c.member("a"), c.member("b")
		node := c.hosts["a"].node
		tables := map[string]struct {
			fleet   string
			members []*pb.Member
		}{
			"no fleet":            {"", []*pb.Member{a}},
			"separator in fleet":  {"x#y", []*pb.Member{a}},
			"without the own":     {"fleet", []*pb.Member{b}},
			"own as learner":      {"fleet", []*pb.Member{{InstanceId: "a", DiskId: a.DiskId, RpcAddress: "a", Learner: true}, b}},
			"a member twice":      {"fleet", []*pb.Member{a, a}},
			"member without disk": {"fleet", []*pb.Member{a, {InstanceId: "b", RpcAddress: "b"}}},
		}
		for name, row := range tables {
			assert.Assert(t, node.Init(row.fleet, row.members) != nil, name)
		}
		assert.Assert(t, !node.Status().Initialised)
		assert.ErrorIs(t, node.ReadBarrier(shortContext(t)), ErrNotLeader)
	})
}

// Removing a member can be repeated, but must be rejected if it would leave the
// group without a reachable quorum.
func TestRemoval(t *testing.T) {
	withGroup(t, func(t *testing.T, c *cluster) {
		leader := c.leader()
		dead, alive := c.others(leader)[0], c.others(leader)[1]
		c.kill(dead.name)
		time.Sleep(2 * time.Second)
		_, err := leader.node.ProposeMember(shortContext(t), true, &pb.Member{InstanceId: alive.name})
		assert.ErrorContains(t, err, "no quorum")
		for range 2 {
			membership, err := leader.node.ProposeMember(shortContext(t), true, &pb.Member{InstanceId: dead.name})
			assert.NilError(t, err)
			assert.Equal(t, len(membership.Members), 2)
		}
		// The leader may remove itself; the last voter continues alone.
		_, err = c.leader().node.ProposeMember(shortContext(t), true, &pb.Member{InstanceId: c.leader().name})
		assert.Assert(t, err == nil || errors.Is(err, ErrUncertain), "%v", err)
		c.propose("alone")
		assert.Equal(t, len(c.leader().node.Status().Members), 1)
	})
}

func TestCorruptFolderIsRefused(t *testing.T) {
	disk := faultfs.New()
	options := Options{
		InstanceID: "a", RPCAddress: "a", Dir: "/data", FS: disk, Machine: &commandLog{},
		Transport: linkTransport{&link{}, "a"},
	}
	synctest.Test(t, func(t *testing.T) {
		node, err := New(options)
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		go node.Run(ctx)
		assert.NilError(t, node.Init("fleet", []*pb.Member{{InstanceId: "a", DiskId: node.DiskID(), RpcAddress: "a"}}))
		cancel()
		synctest.Wait()
	})
	disk.Damage(disk.Files("/data/log-")[0], 5)
	_, err := New(options)
	var corrupt *storage.ErrCorrupt
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}
