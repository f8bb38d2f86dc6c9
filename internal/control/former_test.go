package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// formerClassList returns a machine's former classes as "team class".
func (l *testLog) formerClassList() []string {
	found := []string{}
	for _, f := range l.machine.fleetState().FormerClasses {
		found = append(found, f.Team+" "+f.ZoneClass)
	}
	return found
}

func (l *testLog) lastDelta() *pb.Delta {
	return l.machine.recentDeltas.deltas[len(l.machine.recentDeltas.deltas)-1]
}

// A team's zones change, and change back. Each class that it left must be kept
// for two record lives after the team left it last, also across restores from a
// snapshot.
func TestFormerClassesTable(t *testing.T) {
	const all, one = "barasat+durgapur+howrah", "howrah"
	l := newFleet(t)
	l.accept("teams/sorters", 1, append(teamYAML("sorters", allZones...), "share: 2\n"...))
	assert.DeepEqual(t, l.formerClassList(), []string{})
	l.accept("teams/sorters", 2, teamYAML("sorters", "howrah"))
	assert.DeepEqual(t, l.formerClassList(), []string{"sorters " + all})
	assert.Equal(t, l.lastDelta().FormerClasses[0].ZoneClass, all)
	l.restoreFromSnapshot()
	l.clockMs += 1000
	l.accept("teams/sorters", 3, nil) // removed
	l.restoreFromSnapshot()
	l.accept("teams/sorters", 4, teamYAML("sorters", allZones...))
	assert.DeepEqual(t, l.formerClassList(), []string{"sorters " + all, "sorters " + one})
	life := formerClassRecordLives * defaultRecordLife.Milliseconds()
	l.advance(life - 1000)
	assert.Equal(t, len(l.formerClassList()), 2)
	l.clockMs++
	assert.Assert(t, l.machine.HasExpiredRecords(l.clockMs))
	l.drain("nobody")
	assert.DeepEqual(t, l.formerClassList(), []string{"sorters " + one})
	assert.Assert(t, l.lastDelta().FormerClasses[0].Removed)
	l.advance(1000)
	assert.DeepEqual(t, l.formerClassList(), []string{})
	assert.Assert(t, !l.machine.HasExpiredRecords(l.clockMs))
}

// When the table of former classes is full, a change must be refused: without the
// record of a former class, calls would run twice.
func TestFormerClassesAreBounded(t *testing.T) {
	l := newFleet(t)
	for n := range maxFormerClassesPerTeam {
		l.machine.formerClasses.set("sorters", fmt.Sprint("class-", n), l.clockMs)
	}
	refused := l.change(subtree("teams/sorters", 1, "x", teamYAML("sorters", "howrah")))
	assert.Equal(t, refused.Status, pb.ChangeStatus_CHANGE_STATUS_INVALID)
	assert.Equal(t, l.machine.Tree().Teams["sorters"].Permitted().Len(), 3)
	l.accept("teams/sorters", 1, append(teamYAML("sorters", allZones...), "share: 2\n"...))
}

// A call runs while its team's zones change, and ends minutes later. Its record
// lives from the call's end, so a repeat must still find it when the change is
// more than one record life ago.
func TestFormerClassOutlivesLateRecords(t *testing.T) {
	l := newFleet(t)
	old := l.machine.zoneClasses.byTeam["sorters"]
	l.accept("teams/sorters", 1, teamYAML("sorters", "howrah"))
	l.advance(defaultRecordLife.Milliseconds() * 19 / 10)
	assert.DeepEqual(t, l.formerClassList(), []string{"sorters " + old})
	assert.Assert(t, l.machine.groups[fleet.LedgerShard{ZoneClass: old}] != nil)
}
