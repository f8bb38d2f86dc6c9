package control

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/keyhash"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
	"github.com/hyssopsail/hyssopsail/internal/testkit"
)

const fleetYAML = `availability_zones:
  - {name: howrah, region: bengal}
  - {name: barasat, region: bengal}
  - {name: durgapur, region: bengal}
models:
  - {name: fibre, versions: [v1], kv_bytes_per_token: 128KB, max_tokens: 32000, weight_bytes: 10GB, load_time: 60s}
weight_store: {rate: 1GB/s, concurrent_loads: 2}
operators:
  - {name: root, key_hash: "sha256:0000000000000000000000000000000000000000000000000000000000000001", subtrees: ["*"]}
`

var allZones = []string{"howrah", "barasat", "durgapur"}

func teamYAML(name string, zones ...string) []byte {
	text := "team: %s\nkey_hashes: [%q]\npermitted_zones: [%s]\nmodels: [fibre]\n"
	return fmt.Appendf(nil, text, name, keyhash.Of(name), strings.Join(zones, ", "))
}

func testOptions() MachineOptions {
	return MachineOptions{Check: settings.CheckChange, Build: settings.Build}
}

// testLog applies commands to a Machine as the replicated log would.
type testLog struct {
	t       testing.TB
	machine *Machine
	index   uint64
	clockMs int64
}

func serveControl(n *testkit.Network, address string, s pb.DRPCControlServer) {
	n.Serve(address, s, pb.DRPCControlDescription{}, pb.DRPCConsensusDescription{})
}

func newLog(t testing.TB) *testLog {
	return &testLog{t: t, machine: NewMachine(testOptions()), clockMs: 1_000_000}
}

func (l *testLog) apply(c *pb.Command) *pb.CommandResult {
	l.t.Helper()
	l.index++
	c.UnixMs = l.clockMs
	encoded, err := proto.Marshal(c)
	assert.NilError(l.t, err)
	var result pb.CommandResult
	assert.NilError(l.t, proto.Unmarshal(l.machine.Apply(l.index, encoded), &result))
	return &result
}

func (l *testLog) change(c *pb.ChangeSubtree) *pb.ChangeResult {
	l.t.Helper()
	return l.apply(&pb.Command{Body: &pb.Command_ChangeSubtree{ChangeSubtree: c}}).Change
}

func subtree(name string, version uint64, changeID string, yaml []byte) *pb.ChangeSubtree {
	return &pb.ChangeSubtree{Name: name, ExpectedVersion: version, ChangeId: changeID, Yaml: yaml}
}

func (l *testLog) accept(name string, version uint64, yaml []byte) *pb.ChangeResult {
	l.t.Helper()
	result := l.change(subtree(name, version, fmt.Sprintf("%s-%d-%d", name, version, l.index), yaml))
	assert.Equal(l.t, result.Status, pb.ChangeStatus_CHANGE_STATUS_ACCEPTED, result.Detail)
	return result
}

func (l *testLog) join(id string, incarnation uint64, zone string) string {
	l.t.Helper()
	i := &pb.InstanceRecord{Id: id, Incarnation: incarnation, AvailabilityZone: zone, Entry: true}
	return l.apply(&pb.Command{Body: &pb.Command_JoinInstance{JoinInstance: &pb.JoinInstance{Instance: i}}}).Refusal
}

func (l *testLog) expire(id string, incarnation uint64) string {
	l.t.Helper()
	e := &pb.ExpireInstance{Id: id, Incarnation: incarnation, Reason: "lease"}
	return l.apply(&pb.Command{Body: &pb.Command_ExpireInstance{ExpireInstance: e}}).Refusal
}

func (l *testLog) drain(id string) string {
	l.t.Helper()
	return l.apply(&pb.Command{Body: &pb.Command_DrainInstance{DrainInstance: &pb.DrainInstance{Id: id}}}).Refusal
}

// advance moves the clock forward by ms milliseconds and applies a command
// without effect.
func (l *testLog) advance(ms int64) {
	l.t.Helper()
	l.clockMs += ms
	l.drain("nobody")
}

func (l *testLog) reportReady(r *pb.LedgerReplica, g *pb.LedgerGroup) string {
	l.t.Helper()
	return l.apply(&pb.Command{Body: &pb.Command_LedgerReady{LedgerReady: readyReport(r, g)}}).Refusal
}

// readyReport returns the report that a replica has copied the group's records.
func readyReport(r *pb.LedgerReplica, g *pb.LedgerGroup) *pb.LedgerReady {
	shards := []*pb.LedgerShardEpoch{{ZoneClass: g.ZoneClass, Shard: g.Shard, Epoch: g.Epoch}}
	return &pb.LedgerReady{InstanceId: r.InstanceId, Incarnation: r.Incarnation, Shards: shards}
}

func (l *testLog) order(o *pb.IssueOrder) *pb.CommandResult {
	l.t.Helper()
	return l.apply(&pb.Command{Body: &pb.Command_IssueOrder{IssueOrder: o}})
}

// restoreFromSnapshot replaces the machine by one restored from its snapshot.
func (l *testLog) restoreFromSnapshot() {
	l.t.Helper()
	snapshot, err := l.machine.Snapshot()
	assert.NilError(l.t, err)
	l.machine = NewMachine(testOptions())
	assert.NilError(l.t, l.machine.Restore(l.index, snapshot))
}

// newFleet returns a log with the fleet subtree and one team in all zones.
func newFleet(t testing.TB) *testLog {
	t.Helper()
	l := newLog(t)
	l.accept("fleet", 0, []byte(fleetYAML))
	l.accept("teams/sorters", 0, teamYAML("sorters", allZones...))
	return l
}
