package settings

import (
	"maps"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// FleetSubtree is the name of the fleet's subtree; TeamPrefix is the prefix of
// the names of the teams' subtrees.
const (
	FleetSubtree = "fleet"
	TeamPrefix   = "teams/"
)

// TeamSubtree returns the subtree name of a team.
func TeamSubtree(t fleet.Team) string { return TeamPrefix + string(t) }

// Tree holds all settings at one log index. Versions maps subtree names to their
// versions; a removed team keeps its version there.
type Tree struct {
	Index    uint64
	Fleet    Fleet
	Teams    map[fleet.Team]Team
	Versions map[string]uint64

	teamByKeyHash map[keyhash.Hash]fleet.Team // nil in a tree that this package didn't build
}

func (t *Tree) hasFleet() bool { return len(t.Fleet.Zones) > 0 }

// shallowCopy returns a copy that shares the teams' contents, which are
// immutable: it costs a copy of the maps instead of parsing 2,100 subtrees.
func (t *Tree) shallowCopy() *Tree {
	next := &Tree{
		Index:         t.Index,
		Fleet:         t.Fleet,
		Teams:         cloneMap(t.Teams),
		Versions:      cloneMap(t.Versions),
		teamByKeyHash: t.copyKeyIndex(),
	}
	return next
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// copyKeyIndex returns a new map from key hash to team.
func (t *Tree) copyKeyIndex() map[keyhash.Hash]fleet.Team {
	if t.teamByKeyHash != nil {
		return maps.Clone(t.teamByKeyHash)
	}
	index := make(map[keyhash.Hash]fleet.Team, len(t.Teams))
	for name, team := range t.Teams {
		for _, hash := range team.KeyHashes {
			index[hash] = name
		}
	}
	return index
}

func (t *Tree) setTeam(team Team) {
	t.removeTeam(team.Name)
	t.Teams[team.Name] = team
	for _, hash := range team.KeyHashes {
		t.teamByKeyHash[hash] = team.Name
	}
}

func (t *Tree) removeTeam(name fleet.Team) {
	for _, hash := range t.Teams[name].KeyHashes {
		delete(t.teamByKeyHash, hash)
	}
	delete(t.Teams, name)
}
