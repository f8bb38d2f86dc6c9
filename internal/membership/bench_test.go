package membership

import (
	"fmt"
	"testing"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

const benchFleet = `availability_zones:
  - {name: howrah, region: bengal}
models:
  - {name: fibre, versions: [v1], kv_bytes_per_token: 128KB, max_tokens: 32000}
operators:
  - {name: root, key_hash: "sha256:0000000000000000000000000000000000000000000000000000000000000001", subtrees: ["*"]}
`

// newLargeFollower returns a follower with 2,100 teams and 1,300 instances.
func newLargeFollower(b *testing.B) *follower {
	b.Helper()
	s := &pb.FleetState{Index: 1, ViewNumber: 1, Subtrees: []*pb.SubtreeDocument{{Name: "fleet", Version: 1, Yaml: []byte(benchFleet)}}}
	for n := range 2100 {
		s.Subtrees = append(s.Subtrees, teamDocument(n, 1))
	}
	for n := range 1300 {
		s.Instances = append(s.Instances, &pb.InstanceRecord{Id: fmt.Sprint("e", n), Incarnation: 1, AvailabilityZone: "howrah", Entry: true})
	}
	f := newFollower(Options{Build: settings.Build, Change: settings.CheckChange})
	f.mustApply(b, 0, &pb.PullReply{Snapshot: s, ThroughIndex: 1})
	return f
}

func teamDocument(n int, version uint64) *pb.SubtreeDocument {
	name := fmt.Sprint("team", n)
	yaml := fmt.Appendf(nil, "team: %s\nkey_hashes: [%q]\npermitted_zones: [howrah]\nmodels: [fibre]\n", name, keyhash.Of(name))
	return &pb.SubtreeDocument{Name: "teams/" + name, Version: version, Yaml: yaml}
}

func benchmarkFollow(b *testing.B, delta func(n int) *pb.Delta) {
	f := newLargeFollower(b)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		d := delta(n)
		d.Index = f.state.Index + 1
		f.mustApply(b, f.state.Index, replyWithDelta(d))
	}
}

// BenchmarkFollowChange measures the cost of one changed team for a daemon.
func BenchmarkFollowChange(b *testing.B) {
	benchmarkFollow(b, func(n int) *pb.Delta {
		return &pb.Delta{Subtrees: []*pb.SubtreeDocument{teamDocument(n%2100, uint64(n/2100+2))}}
	})
}

// BenchmarkFollowRestart measures the cost of one restarted instance for a daemon.
func BenchmarkFollowRestart(b *testing.B) {
	benchmarkFollow(b, func(n int) *pb.Delta {
		restarted := &pb.InstanceRecord{Id: "e0", Incarnation: uint64(n + 2), AvailabilityZone: "howrah", Entry: true}
		return &pb.Delta{ViewNumber: uint64(n + 2), Joined: []*pb.InstanceRecord{restarted}}
	})
}
