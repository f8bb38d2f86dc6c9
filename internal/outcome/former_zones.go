package outcome

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// A key of a team whose permitted zones have changed may be decided in the shard of
// a former zone class. A claim therefore visits the shards of all former classes
// before its own.
//
// Otherwise a call could run twice: an entry that hasn't applied the change claims
// in the old shard, one that has claims in the new, and each finds nothing.
// Reading the old shard first isn't enough, since the old claim may be decided after
// the read. The new claim must decide "moved" in the old shard, where both claims
// meet in one consensus and one of them loses.
//
// Any two claims in different classes meet this way: the one with the newer settings
// has the other's class among its former classes.

// formerShards returns the shards of a key that are visited before its own.
func formerShards(key Key, permitted fleet.ZoneSet, former []string) []fleet.LedgerShard {
	var shards []fleet.LedgerShard
	for _, class := range former {
		if class != permitted.Class() {
			shards = append(shards, fleet.LedgerShard{ZoneClass: class, Shard: shardNumber(key)})
		}
	}
	return shards
}

// atFormerShard returns the purpose to use at a former shard.
func (p Purpose) atFormerShard() Purpose {
	if p == PurposeResolve {
		return PurposeResolve
	}
	return PurposeMarkMoved
}

// allowsNextShard reports whether a former shard's verdict allows the next shard to be
// asked. VerdictUnset comes only from lookups: nothing was decided at the shard so far.
func allowsNextShard(v Verdict) bool { return v == VerdictMoved || v == VerdictUnset }

// neverUsed reports whether a group has had no replica since it was created, so that no
// record was decided there. None can be decided later: claims in its class end when the
// team's zones change, see driver.requireCurrentZones.
func neverUsed(g fleet.LedgerGroup) bool {
	return len(g.Replicas) == 0 && g.HistoryLostUnixMs == 0
}

// majorityPermitted reports whether a majority of the group may be asked about a team's
// key. Replicas that have left the view count as permitted, since they are about to be
// replaced.
func majorityPermitted(state *membership.State, team fleet.Team, g fleet.LedgerGroup) bool {
	outside := 0
	for _, r := range g.Replicas {
		if state.View.Contains(r.Owner) && !zonePermitted(state, team, state.View.Instances[r.Owner.Instance].Zone) {
			outside++
		}
	}
	return len(g.Replicas)-outside > len(g.Replicas)/2
}

// zonePermitted reports whether the settings permit the team's data in a zone.
func zonePermitted(state *membership.State, team fleet.Team, zone fleet.AvailabilityZone) bool {
	return state.Tree != nil && slices.Contains(state.Tree.Teams[team].PermittedZones, zone)
}

// zonesMatch reports whether the settings permit the team exactly the claim's zones.
func zonesMatch(state *membership.State, c Claim) bool {
	if state.Tree == nil {
		return false
	}
	team, ok := state.Tree.Teams[c.Team]
	return ok && team.Permitted().Class() == c.PermittedZones.Class()
}

func errZonesChanged(c Claim) error {
	return trace.CompareFailed("the permitted zones of team %s are no longer %s", c.Team, c.PermittedZones.Class())
}
