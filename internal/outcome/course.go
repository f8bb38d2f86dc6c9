package outcome

import (
	"slices"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
)

// A key of a team whose permitted zones have changed may be decided in the
// shard of a former zone class. So a claim goes through the shards of all
// former classes before it comes to its own.
//
// Failure guarded: an entry that hasn't applied the change claims in the old
// shard while one that has claims in the new: each finds nothing, and the call
// runs twice. To look first is not enough, since the old claim may be decided
// after the look. The new claim must decide "moved" in the old shard, where it
// meets the old claim in one consensus: one of the two loses.
//
// Any two claims in different classes meet so. The one whose settings are
// newer has the other's class among its former ones.

// formerShards gives the shards of a key that come before its own.
func formerShards(key Key, permitted fleet.ZoneSet, former []string) []fleet.LedgerShard {
	var shards []fleet.LedgerShard
	for _, class := range former {
		if class != permitted.Class() {
			shards = append(shards, fleet.LedgerShard{ZoneClass: class, Shard: shardNumber(key)})
		}
	}
	return shards
}

// beforehand is the purpose at a former shard.
func (p Purpose) beforehand() Purpose {
	if p == PurposeResolve {
		return PurposeResolve
	}
	return PurposeSeal
}

// passes tells whether a former shard's verdict lets the next shard be asked.
// Unset comes of lookups alone: nothing was decided there so far.
func passes(v Verdict) bool { return v == VerdictMoved || v == VerdictUnset }

// neverUsed tells that a group had no replica since it was made, so that no
// record was decided there. None is later: claims in its class have ended with
// the team's change, see driver.current.
func neverUsed(g fleet.LedgerGroup) bool {
	return len(g.Replicas) == 0 && g.HistoryLostUnixMs == 0
}

// withinZones tells whether a majority of the group may be asked for a team's
// key. Replicas that have left the view count as within: their places are
// about to be filled.
func withinZones(state *membership.State, team fleet.Team, g fleet.LedgerGroup) bool {
	outside := 0
	for _, r := range g.Replicas {
		if state.View.Contains(r.Owner) && !permits(state, team, state.View.Instances[r.Owner.Instance].Zone) {
			outside++
		}
	}
	return len(g.Replicas)-outside > len(g.Replicas)/2
}

// permits tells whether the settings permit the team's data in a zone.
func permits(state *membership.State, team fleet.Team, zone fleet.AvailabilityZone) bool {
	return state.Tree != nil && slices.Contains(state.Tree.Teams[team].PermittedZones, zone)
}

// sameZones tells whether the settings permit the team just the claim's zones.
func sameZones(state *membership.State, c Claim) bool {
	if state.Tree == nil {
		return false
	}
	team, ok := state.Tree.Teams[c.Team]
	return ok && team.Permitted().Class() == c.Permitted.Class()
}

func errZonesChanged(c Claim) error {
	return trace.CompareFailed("the permitted zones of team %s are no longer %s", c.Team, c.Permitted.Class())
}
