package control

import (
	"sort"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// defaultRecordLife is how long a retired class keeps its ledger groups when
// the fleet subtree gives no record life.
const defaultRecordLife = 10 * time.Minute

// classes counts which zone classes teams use. A class that falls out of use
// is retired: its groups stay for as long as it is a former class of a team,
// so that requests in flight can finish their records and repeats find them.
type classes struct {
	former  *former
	ofTeam  map[fleet.Team]string
	users   map[string]int
	retired map[string]int64 // class to the unix ms of its last use
}

func newClasses(f *former) *classes {
	return &classes{
		former:  f,
		ofTeam:  make(map[fleet.Team]string),
		users:   make(map[string]int),
		retired: make(map[string]int64),
	}
}

// set notes a team's class; the empty class means none.
func (c *classes) set(team fleet.Team, class string, clock int64) {
	old := c.ofTeam[team]
	if old == class {
		return
	}
	if old != "" {
		c.former.leave(team, old, clock)
		c.users[old]--
		if c.users[old] == 0 {
			delete(c.users, old)
			c.retired[old] = clock
		}
	}
	delete(c.ofTeam, team)
	if class == "" {
		return
	}
	c.ofTeam[team] = class
	c.users[class]++
	delete(c.retired, class)
}

func (c *classes) update(tree *settings.Tree, clock int64) {
	for team := range c.ofTeam {
		if _, ok := tree.Teams[team]; !ok {
			c.set(team, "", clock)
		}
	}
	for name, team := range tree.Teams {
		c.set(name, team.Permitted().Class(), clock)
	}
}

func (c *classes) inUse() []string { return sortedKeys(c.users) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// tooManyClasses tells whether taking tree's class for the subtree would pass
// the bound on zone classes.
func (m *Machine) tooManyClasses(tree *settings.Tree, name string) bool {
	team, ok := tree.Teams[teamOf(name)]
	if !ok {
		return false
	}
	class := team.Permitted().Class()
	if m.classes.users[class] > 0 {
		return false
	}
	if _, ok := m.classes.retired[class]; ok {
		return false
	}
	return len(m.classes.users)+len(m.classes.retired) >= maxClasses
}

func teamOf(name string) fleet.Team {
	if len(name) <= len(settings.TeamPrefix) {
		return ""
	}
	return fleet.Team(name[len(settings.TeamPrefix):])
}

// updateClasses follows an accepted change of a subtree. Only the fleet
// subtree can touch more than one team.
func (m *Machine) updateClasses(name string) {
	if name == settings.FleetSubtree {
		m.classes.update(m.tree, m.clock)
	} else {
		team := teamOf(name)
		m.classes.set(team, m.tree.Teams[team].Permitted().Class(), m.clock)
	}
	m.createGroups()
}

func (m *Machine) createGroups() {
	planner := m.planner()
	for _, class := range m.classes.inUse() {
		if _, ok := m.groups[fleet.LedgerShard{ZoneClass: class}]; ok {
			continue
		}
		for shard := range uint32(fleet.LedgerShards) {
			g := &pb.LedgerGroup{ZoneClass: class, Shard: shard, Epoch: m.epochFloor, Complete: true}
			next, changed := planner.repair(g)
			if !changed {
				next.Epoch++
			}
			m.putGroup(next)
		}
	}
}

// dropRetired removes the groups of classes unused for formerLives. Their
// epochs stay used up: a class that returns starts above them, so that no
// replica mistakes an old group for the new one.
func (m *Machine) dropRetired() {
	life := m.formerLife()
	for _, class := range sortedKeys(m.classes.retired) {
		age := m.clock - m.classes.retired[class]
		if age < -life {
			m.classes.retired[class] = m.clock // retired by a clock that was ahead
		}
		if age <= life {
			continue
		}
		delete(m.classes.retired, class)
		m.removeGroups(class)
	}
}

func (m *Machine) removeGroups(class string) {
	for shard := range uint32(fleet.LedgerShards) {
		key := fleet.LedgerShard{ZoneClass: class, Shard: shard}
		g, ok := m.groups[key]
		if !ok {
			continue
		}
		m.epochFloor = max(m.epochFloor, g.Epoch)
		delete(m.groups, key)
		m.noteGroup(&pb.LedgerGroup{ZoneClass: class, Shard: shard, Epoch: g.Epoch, Removed: true})
	}
}
