package outcome

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func unknownRecord() Record { return Record{Outcome: pb.OutcomeKind_OUTCOME_KIND_UNKNOWN} }

// decide runs a claim at the shards of the team's former zone classes and then at its
// own. acceptSent reports whether an accept of the claim's own intent may have been
// sent.
func (s *Service) decide(ctx context.Context, purpose Purpose, c Claim) (v Verdict, r Record, acceptSent bool, err error) {
	state := s.options.Source.State()
	if !zonesMatch(state, c) {
		return VerdictUnset, Record{}, false, errZonesChanged(c)
	}
	if !c.UniqueKey {
		for _, shard := range formerShards(c.Key, c.PermittedZones, state.FormerZoneClasses[c.Team]) {
			v, r, err = s.decideAtFormerShard(ctx, purpose, c, shard)
			if err != nil || !allowsNextShard(v) {
				return v, r, false, err
			}
		}
	}
	d := s.newDriver(purpose, c, ShardOf(c.Key, c.PermittedZones))
	d.requireCurrentZones = true
	v, r, err = d.run(ctx)
	if v == VerdictMoved {
		// The team's zones have changed and this process hasn't applied it yet, or they
		// have changed back and a claim made in between went no further.
		v, r = VerdictUnknown, unknownRecord()
	}
	return v, r, d.proposer.AcceptSent(), err
}

// decideAtFormerShard runs a claim at one former shard.
//
// If the shard's replicas are in zones that the team's data may no longer enter, they
// aren't asked, and the record of a call that ran can't be read. VerdictRun could run
// the call twice, so the verdict is VerdictUnknown for as long as the class is kept.
func (s *Service) decideAtFormerShard(ctx context.Context, purpose Purpose, c Claim, shard fleet.LedgerShard) (Verdict, Record, error) {
	state := s.options.Source.State()
	group, ok := state.LedgerGroups[shard]
	switch {
	case ok && neverUsed(group):
		return VerdictMoved, Record{}, nil
	case !ok || !majorityPermitted(state, c.Team, group):
		s.metrics.outOfZone.Inc()
		return VerdictUnknown, unknownRecord(), nil
	}
	return s.newDriver(purpose.atFormerShard(), c, shard).run(ctx)
}
