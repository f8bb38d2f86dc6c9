package membership

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// State is the shared state at a log index. It never changes once published.
type State struct {
	Index    uint64
	FleetID  string
	Tree     *settings.Tree
	View     fleet.View
	Groups   map[fleet.LedgerShard]fleet.LedgerGroup
	Suspects map[fleet.Fingerprint]fleet.Suspect
	// Former are the zone classes that each team left of late, sorted; one may
	// be the team's present class again. An outcome record of the team may be
	// in any of them.
	Former map[fleet.Team][]string
}
