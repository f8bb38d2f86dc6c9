package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Size of the target fleet.
const (
	benchTeams     = 2100
	benchInstances = 1300
)

// largeFleet returns a fleet with benchTeams teams in seven zone classes and
// benchInstances entries.
func largeFleet(b *testing.B) *testLog {
	b.Helper()
	l := newLog(b)
	l.accept("fleet", 0, []byte(fleetYAML))
	for n := range benchInstances {
		assert.Equal(b, l.join(fmt.Sprint("e", n), 1, allZones[n%3]), "")
	}
	for n := range benchTeams {
		var permitted []string
		for z := range allZones {
			if (n%7+1)>>z&1 == 1 {
				permitted = append(permitted, allZones[z])
			}
		}
		name := fmt.Sprint("team", n)
		l.accept("teams/"+name, 0, teamYAML(name, permitted...))
	}
	return l
}

func BenchmarkApplyChange(b *testing.B) {
	l := largeFleet(b)
	b.ResetTimer()
	for n := range b.N {
		team := n % benchTeams
		name := fmt.Sprint("team", team)
		l.accept("teams/"+name, uint64(n/benchTeams+1), teamYAML(name, "howrah"))
	}
}

func BenchmarkApplyRestart(b *testing.B) {
	l := largeFleet(b)
	groups := 0
	b.ResetTimer()
	for n := range b.N {
		i := n % benchInstances
		assert.Equal(b, l.join(fmt.Sprint("e", i), uint64(n/benchInstances+2), allZones[i%3]), "")
		groups += len(l.machine.delta.LedgerGroups)
	}
	b.ReportMetric(float64(groups)/float64(b.N), "groups/op")
}

func BenchmarkSnapshot(b *testing.B) {
	l := largeFleet(b)
	b.ResetTimer()
	var data []byte
	for range b.N {
		data, _ = l.machine.Snapshot()
	}
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportMetric(float64(proto.Size(l.machine.Pull(0))), "pull-bytes")
}

func BenchmarkRestore(b *testing.B) {
	l := largeFleet(b)
	data, err := l.machine.Snapshot()
	assert.NilError(b, err)
	b.ResetTimer()
	for range b.N {
		assert.NilError(b, NewMachine(testOptions()).Restore(l.index, data))
	}
}

// BenchmarkPullDelta measures the cost of one change for one reader: reading and
// encoding the delta.
func BenchmarkPullDelta(b *testing.B) {
	l := largeFleet(b)
	b.ResetTimer()
	size := 0
	for range b.N {
		encoded, err := proto.Marshal(l.machine.Pull(l.index - 1))
		assert.NilError(b, err)
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}

func BenchmarkRenewLease(b *testing.B) {
	c := newCluster(b, 1)
	s := c.members[0].server
	i := &pb.InstanceRecord{Id: "e0", Incarnation: 1, AvailabilityZone: "howrah", Entry: true}
	s.leases.tick(time.Now(), c.term, defaultInstanceLease, nil)
	b.ResetTimer()
	for range b.N {
		reply, err := s.RenewLease(context.Background(), &pb.RenewLeaseRequest{Instance: i})
		assert.NilError(b, err)
		assert.Assert(b, reply.Granted)
	}
}
