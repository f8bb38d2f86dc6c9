package settings

import "github.com/hyssopsail/hyssopsail/internal/fleet"

// FleetSubtree is the name of the fleet's own subtree; TeamPrefix begins the
// names of the teams' subtrees.
const (
	FleetSubtree = "fleet"
	TeamPrefix   = "teams/"
)

// TeamSubtree gives the subtree name of a team.
func TeamSubtree(t fleet.Team) string { return TeamPrefix + string(t) }

// Tree is all settings at one log index. Subtree versions are in Versions.
type Tree struct {
	Index    uint64
	Fleet    Fleet
	Teams    map[fleet.Team]Team
	Versions map[string]uint64
}
