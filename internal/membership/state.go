package membership

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// State is the shared state at a log index. It is immutable once published.
type State struct {
	Index        uint64
	FleetID      string
	Tree         *settings.Tree
	View         fleet.View
	LedgerGroups map[fleet.LedgerShard]fleet.LedgerGroup
	Suspects     map[fleet.Fingerprint]fleet.Suspect
	// FormerZoneClasses holds the zone classes that each team left recently, sorted. One of
	// them may be the team's current class again. An outcome record of the team
	// may be in any of them.
	FormerZoneClasses map[fleet.Team][]string
}
