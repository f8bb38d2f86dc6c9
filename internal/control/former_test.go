package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// formerOf lists a machine's former classes as "team class".
func (l *log) formerOf() []string {
	found := []string{}
	for _, f := range l.machine.fleetState().FormerClasses {
		found = append(found, f.Team+" "+f.ZoneClass)
	}
	return found
}

func (l *log) lastDelta() *pb.Delta {
	return l.machine.recent.deltas[len(l.machine.recent.deltas)-1]
}

// A team's zones change, and change back. Each class that it left stays known
// through restarts, for two record lives from when it was left last.
func TestFormerClassesTable(t *testing.T) {
	const all, one = "barasat+durgapur+howrah", "howrah"
	l := newFleet(t)
	l.accept("teams/sorters", 1, append(teamYAML("sorters", allZones...), "share: 2\n"...))
	assert.DeepEqual(t, l.formerOf(), []string{})
	l.accept("teams/sorters", 2, teamYAML("sorters", "howrah"))
	assert.DeepEqual(t, l.formerOf(), []string{"sorters " + all})
	assert.Equal(t, l.lastDelta().FormerClasses[0].ZoneClass, all)
	l.restart()
	l.clock += 1000
	l.accept("teams/sorters", 3, nil) // removed
	l.restart()
	l.accept("teams/sorters", 4, teamYAML("sorters", allZones...))
	assert.DeepEqual(t, l.formerOf(), []string{"sorters " + all, "sorters " + one})
	life := formerLives * defaultRecordLife.Milliseconds()
	l.clock += life - 1000
	l.drain("nobody")
	assert.Equal(t, len(l.formerOf()), 2)
	l.clock++
	assert.Assert(t, l.machine.Due(l.clock))
	l.drain("nobody")
	assert.DeepEqual(t, l.formerOf(), []string{"sorters " + one})
	assert.Assert(t, l.lastDelta().FormerClasses[0].Removed)
	l.clock += 1000
	l.drain("nobody")
	assert.DeepEqual(t, l.formerOf(), []string{})
	assert.Assert(t, !l.machine.Due(l.clock))
}

// The table of former classes is full: the change is refused, since a class
// that is forgotten would let calls run twice.
func TestFormerClassesAreBounded(t *testing.T) {
	l := newFleet(t)
	for n := range maxTeamFormer {
		l.machine.former.set("sorters", fmt.Sprint("class-", n), l.clock)
	}
	refused := l.change(subtree("teams/sorters", 1, "x", teamYAML("sorters", "howrah")))
	assert.Equal(t, refused.Status, pb.ChangeStatus_CHANGE_STATUS_INVALID)
	assert.Equal(t, l.machine.Tree().Teams["sorters"].Permitted().Len(), 3)
	l.accept("teams/sorters", 1, append(teamYAML("sorters", allZones...), "share: 2\n"...))
}

// A call runs while its team's zones change, and ends minutes later. Its record
// lives on from its end, and a repeat in that time must still find it, though
// the change is more than one record life ago.
func TestFormerClassOutlivesALateEnd(t *testing.T) {
	l := newFleet(t)
	old := l.machine.classes.ofTeam["sorters"]
	l.accept("teams/sorters", 1, teamYAML("sorters", "howrah"))
	l.clock += defaultRecordLife.Milliseconds() * 19 / 10
	l.drain("nobody")
	assert.DeepEqual(t, l.formerOf(), []string{"sorters " + old})
	assert.Assert(t, l.machine.groups[fleet.LedgerShard{ZoneClass: old}] != nil)
}
