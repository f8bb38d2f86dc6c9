package control

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// formerClassRecordLives is the number of record lives for which a team's former
// zone class and the groups of a retired class are kept. The record of a call
// that was running during the change lives from the end of the call: with a
// single record life, a repeat would find no record and run the call again.
const formerClassRecordLives = 2

// formerClasses keeps the zone classes that teams left recently. When a call is
// repeated after its team's permitted zones changed, its record is in the ledger
// groups of the former class; without this table no entry would look there, and
// the call would run twice.
type formerClasses struct {
	leftUnixMs   map[fleet.Team]map[string]int64 // by team and class: when the team left it
	count        int
	pendingDelta []*pb.FormerClass // changes not yet in a delta
}

func newFormerClasses() *formerClasses {
	return &formerClasses{leftUnixMs: make(map[fleet.Team]map[string]int64)}
}

func (f *formerClasses) set(team fleet.Team, class string, clock int64) {
	classes := f.leftUnixMs[team]
	if classes == nil {
		classes = make(map[string]int64)
		f.leftUnixMs[team] = classes
	}
	if _, known := classes[class]; !known {
		f.count++
	}
	classes[class] = clock
}

// recordLeft records that the team left a class.
func (f *formerClasses) recordLeft(team fleet.Team, class string, clock int64) {
	f.set(team, class, clock)
	f.pendingDelta = append(f.pendingDelta, formerClassProto(team, class, clock))
}

func (f *formerClasses) remove(team fleet.Team, class string) {
	delete(f.leftUnixMs[team], class)
	f.count--
	if len(f.leftUnixMs[team]) == 0 {
		delete(f.leftUnixMs, team)
	}
	f.pendingDelta = append(f.pendingDelta, &pb.FormerClass{Team: string(team), ZoneClass: class, Removed: true})
}

// expire removes classes that were left longer than life ago; clock and life are
// in ms. The age of a class that was left under a clock far ahead counts from
// now.
func (f *formerClasses) expire(clock, life int64) {
	for team, classes := range f.leftUnixMs {
		for class, left := range classes {
			switch age := clock - left; {
			case age < -life:
				classes[class] = clock
			case age > life:
				f.remove(team, class)
			}
		}
	}
}

func (f *formerClasses) hasExpired(clock, life int64) bool {
	for _, classes := range f.leftUnixMs {
		for _, left := range classes {
			if clock-left > life {
				return true
			}
		}
	}
	return false
}

// takePendingDelta returns the changes for the next delta, sorted, and clears
// them.
func (f *formerClasses) takePendingDelta() []*pb.FormerClass {
	pending := f.pendingDelta
	f.pendingDelta = nil
	sortFormerClasses(pending)
	return pending
}

func (f *formerClasses) sorted() []*pb.FormerClass {
	all := make([]*pb.FormerClass, 0, f.count)
	for team, classes := range f.leftUnixMs {
		for class, left := range classes {
			all = append(all, formerClassProto(team, class, left))
		}
	}
	sortFormerClasses(all)
	return all
}

func formerClassProto(team fleet.Team, class string, left int64) *pb.FormerClass {
	return &pb.FormerClass{Team: string(team), ZoneClass: class, ChangedUnixMs: left}
}

func sortFormerClasses(all []*pb.FormerClass) {
	sort.SliceStable(all, func(a, b int) bool {
		if all[a].Team != all[b].Team {
			return all[a].Team < all[b].Team
		}
		return all[a].ZoneClass < all[b].ZoneClass
	})
}

// exceedsFormerClassLimit reports whether the subtree's class in tree would
// exceed a limit on former classes. Such a change is refused, because dropping a
// former class would let calls run twice.
func (m *Machine) exceedsFormerClassLimit(tree *settings.Tree, name string) bool {
	team := teamOfSubtree(name)
	current := m.zoneClasses.byTeam[team]
	if current == "" || tree.Teams[team].Permitted().Class() == current {
		return false
	}
	left := m.formerClasses.leftUnixMs[team]
	if _, known := left[current]; known {
		return false
	}
	return len(left) >= maxFormerClassesPerTeam || m.formerClasses.count >= maxFormerClasses
}

// formerClassLifeMs returns how long former and retired classes are kept.
func (m *Machine) formerClassLifeMs() int64 {
	return formerClassRecordLives * m.recordLifeMs()
}

// recordLifeMs returns how long outcome records live.
func (m *Machine) recordLifeMs() int64 {
	life := m.tree.Fleet.Timeouts.RecordLife
	if life <= 0 {
		life = defaultRecordLife
	}
	return life.Milliseconds()
}

// HasExpiredRecords reports whether records have expired at clock, in Unix
// milliseconds. They are removed when the next command is applied.
func (m *Machine) HasExpiredRecords(clock int64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	life := m.formerClassLifeMs()
	for _, left := range m.zoneClasses.retiredUnixMs {
		if clock-left > life {
			return true
		}
	}
	if m.lostHistoryExpired(clock) {
		return true
	}
	return m.formerClasses.hasExpired(clock, life) || m.suspects.hasExpired(clock, m.suspectLifeMs())
}
