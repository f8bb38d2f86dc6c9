package quarantine

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// guardOf gives the instance that guards a fingerprint: the first ready
// replica in the view of the ledger group that the fingerprint falls to. All
// entries with the same state give the same one.
func guardOf(f fleet.Fingerprint, permitted fleet.ZoneSet, state *membership.State) (fleet.Owner, bool) {
	shard := fleet.LedgerShard{ZoneClass: permitted.Class(), Shard: uint32(f[0]) % fleet.LedgerShards}
	for _, r := range state.Groups[shard].Replicas {
		if r.Ready && state.View.Holds(r.Owner) {
			return r.Owner, true
		}
	}
	return fleet.Owner{}, false
}

// client gives a connection to a guard instance, checking at the last moment
// before bytes leave that it is in the view and in the team's zones.
func (s *Service) client(ctx context.Context, guard fleet.Owner, permitted fleet.ZoneSet) (pb.DRPCLedgerClient, error) {
	view := s.options.Source.State().View
	if !view.Holds(guard) {
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

func (s *Service) ask(ctx context.Context, guard fleet.Owner, permitted fleet.ZoneSet, run Run) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Call)
	defer cancel()
	client, err := s.client(ctx, guard, permitted)
	if err != nil {
		return Answer{}, trace.Wrap(err)
	}
	reply, err := client.BeginRun(ctx, &pb.BeginRunRequest{
		Fingerprint: run.Fingerprint[:],
		AttemptId:   string(run.Attempt),
		Owner:       run.Owner.Proto(),
	})
	if err != nil {
		return Answer{}, trace.Wrap(err)
	}
	wait := time.Duration(min(reply.GetRetryAfterMs(), maxRetryMs)) * time.Millisecond
	return Answer{Verdict: reply.GetVerdict(), RetryAfter: wait}, nil
}

// maxRetryMs bounds what a guard instance may ask a run to wait.
const maxRetryMs = 60_000
