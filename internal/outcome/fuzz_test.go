package outcome

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// newSingleReplicaService returns a service that is the only replica of shard 0 at
// epoch 1.
func newSingleReplicaService() *Service {
	self := fleet.Instance{ID: "a", Incarnation: 1, Zone: "howrah", Entry: true}
	shard := fleet.LedgerShard{ZoneClass: testZones.Class()}
	state := &membership.State{
		View: fleet.View{Instances: map[fleet.InstanceID]fleet.Instance{"a": self}},
		LedgerGroups: map[fleet.LedgerShard]fleet.LedgerGroup{shard: {
			Shard:    shard,
			Epoch:    1,
			Replicas: []fleet.LedgerReplica{{Owner: self.Owner(), Ready: true}},
		}},
	}
	s := NewService(Options{Source: &membership.Static{FixedState: state, Instance: self}, Limits: Limits{MaxRecords: 50, RecordLife: time.Hour}})
	s.applyState()
	return s
}

// FuzzServer sends arbitrary bytes to each RPC. The server must neither panic nor keep
// more records than its limit.
func FuzzServer(f *testing.F) {
	ref := &pb.ShardRef{ZoneClass: testZones.Class(), Epoch: 1}
	key := make([]byte, 16)
	ballot := classic(1).proto()
	decision := intentOf("attempt-1", fleet.Owner{Instance: "a", Incarnation: 1}).proto()
	seeds := []proto.Message{
		&pb.PrepareRequest{Shard: ref, Key: key, Ballot: ballot},
		&pb.AcceptRequest{Shard: ref, Key: key, Ballot: ballot, Decision: decision, EndpointId: "bank-1"},
		&pb.FinishRequest{Shard: ref, Key: key, AttemptId: "attempt-1", Outcome: 2},
		&pb.LookupRequest{Shard: ref, Key: key},
		&pb.CopyShardRequest{Shard: &pb.ShardRef{ZoneClass: testZones.Class(), Epoch: 2}, SourceIncarnation: 1, Limit: 10},
		&pb.BeginRunRequest{Fingerprint: key},
		&pb.EndRunRequest{Fingerprint: key},
	}
	for n, m := range seeds {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(uint8(n), data)
	}
	service := newSingleReplicaService()
	description := pb.DRPCLedgerDescription{}
	f.Fuzz(func(t *testing.T, method uint8, data []byte) {
		n := int(method) % description.NumMethods()
		name, _, receiver, _, _ := description.Method(n)
		request := proto.Clone(seeds[n])
		proto.Reset(request)
		if proto.Unmarshal(data, request) != nil {
			return
		}
		reply, err := receiver(service.Server(), t.Context(), request, nil)
		assert.Assert(t, err != nil || reply != nil, "%s gave neither a reply nor an error", name)
		assert.Assert(t, service.replica.RecordCount() <= 50)
	})
}

// FuzzReplies passes arbitrary replies to a proposer and arbitrary pages to a replica
// that copies.
func FuzzReplies(f *testing.F) {
	f.Add([]byte{}, []byte{})
	reply, err := proto.Marshal(Reply{Status: ReplyOK, Record: StoredRecord{Decision: tombstone(), Accepted: classic(1)}}.proto(Key{}))
	assert.NilError(f, err)
	f.Add(reply, reply)
	f.Fuzz(func(t *testing.T, verdict, page []byte) {
		var v pb.LedgerVerdict
		if proto.Unmarshal(verdict, &v) == nil {
			p := NewProposer(PurposeClaim, Claim{Attempt: "attempt-2"}, fleet.Owner{Instance: "b"}, 1)
			step := p.Start(GroupView{Epoch: 1, Replicas: 1, RecordLife: time.Hour, InView: func(fleet.Owner) bool { return false }})
			for range 4 {
				if step.Broadcast == nil {
					break
				}
				step = p.HandleReply(0, *step.Broadcast, replyFromProto(&v))
			}
		}
		var c pb.CopyShardReply
		if proto.Unmarshal(page, &c) == nil {
			a := NewAcceptor(Limits{RecordLife: time.Hour, MaxRecords: 10})
			for _, r := range pageFromProto(&c).Records {
				a.Merge(testStart, r)
			}
			assert.Assert(t, a.Len() <= 10)
		}
	})
}
