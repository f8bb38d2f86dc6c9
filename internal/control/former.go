package control

import (
	"sort"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// formerLives is the number of record lives for which a team's former zone
// class and the groups of a class out of use are kept. A call that was running
// at the change ends later and its record lives on from then: with one life
// alone, a repeat of it would find nothing and run again.
const formerLives = 2

// former keeps which zone classes teams have left of late.
//
// Failure guarded: a call ran, its team's permitted zones change, and the call
// is repeated. Its record is in the old class' ledger groups; without this
// table no entry would look there, and the call would run twice.
type former struct {
	of    map[fleet.Team]map[string]int64 // class to the unix ms of leaving it
	count int
	noted []*pb.FormerClass // not yet in a delta
}

func newFormer() *former {
	return &former{of: make(map[fleet.Team]map[string]int64)}
}

func (f *former) set(team fleet.Team, class string, clock int64) {
	classes := f.of[team]
	if classes == nil {
		classes = make(map[string]int64)
		f.of[team] = classes
	}
	if _, known := classes[class]; !known {
		f.count++
	}
	classes[class] = clock
}

// leave notes that the team left a class.
func (f *former) leave(team fleet.Team, class string, clock int64) {
	f.set(team, class, clock)
	f.noted = append(f.noted, formerProto(team, class, clock))
}

func (f *former) drop(team fleet.Team, class string) {
	delete(f.of[team], class)
	f.count--
	if len(f.of[team]) == 0 {
		delete(f.of, team)
	}
	f.noted = append(f.noted, &pb.FormerClass{Team: string(team), ZoneClass: class, Removed: true})
}

// expire drops classes left longer than life ago. One that was left by a clock
// far ahead counts from now.
func (f *former) expire(clock, life int64) {
	for team, classes := range f.of {
		for class, left := range classes {
			switch age := clock - left; {
			case age < -life:
				classes[class] = clock
			case age > life:
				f.drop(team, class)
			}
		}
	}
}

func (f *former) due(clock, life int64) bool {
	for _, classes := range f.of {
		for _, left := range classes {
			if clock-left > life {
				return true
			}
		}
	}
	return false
}

// take gives what a delta must tell, sorted.
func (f *former) take() []*pb.FormerClass {
	noted := f.noted
	f.noted = nil
	sortFormer(noted)
	return noted
}

func (f *former) sorted() []*pb.FormerClass {
	all := make([]*pb.FormerClass, 0, f.count)
	for team, classes := range f.of {
		for class, left := range classes {
			all = append(all, formerProto(team, class, left))
		}
	}
	sortFormer(all)
	return all
}

func formerProto(team fleet.Team, class string, left int64) *pb.FormerClass {
	return &pb.FormerClass{Team: string(team), ZoneClass: class, ChangedUnixMs: left}
}

func sortFormer(all []*pb.FormerClass) {
	sort.SliceStable(all, func(a, b int) bool {
		if all[a].Team != all[b].Team {
			return all[a].Team < all[b].Team
		}
		return all[a].ZoneClass < all[b].ZoneClass
	})
}

// tooManyFormer tells whether taking tree's class for the subtree would pass a
// bound on former classes. The change is refused then: forgetting a class
// would let calls run twice.
func (m *Machine) tooManyFormer(tree *settings.Tree, name string) bool {
	team := teamOf(name)
	now := m.classes.ofTeam[team]
	if now == "" || tree.Teams[team].Permitted().Class() == now {
		return false
	}
	left := m.former.of[team]
	if _, known := left[now]; known {
		return false
	}
	return len(left) >= maxTeamFormer || m.former.count >= maxFormer
}

// formerLife is how long former and retired classes are kept, in ms.
func (m *Machine) formerLife() int64 {
	return formerLives * m.recordLife()
}

// recordLife is how long outcome records live, in ms.
func (m *Machine) recordLife() int64 {
	life := m.tree.Fleet.Timeouts.RecordLife
	if life <= 0 {
		life = defaultRecordLife
	}
	return life.Milliseconds()
}

// Due tells whether records have outlived their age by the given clock, unix
// ms, so that a command should carry it to the state.
func (m *Machine) Due(clock int64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	life := m.formerLife()
	for _, left := range m.classes.retired {
		if clock-left > life {
			return true
		}
	}
	if m.lostHistoryDue(clock) {
		return true
	}
	return m.former.due(clock, life) || m.suspects.due(clock, m.suspectLife())
}
