package outcome

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// A peer sends a key of the wrong length or names far longer than any real one, which
// would let records grow without bound. The calls must be refused and nothing kept.
func TestServerRefusesMalformed(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	ref := &pb.ShardRef{ZoneClass: testZones.Class(), Epoch: 1}
	key := make([]byte, 16)
	intent := &pb.Decision{Kind: pb.DecisionKind_DECISION_KIND_INTENT, AttemptId: "attempt-1", Owner: &pb.Owner{InstanceId: "a"}}
	longOwner := &pb.Decision{Kind: intent.Kind, AttemptId: "attempt-1", Owner: &pb.Owner{InstanceId: long}}
	cases := map[string]*pb.AcceptRequest{
		"short key":     {Shard: ref, Key: key[:15], Ballot: classic(1).proto(), Decision: intent},
		"long endpoint": {Shard: ref, Key: key, Ballot: classic(1).proto(), Decision: intent, EndpointId: long},
		"long owner":    {Shard: ref, Key: key, Ballot: classic(1).proto(), Decision: longOwner},
		"long ballot":   {Shard: ref, Key: key, Ballot: &pb.Ballot{Round: 1<<roundBits + 1, InstanceId: long}, Decision: intent},
	}
	for name, q := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSingleReplicaService()
			_, err := s.Server().Accept(t.Context(), q)
			assert.Assert(t, err != nil)
			assert.Equal(t, s.replica.RecordCount(), 0)
		})
	}
	s := newSingleReplicaService()
	verdict, err := s.Server().Accept(t.Context(), &pb.AcceptRequest{Shard: ref, Key: key, Ballot: classic(1).proto(), Decision: intent})
	assert.NilError(t, err)
	assert.Assert(t, verdict.GetOk())
}
