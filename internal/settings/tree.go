package settings

import (
	"maps"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/keyhash"
)

// FleetSubtree is the name of the fleet's own subtree; TeamPrefix begins the
// names of the teams' subtrees.
const (
	FleetSubtree = "fleet"
	TeamPrefix   = "teams/"
)

// TeamSubtree gives the subtree name of a team.
func TeamSubtree(t fleet.Team) string { return TeamPrefix + string(t) }

// Tree is all settings at one log index. Subtree versions are in Versions; a
// removed team keeps its version there.
type Tree struct {
	Index    uint64
	Fleet    Fleet
	Teams    map[fleet.Team]Team
	Versions map[string]uint64

	teamOf map[keyhash.Hash]fleet.Team // nil in a tree that was put together by hand
}

func (t *Tree) hasFleet() bool { return len(t.Fleet.Zones) > 0 }

// shallowCopy shares the teams' contents, which never change, so that its
// cost is that of copying maps and not of parsing 2,100 subtrees.
func (t *Tree) shallowCopy() *Tree {
	next := &Tree{
		Index:    t.Index,
		Fleet:    t.Fleet,
		Teams:    cloneMap(t.Teams),
		Versions: cloneMap(t.Versions),
		teamOf:   t.keyIndex(),
	}
	return next
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// keyIndex gives a fresh map from key hash to team.
func (t *Tree) keyIndex() map[keyhash.Hash]fleet.Team {
	if t.teamOf != nil {
		return maps.Clone(t.teamOf)
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
	t.dropTeam(team.Name)
	t.Teams[team.Name] = team
	for _, hash := range team.KeyHashes {
		t.teamOf[hash] = team.Name
	}
}

func (t *Tree) dropTeam(name fleet.Team) {
	for _, hash := range t.Teams[name].KeyHashes {
		delete(t.teamOf, hash)
	}
	delete(t.Teams, name)
}
