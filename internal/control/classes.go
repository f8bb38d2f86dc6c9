package control

import (
	"sort"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// defaultRecordLife is how long outcome records live when the fleet subtree sets
// no record life.
const defaultRecordLife = 10 * time.Minute

// zoneClasses counts the teams that use each zone class. A class that no team
// uses any more is retired: its ledger groups stay for as long as it is a former
// class of a team, so that requests in flight can finish their records and
// repeats find them.
type zoneClasses struct {
	formerClasses *formerClasses
	byTeam        map[fleet.Team]string
	teamCounts    map[string]int
	retiredUnixMs map[string]int64 // by class: time of its last use
}

func newZoneClasses(f *formerClasses) *zoneClasses {
	return &zoneClasses{
		formerClasses: f,
		byTeam:        make(map[fleet.Team]string),
		teamCounts:    make(map[string]int),
		retiredUnixMs: make(map[string]int64),
	}
}

// setTeamClass sets a team's class; the empty class means none.
func (c *zoneClasses) setTeamClass(team fleet.Team, class string, clock int64) {
	old := c.byTeam[team]
	if old == class {
		return
	}
	if old != "" {
		c.formerClasses.recordLeft(team, old, clock)
		c.teamCounts[old]--
		if c.teamCounts[old] == 0 {
			delete(c.teamCounts, old)
			c.retiredUnixMs[old] = clock
		}
	}
	delete(c.byTeam, team)
	if class == "" {
		return
	}
	c.byTeam[team] = class
	c.teamCounts[class]++
	delete(c.retiredUnixMs, class)
}

func (c *zoneClasses) update(tree *settings.Tree, clock int64) {
	for team := range c.byTeam {
		if _, ok := tree.Teams[team]; !ok {
			c.setTeamClass(team, "", clock)
		}
	}
	for name, team := range tree.Teams {
		c.setTeamClass(name, team.Permitted().Class(), clock)
	}
}

func (c *zoneClasses) inUse() []string { return sortedKeys(c.teamCounts) }

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// exceedsClassLimit reports whether the subtree's class in tree would exceed
// maxClasses.
func (m *Machine) exceedsClassLimit(tree *settings.Tree, name string) bool {
	team, ok := tree.Teams[teamOfSubtree(name)]
	if !ok {
		return false
	}
	class := team.Permitted().Class()
	if m.zoneClasses.teamCounts[class] > 0 {
		return false
	}
	if _, ok := m.zoneClasses.retiredUnixMs[class]; ok {
		return false
	}
	return len(m.zoneClasses.teamCounts)+len(m.zoneClasses.retiredUnixMs) >= maxClasses
}

func teamOfSubtree(name string) fleet.Team {
	if len(name) <= len(settings.TeamPrefix) {
		return ""
	}
	return fleet.Team(name[len(settings.TeamPrefix):])
}

// updateClasses updates the classes and their groups after an accepted change of
// the subtree. Only the fleet subtree can affect more than one team.
func (m *Machine) updateClasses(name string) {
	if name == settings.FleetSubtree {
		m.zoneClasses.update(m.tree, m.clockUnixMs)
	} else {
		team := teamOfSubtree(name)
		m.zoneClasses.setTeamClass(team, m.tree.Teams[team].Permitted().Class(), m.clockUnixMs)
	}
	m.createGroups()
}

func (m *Machine) createGroups() {
	planner := m.newGroupPlanner()
	for _, class := range m.zoneClasses.inUse() {
		if _, ok := m.groups[fleet.LedgerShard{ZoneClass: class}]; ok {
			continue
		}
		for shard := range uint32(fleet.LedgerShards) {
			g := &pb.LedgerGroup{ZoneClass: class, Shard: shard, Epoch: m.epochFloor, Complete: true}
			next, changed := planner.repair(g)
			if !changed {
				next.Epoch++
			}
			m.setGroup(next)
		}
	}
}

// removeExpiredClasses removes the groups of classes retired for longer than
// formerClassLifeMs. Their epochs are not reused: a class that returns starts
// above them, so that no replica mistakes an old group for the new one.
func (m *Machine) removeExpiredClasses() {
	life := m.formerClassLifeMs()
	for _, class := range sortedKeys(m.zoneClasses.retiredUnixMs) {
		age := m.clockUnixMs - m.zoneClasses.retiredUnixMs[class]
		if age < -life {
			m.zoneClasses.retiredUnixMs[class] = m.clockUnixMs // retired under a clock that was ahead
		}
		if age <= life {
			continue
		}
		delete(m.zoneClasses.retiredUnixMs, class)
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
		m.addGroupToDelta(&pb.LedgerGroup{ZoneClass: class, Shard: shard, Epoch: g.Epoch, Removed: true})
	}
}
