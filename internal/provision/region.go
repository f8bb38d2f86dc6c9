package provision

import (
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// RegionOf returns a zone's region, or "" if the zone isn't declared.
func RegionOf(tree *settings.Tree, zone fleet.AvailabilityZone) string {
	if tree == nil {
		return ""
	}
	for _, z := range tree.Fleet.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// zonesOf returns a region's zones.
func zonesOf(tree *settings.Tree, region string) fleet.ZoneSet {
	var zones []fleet.AvailabilityZone
	for _, z := range tree.Fleet.Zones {
		if z.Region == region {
			zones = append(zones, z.Name)
		}
	}
	return fleet.NewZoneSet(zones...)
}

// PlannerOf returns the entry that plans for a region, by rendezvous hashing over
// the region's entries. Two daemons with different views may both act as planner;
// the orders' fencing tokens make that harmless.
func PlannerOf(region string, tree *settings.Tree, view fleet.View) (fleet.Instance, bool) {
	entries := view.Entries(zonesOf(tree, region))
	if region == "" || len(entries) == 0 {
		return fleet.Instance{}, false
	}
	return fleet.RankInstances("planner/"+region, "", entries)[0], true
}
