package control

import (
	"bytes"
	"compress/gzip"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func seedCommands(f *testing.F) {
	instance := &pb.InstanceRecord{Id: "e0", Incarnation: 9, AvailabilityZone: "howrah", Entry: true}
	bodies := []*pb.Command{
		{Body: &pb.Command_JoinInstance{JoinInstance: &pb.JoinInstance{Instance: instance}}},
		{Body: &pb.Command_ExpireInstance{ExpireInstance: &pb.ExpireInstance{Id: "e0", Incarnation: 1}}},
		{Body: &pb.Command_IssueOrder{IssueOrder: loadOrder("o", "x")}},
		{Body: &pb.Command_ReportCrash{ReportCrash: &pb.ReportCrash{EndpointId: "x", Fingerprints: [][]byte{make([]byte, 16)}}}},
		{Body: &pb.Command_ChangeSubtree{ChangeSubtree: &pb.ChangeSubtree{Name: "teams/x", ChangeId: "c", Yaml: teamYAML("x", "howrah")}}},
	}
	for _, c := range bodies {
		encoded, err := proto.Marshal(c)
		assert.NilError(f, err)
		f.Add(encoded)
	}
}

// FuzzApply checks that no command, however malformed, panics, and that its
// result is decodable and equal on two replicas restored from one snapshot.
func FuzzApply(f *testing.F) {
	seedCommands(f)
	base := fleetWithEntries(f, 4)
	snapshot, err := base.machine.Snapshot()
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, command []byte) {
		var results [][]byte
		for range 2 {
			m := NewMachine(testOptions())
			assert.NilError(t, m.Restore(base.index, snapshot))
			result := m.Apply(base.index+1, command)
			assert.NilError(t, proto.Unmarshal(result, &pb.CommandResult{}))
			results = append(results, result, m.Apply(base.index+2, command))
			_, err := m.Snapshot()
			assert.NilError(t, err)
		}
		assert.DeepEqual(t, results[0], results[2])
		assert.DeepEqual(t, results[1], results[3])
	})
}

// FuzzRestore checks that arbitrary bytes give an error or a usable state.
func FuzzRestore(f *testing.F) {
	base := fleetWithEntries(f, 4)
	encoded, err := proto.Marshal(base.machine.machineState())
	assert.NilError(f, err)
	f.Add(encoded)
	command, err := proto.Marshal(&pb.Command{Body: &pb.Command_ExpireInstance{ExpireInstance: &pb.ExpireInstance{Id: "e0", Incarnation: 1}}})
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, state []byte) {
		m := NewMachine(testOptions())
		_ = m.Restore(1, state)
		var zipped bytes.Buffer
		w := gzip.NewWriter(&zipped)
		_, _ = w.Write(state)
		_ = w.Close()
		if m.Restore(1, zipped.Bytes()) != nil {
			return
		}
		m.Apply(2, command)
		m.Pull(0)
		m.Documents(&pb.GetSettingsRequest{})
		_, _ = m.Snapshot()
	})
}
