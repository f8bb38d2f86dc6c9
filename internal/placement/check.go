package placement

import (
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Check returns a refusal unless the settings tree permits team's data to go to
// target from an entry in zone self. A nil tree permits nothing. It does no I/O
// and reads no clock.
func Check(tree *settings.Tree, team fleet.Team, self fleet.AvailabilityZone, target engine.Target) *Refusal {
	if target.Zone == "" || target.Address == "" {
		return &Refusal{Cause: CauseMisaddressed, Team: team, Zone: target.Zone}
	}
	if refusal := CheckEntry(tree, team, self); refusal != nil {
		return refusal
	}
	if !Declared(tree, target.Zone) {
		return &Refusal{Cause: CauseUndeclaredZone, Team: team, Zone: target.Zone}
	}
	owner := tree.Teams[team]
	if !permits(owner, target.Zone) {
		return &Refusal{Cause: CauseTargetZone, Team: team, Zone: target.Zone}
	}
	return nil
}

// CheckEntry returns a refusal unless the settings tree permits an entry in zone
// self to accept team's requests. A nil tree permits nothing.
func CheckEntry(tree *settings.Tree, team fleet.Team, self fleet.AvailabilityZone) *Refusal {
	if tree == nil {
		return &Refusal{Cause: CauseNotCurrent, Team: team, Zone: self}
	}
	owner, ok := tree.Teams[team]
	if !ok {
		return &Refusal{Cause: CauseNoTeam, Team: team, Zone: self}
	}
	if !permits(owner, self) {
		return &Refusal{Cause: CauseEntryZone, Team: team, Zone: self}
	}
	return nil
}

// Declared reports whether the settings declare zone.
func Declared(tree *settings.Tree, zone fleet.AvailabilityZone) bool {
	if tree == nil {
		return false
	}
	for _, z := range tree.Fleet.Zones {
		if z.Name == zone {
			return true
		}
	}
	return false
}

// permits scans the list, which is short; the send path builds no set.
func permits(team settings.Team, zone fleet.AvailabilityZone) bool {
	for _, z := range team.PermittedZones {
		if z == zone {
			return true
		}
	}
	return false
}
