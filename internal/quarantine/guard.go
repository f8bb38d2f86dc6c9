package quarantine

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// guardOf returns the instance that guards a fingerprint: the first replica in the fingerprint's
// ledger group that is ready and in the view. All entries with the same state get the same
// one.
func guardOf(f fleet.Fingerprint, permitted fleet.ZoneSet, state *membership.State) (fleet.Owner, bool) {
	shard := fleet.LedgerShard{ZoneClass: permitted.Class(), Shard: uint32(f[0]) % fleet.LedgerShards}
	for _, r := range state.LedgerGroups[shard].Replicas {
		if r.Ready && state.View.Contains(r.Owner) {
			return r.Owner, true
		}
	}
	return fleet.Owner{}, false
}

// guardClient returns a client of a guard instance. It checks at the last moment before bytes
// are sent that the instance is in the view and in the zones permitted for the team.
func (s *Service) guardClient(ctx context.Context, guard fleet.Owner, permitted fleet.ZoneSet) (pb.DRPCLedgerClient, error) {
	view := s.options.Source.State().View
	if !view.Contains(guard) {
		return nil, trace.NotFound("guard %s is not in the view", guard)
	}
	instance := view.Instances[guard.Instance]
	if !permitted.Permits(instance.Zone) {
		return nil, trace.AccessDenied("guard %s is in zone %s, outside %s", guard, instance.Zone, permitted.Class())
	}
	conn, err := s.options.Dialer.Conn(ctx, instance.RPCAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCLedgerClient(conn), nil
}

// callBegin asks a guard instance for a run.
func (s *Service) callBegin(ctx context.Context, guard fleet.Owner, permitted fleet.ZoneSet, run RunRequest) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	client, err := s.guardClient(ctx, guard, permitted)
	if err != nil {
		return Decision{}, trace.Wrap(err)
	}
	reply, err := client.BeginRun(ctx, &pb.BeginRunRequest{
		Fingerprint: run.Fingerprint[:],
		AttemptId:   string(run.Attempt),
		Owner:       run.Owner.Proto(),
	})
	if err != nil {
		return Decision{}, trace.Wrap(err)
	}
	wait := time.Duration(min(reply.GetRetryAfterMs(), maxRetryAfterMs)) * time.Millisecond
	return Decision{Verdict: reply.GetVerdict(), RetryAfter: wait}, nil
}

// maxRetryAfterMs limits the wait that a guard instance may demand, in ms.
const maxRetryAfterMs = 60_000
