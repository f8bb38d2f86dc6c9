package control

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func TestFollowerNamesLeader(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, 3)
	s := c.members[1].server
	named := func(reply interface{ GetLeaderAddress() string }, err error) {
		assert.NilError(t, err)
		assert.Equal(t, reply.GetLeaderAddress(), "control0")
	}
	instance := &pb.InstanceRecord{Id: "e0", Incarnation: 1, AvailabilityZone: "howrah"}
	renewal, err := s.RenewLease(ctx, &pb.RenewLeaseRequest{Instance: instance})
	named(renewal, err)
	assert.Equal(t, renewal.Refusal, refusalNotLeader)
	named(s.Change(ctx, &pb.ChangeRequest{Change: &pb.ChangeSubtree{}}))
	named(s.GetSettings(ctx, &pb.GetSettingsRequest{}))
	named(s.ChangeMember(ctx, &pb.ChangeMemberRequest{Member: &pb.Member{InstanceId: "control2"}}))
	c.leader = -1
	_, err = s.GetSettings(ctx, &pb.GetSettingsRequest{})
	assert.ErrorContains(t, err, "knows none")
}

// A partitioned leader still reports that it is the leader. It must answer
// neither reads nor renewals from its stale state.
func TestPartitionedLeaderRefusesCalls(t *testing.T) {
	ctx := context.Background()
	c := newCluster(t, 3)
	s := c.members[0].server
	s.leases.tick(time.Now(), c.term, defaultInstanceLease, nil)
	request := &pb.RenewLeaseRequest{Instance: &pb.InstanceRecord{Id: "e0", Incarnation: 1, AvailabilityZone: "howrah"}}
	reply, err := s.RenewLease(ctx, request)
	assert.NilError(t, err)
	assert.Assert(t, reply.Granted)
	c.setPartitioned(0, true)
	reply, err = s.RenewLease(ctx, request)
	assert.NilError(t, err)
	assert.Assert(t, !reply.Granted)
	_, err = s.GetSettings(ctx, &pb.GetSettingsRequest{})
	assert.Assert(t, err != nil)
	_, err = s.Change(ctx, &pb.ChangeRequest{Change: &pb.ChangeSubtree{}})
	assert.Assert(t, err != nil)
}

func TestInitLearnsDiskIdentities(t *testing.T) {
	c := newCluster(t, 3)
	client := NewClient(c.net.Dialer("admin"), c.addresses, logging.Part{})
	ctx := context.Background()
	member := func(n int) *pb.Member {
		return &pb.Member{InstanceId: c.members[n].address(), RpcAddress: c.members[n].address()}
	}
	cases := []struct {
		name    string
		request *pb.InitRequest
		fails   string
	}{
		{"all", &pb.InitRequest{FleetId: "archive", Members: []*pb.Member{member(0), member(1), member(2)}}, ""},
		{"again", &pb.InitRequest{FleetId: "trust", Members: []*pb.Member{member(0)}}, ""},
		{"no fleet ID", &pb.InitRequest{Members: []*pb.Member{member(0)}}, "fleet ID"},
		{"not this one", &pb.InitRequest{FleetId: "archive", Members: []*pb.Member{member(1)}}, "none of the members"},
		{"wrong address", &pb.InitRequest{FleetId: "archive", Members: []*pb.Member{member(0), {InstanceId: "other", RpcAddress: "control1"}}}, "answers"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := client.Init(ctx, "control0", tc.request)
			if tc.fails == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.fails)
		})
	}
	identity, err := client.DiskIdentity(ctx, "control2")
	assert.NilError(t, err)
	assert.Equal(t, identity.DiskId, "disk-control2")
	removed, err := client.ChangeMember(ctx, &pb.ChangeMemberRequest{Remove: true, Member: &pb.Member{InstanceId: "control2"}})
	assert.NilError(t, err)
	assert.Equal(t, removed.Membership.Members[0].DiskId, "disk-control2")
	status, err := client.Status(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(status.Members), 3)
}

func TestPullsAreBounded(t *testing.T) {
	c := newCluster(t, 1)
	s := c.members[0].server
	for range maxPulls {
		s.pullSlots <- struct{}{}
	}
	_, err := s.Pull(context.Background(), &pb.PullRequest{WaitMs: 1 << 60})
	assert.ErrorContains(t, err, "too many")
}
