package outcome

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func unknown() Record { return Record{Outcome: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN} }

// decide takes a claim through the shards of the team's former zone classes
// and then through its own. proposed tells whether an accept of the own intent
// may be on its way.
func (s *Service) decide(ctx context.Context, purpose Purpose, c Claim) (v Verdict, r Record, proposed bool, err error) {
	state := s.options.Source.State()
	if !sameZones(state, c) {
		return VerdictUnset, Record{}, false, errZonesChanged(c)
	}
	if !c.Fresh {
		for _, shard := range formerShards(c.Key, c.Permitted, state.FormerZoneClasses[c.Team]) {
			v, r, err = s.beforehand(ctx, purpose, c, shard)
			if err != nil || !passes(v) {
				return v, r, false, err
			}
		}
	}
	d := s.newDriver(purpose, c, ShardOf(c.Key, c.Permitted))
	d.current = true
	v, r, err = d.run(ctx)
	if v == VerdictMoved {
		// The team's zones have changed, and this process doesn't know yet, or
		// they have changed back and a claim of between went no further.
		v, r = VerdictUnknown, unknown()
	}
	return v, r, d.proposer.Proposed(), err
}

// beforehand asks one former shard.
//
// Failure guarded: the shard's replicas are in zones that the team's data may
// no longer touch, so they aren't asked, and the record of a call that ran
// can't be seen. "Run" would run it twice; so the answer is "unknown" at once,
// for as long as the class is kept.
func (s *Service) beforehand(ctx context.Context, purpose Purpose, c Claim, shard fleet.LedgerShard) (Verdict, Record, error) {
	state := s.options.Source.State()
	group, ok := state.LedgerGroups[shard]
	switch {
	case ok && neverUsed(group):
		return VerdictMoved, Record{}, nil
	case !ok || !withinZones(state, c.Team, group):
		s.metrics.outOfZone.Inc()
		return VerdictUnknown, unknown(), nil
	}
	return s.newDriver(purpose.beforehand(), c, shard).run(ctx)
}
