package control

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// formerClassRecordLives is the number of record lives for which a team's former zone
// class and the groups of a class out of use are kept. A call that was running
// at the change ends later and its record lives on from then: with one life
// alone, a repeat of it would find nothing and run again.
const formerClassRecordLives = 2

// formerClasses keeps which zone classes teams have left of late.
//
// Failure guarded: a call ran, its team's permitted zones change, and the call
// is repeated. Its record is in the old class' ledger groups; without this
// table no entry would look there, and the call would run twice.
type formerClasses struct {
	leftUnixMs   map[fleet.Team]map[string]int64 // class to the unix ms of leaving it
	count        int
	pendingDelta []*pb.FormerClass // not yet in a delta
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

// recordLeft notes that the team left a class.
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

// expire drops classes left longer than life ago. One that was left by a clock
// far ahead counts from now.
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

// takePendingDelta gives what a delta must tell, sorted.
func (f *formerClasses) takePendingDelta() []*pb.FormerClass {
	noted := f.pendingDelta
	f.pendingDelta = nil
	sortFormerClasses(noted)
	return noted
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

// exceedsFormerClassLimit tells whether taking tree's class for the subtree would pass a
// bound on former classes. The change is refused then: forgetting a class
// would let calls run twice.
func (m *Machine) exceedsFormerClassLimit(tree *settings.Tree, name string) bool {
	team := teamOfSubtree(name)
	now := m.zoneClasses.byTeam[team]
	if now == "" || tree.Teams[team].Permitted().Class() == now {
		return false
	}
	left := m.formerClasses.leftUnixMs[team]
	if _, known := left[now]; known {
		return false
	}
	return len(left) >= maxFormerClassesPerTeam || m.formerClasses.count >= maxFormerClasses
}

// formerClassLifeMs is how long former and retired classes are kept, in ms.
func (m *Machine) formerClassLifeMs() int64 {
	return formerClassRecordLives * m.recordLifeMs()
}

// recordLifeMs is how long outcome records live, in ms.
func (m *Machine) recordLifeMs() int64 {
	life := m.tree.Fleet.Timeouts.RecordLife
	if life <= 0 {
		life = defaultRecordLife
	}
	return life.Milliseconds()
}

// HasExpiredRecords tells whether records have outlived their age by the given clock, unix
// ms, so that a command should carry it to the state.
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
