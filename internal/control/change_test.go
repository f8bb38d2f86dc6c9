package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

const (
	accepted      = pb.ChangeStatus_CHANGE_STATUS_ACCEPTED
	conflicting   = pb.ChangeStatus_CHANGE_STATUS_CONFLICT
	invalidChange = pb.ChangeStatus_CHANGE_STATUS_INVALID
)

func TestChangeTable(t *testing.T) {
	clerks, sorters := teamYAML("clerks", "howrah"), teamYAML("sorters", "howrah")
	cases := []struct {
		name    string
		change  *pb.ChangeSubtree
		status  pb.ChangeStatus
		version uint64
	}{
		{"create", subtree("teams/clerks", 0, "c1", clerks), accepted, 1},
		{"create with a version", subtree("teams/clerks", 1, "c1", clerks), conflicting, 0},
		{"no change ID", subtree("teams/clerks", 0, "", clerks), invalidChange, 0},
		{"no name", subtree("", 0, "c1", clerks), invalidChange, 0},
		{"unknown zone", subtree("teams/clerks", 0, "c1", teamYAML("clerks", "nowhere")), invalidChange, 0},
		{"not YAML", subtree("teams/clerks", 0, "c1", []byte("{\xff")), invalidChange, 0},
		{"too large", subtree("teams/clerks", 0, "c1", make([]byte, maxYAMLBytes+1)), invalidChange, 0},
		{"existing, version 0", subtree("teams/sorters", 0, "c1", sorters), conflicting, 1},
		{"remove", subtree("teams/sorters", 1, "c1", nil), accepted, 2},
		{"remove the fleet", subtree("fleet", 1, "c1", nil), invalidChange, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newFleet(t)
			c.change.Author = "mina"
			result := l.change(c.change)
			assert.Equal(t, result.Status, c.status, result.Detail)
			assert.Equal(t, result.Version, c.version)
			if c.status == conflicting {
				assert.Equal(t, result.Current.GetVersion(), c.version)
			}
		})
	}
}

// The leader fails after it committed a change and before it answered, and the
// operator repeats the change, also after others have changed the subtree and
// after the next leader was restored from a snapshot. Each repeat must return
// the first result, and the change must be applied only once.
func TestRepeatedChangeGetsFirstResult(t *testing.T) {
	l := newFleet(t)
	change := subtree("teams/sorters", 1, "mine", teamYAML("sorters", "howrah"))
	change.Author = "mina"
	first := l.change(change)
	assert.Equal(t, first.Status, accepted)
	lost := proto.Clone(change).(*pb.ChangeSubtree)
	lost.ChangeId = "theirs"
	conflict := l.change(lost)
	assert.Equal(t, conflict.Status, conflicting)
	for round := range 3 {
		l.accept("teams/sorters", uint64(2+round), teamYAML("sorters", "barasat"))
		l.restoreFromSnapshot()
		change.ProposedUnixMs++ // differs between repeats
		again := l.change(change)
		assert.Assert(t, again.Repeated)
		assert.Equal(t, again.Index, first.Index)
		assert.Equal(t, again.Version, first.Version)
		assert.Equal(t, l.machine.documents["teams/sorters"].Version, uint64(3+round))
		againLost := l.change(lost)
		assert.Equal(t, againLost.Status, conflicting)
		assert.Equal(t, againLost.Current.Version, uint64(2))
	}
	change.Yaml = teamYAML("sorters", "durgapur")
	assert.Equal(t, l.change(change).Status, invalidChange)
}

// Two operators read the same version and both change it, a thousand times. In
// each round exactly one change is accepted, and the other gets a conflict with
// the accepted document. Changes of different teams never conflict.
func TestConcurrentChangesConflict(t *testing.T) {
	l := newFleet(t)
	l.accept("teams/clerks", 0, teamYAML("clerks", "howrah"))
	for round := range uint64(1000) {
		a := subtree("teams/sorters", round+1, fmt.Sprint("a", round), teamYAML("sorters", "howrah"))
		b := subtree("teams/sorters", round+1, fmt.Sprint("b", round), teamYAML("sorters", "barasat"))
		other := subtree("teams/clerks", round+1, fmt.Sprint("c", round), teamYAML("clerks", "howrah"))
		if round%2 == 1 {
			a, b = b, a
		}
		won := l.change(a)
		assert.Equal(t, l.change(other).Status, accepted)
		lost := l.change(b)
		assert.Equal(t, won.Status, accepted)
		assert.Equal(t, lost.Status, conflicting)
		assert.DeepEqual(t, lost.Current.Yaml, a.Yaml)
		assert.Equal(t, lost.Current.ChangeId, a.ChangeId)
	}
}

func TestHistoryIsKeptAndBounded(t *testing.T) {
	l := newFleet(t)
	const changes = maxHistoryVersions + 10
	for n := range uint64(changes) {
		l.accept("teams/sorters", n+1, teamYAML("sorters", "howrah"))
	}
	l.restoreFromSnapshot()
	kept := l.machine.Documents(&pb.GetSettingsRequest{Name: "teams/sorters", History: true})
	assert.Equal(t, len(kept), maxHistoryVersions+1)
	assert.Equal(t, kept[len(kept)-1].Version, uint64(changes+1))
	old := l.machine.Documents(&pb.GetSettingsRequest{Name: "teams/sorters", Version: changes - 5})
	assert.Equal(t, old[0].Version, uint64(changes-5))
	assert.Equal(t, len(l.machine.Documents(&pb.GetSettingsRequest{})), 2)
}

// A reader behind the oldest kept delta gets the whole state; one just behind
// gets deltas.
func TestPullDeltasOrSnapshot(t *testing.T) {
	l := newFleet(t)
	for n := range uint64(maxRecentDeltas + 10) {
		l.accept("teams/sorters", n+1, teamYAML("sorters", "howrah"))
	}
	assert.Assert(t, l.machine.Pull(2).Snapshot != nil)
	near := l.machine.Pull(l.index - 3)
	assert.Equal(t, len(near.Deltas), 3)
	assert.Equal(t, near.ThroughIndex, l.index)
	assert.Assert(t, l.machine.Pull(l.index) == nil)
	l.restoreFromSnapshot()
	assert.Assert(t, l.machine.Pull(l.index-3).Snapshot != nil)
	assert.Assert(t, l.machine.Pull(l.index) == nil)
	l.accept("teams/sorters", maxRecentDeltas+11, teamYAML("sorters", "barasat"))
	assert.Equal(t, len(l.machine.Pull(l.index-1).Deltas), 1)
}
