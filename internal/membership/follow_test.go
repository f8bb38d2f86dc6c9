package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// fakeBuild returns a tree without the documents' content.
func fakeBuild(_ []*pb.SubtreeDocument, index uint64) (*settings.Tree, error) {
	return &settings.Tree{Index: index}, nil
}

func newTestFollower() *follower { return newFollower(Options{Build: fakeBuild}) }

// mustApply applies a reply and fails the test on an error.
func (f *follower) mustApply(t testing.TB, after uint64, reply *pb.PullReply) {
	t.Helper()
	_, err := f.applyReply(after, reply)
	assert.NilError(t, err)
}

// replyWithDelta returns a reply with one delta.
func replyWithDelta(d *pb.Delta) *pb.PullReply {
	return &pb.PullReply{Deltas: []*pb.Delta{d}, ThroughIndex: d.Index}
}

// deltaHistory returns n deltas. The one at index i sets the subtree to version i.
func deltaHistory(n int) []*pb.Delta {
	var all []*pb.Delta
	for i := 1; i <= n; i++ {
		d := &pb.Delta{Index: uint64(i), ViewNumber: uint64(i / 10), Subtrees: []*pb.SubtreeDocument{testDocument(i)}}
		if i%10 == 0 {
			d.Joined = []*pb.InstanceRecord{{Id: fmt.Sprint("e", i), Incarnation: 1}}
		}
		all = append(all, d)
	}
	return all
}

func testDocument(version int) *pb.SubtreeDocument {
	return &pb.SubtreeDocument{Name: "teams/a", Version: uint64(version), Yaml: []byte("x")}
}

func snapshotAt(index int) *pb.PullReply {
	s := &pb.FleetState{Index: uint64(index), ViewNumber: uint64(index / 10), FleetId: "trust", Subtrees: []*pb.SubtreeDocument{testDocument(index)}}
	for i := 10; i <= index; i += 10 {
		s.Instances = append(s.Instances, &pb.InstanceRecord{Id: fmt.Sprint("e", i), Incarnation: 1})
	}
	return &pb.PullReply{Snapshot: s, ThroughIndex: uint64(index)}
}

// Pull replies with old deltas and snapshots arrive late, repeatedly and in any
// order, as from lagging control instances. The settings of an entry must never
// revert to an older version, and must end at the latest.
func TestAcceptedSettingsNeverRevert(t *testing.T) {
	const length = 200
	deltas := deltaHistory(length)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		f := newTestFollower()
		highest := uint64(0)
		for range 400 {
			after := random.IntN(length)
			reply := snapshotAt(after + 1)
			if random.IntN(4) > 0 {
				through := min(length, after+1+random.IntN(20))
				reply = &pb.PullReply{Deltas: deltas[after:through], ThroughIndex: uint64(through)}
			}
			_, err := f.applyReply(uint64(after), reply)
			assert.Assert(t, err == nil || errors.Is(err, errMissingDeltas))
			version := f.state.Tree.Versions["teams/a"]
			assert.Assert(t, version >= highest, "seed %d: version %d after %d", seed, version, highest)
			assert.Equal(t, version, f.state.Index)
			assert.Equal(t, len(f.state.View.Instances), int(f.state.Index/10))
			highest = version
		}
		f.mustApply(t, 0, snapshotAt(length))
		assert.Equal(t, f.state.Tree.Versions["teams/a"], uint64(length))
	}
}

func TestApplyReply(t *testing.T) {
	other := snapshotAt(30)
	other.Snapshot.FleetId = "another"
	cases := []struct {
		name  string
		after uint64
		reply *pb.PullReply
		gap   bool
		fails bool
		index uint64
	}{
		{"next", 20, replyWithDelta(&pb.Delta{Index: 21, Subtrees: []*pb.SubtreeDocument{testDocument(21)}}), false, false, 21},
		{"overlapping", 18, &pb.PullReply{Deltas: deltaHistory(22)[18:], ThroughIndex: 22}, false, false, 22},
		{"nothing new", 20, &pb.PullReply{ThroughIndex: 20}, false, false, 20},
		{"entries without effect", 20, &pb.PullReply{ThroughIndex: 25}, false, false, 25},
		{"starts after the state", 22, replyWithDelta(&pb.Delta{Index: 23}), true, true, 20},
		{"subtree version skipped", 20, replyWithDelta(&pb.Delta{Index: 22, Subtrees: []*pb.SubtreeDocument{testDocument(22)}}), true, true, 20},
		{"view skipped", 20, replyWithDelta(&pb.Delta{Index: 22, ViewNumber: 4, Joined: []*pb.InstanceRecord{{Id: "x"}}}), true, true, 20},
		{"another fleet", 0, other, false, true, 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFollower()
			f.mustApply(t, 0, snapshotAt(20))
			_, err := f.applyReply(c.after, c.reply)
			assert.Equal(t, err != nil, c.fails)
			assert.Equal(t, errors.Is(err, errMissingDeltas), c.gap)
			assert.Equal(t, f.state.Index, c.index)
		})
	}
}

func TestPublishedStatesAreImmutable(t *testing.T) {
	f := newTestFollower()
	f.mustApply(t, 0, snapshotAt(9))
	before := f.state
	fingerprint := fleet.Fingerprint{1}
	f.mustApply(t, 9, replyWithDelta(&pb.Delta{
		Index: 10, ViewNumber: 1, Joined: []*pb.InstanceRecord{{Id: "x", Incarnation: 1}},
		Subtrees:      []*pb.SubtreeDocument{testDocument(10)},
		LedgerGroups:  []*pb.LedgerGroup{{ZoneClass: "z", Epoch: 1}},
		Suspects:      []*pb.SuspectRecord{{Fingerprint: fingerprint[:], Crashes: 1}},
		FormerClasses: []*pb.FormerClass{{Team: "a", ZoneClass: "y"}, {Team: "a", ZoneClass: "x"}},
	}))
	assert.Equal(t, len(before.View.Instances)+len(before.LedgerGroups)+len(before.Suspects)+len(before.FormerZoneClasses), 0)
	assert.Equal(t, before.Tree.Versions["teams/a"], uint64(9))
	assert.Equal(t, len(f.state.View.Instances)+len(f.state.LedgerGroups)+len(f.state.Suspects), 3)
	middle := f.state
	f.mustApply(t, 10, replyWithDelta(&pb.Delta{
		Index: 11, LedgerGroups: []*pb.LedgerGroup{{ZoneClass: "z", Removed: true}},
		Suspects:      []*pb.SuspectRecord{{Fingerprint: fingerprint[:]}},
		FormerClasses: []*pb.FormerClass{{Team: "a", ZoneClass: "y", Removed: true}, {Team: "a", ZoneClass: "x", ChangedUnixMs: 2}},
	}))
	assert.DeepEqual(t, middle.FormerZoneClasses["a"], []string{"x", "y"})
	assert.DeepEqual(t, f.state.FormerZoneClasses["a"], []string{"x"})
	snapshot := &pb.FleetState{Index: 12, FleetId: "trust", FormerClasses: []*pb.FormerClass{{Team: "b", ZoneClass: "z"}}}
	f.mustApply(t, 0, &pb.PullReply{ThroughIndex: 12, Snapshot: snapshot})
	assert.DeepEqual(t, f.state.FormerZoneClasses, map[fleet.Team][]string{"b": {"z"}})
	assert.Equal(t, len(f.state.LedgerGroups)+len(f.state.Suspects), 0)
}
