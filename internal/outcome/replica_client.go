package outcome

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func (s *Service) groupView(state *membership.State, g fleet.LedgerGroup) GroupView {
	return GroupView{
		Shard:       g.Shard,
		Epoch:       g.Epoch,
		Replicas:    len(g.Replicas),
		FastPath:    !s.options.DisableFastPath && s.fastPathLikely(g),
		RecordLife:  recordLife(s.options, state),
		HistoryLost: g.HistoryLostUnixMs != 0,
		InView:      state.View.Contains,
	}
}

// fastPathLikely reports whether every replica is likely to answer, so that one round
// trip decides a claim. If one doesn't answer, the claim only takes longer.
func (s *Service) fastPathLikely(g fleet.LedgerGroup) bool {
	for _, m := range g.Replicas {
		if !m.Ready || (m.Owner != s.self && !s.health.answeredRecently(m.Owner, time.Now())) {
			return false
		}
	}
	return len(g.Replicas) > 0
}

// sendRequest sends a request to a replica and returns its reply. If the replica is
// this process, no RPC is made. A replica in a zone that the settings don't permit the
// team now isn't contacted.
func (s *Service) sendRequest(ctx context.Context, team fleet.Team, to fleet.Owner, q Request) Reply {
	state := s.options.Source.State()
	if !zonePermitted(state, team, state.View.Instances[to.Instance].Zone) {
		return Reply{Status: ReplyUnreachable}
	}
	s.metrics.countRequest(q.Action, to == s.self)
	if to == s.self {
		return s.handle(q)
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	reply, err := s.callReplica(ctx, to, q)
	s.health.recordCall(to, err == nil, time.Now())
	if err != nil {
		return Reply{Status: ReplyUnreachable}
	}
	return reply
}

func (s *Service) handle(q Request) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Handle(time.Now(), q)
}

// replicaClient returns a client for a replica. It checks, right before the request is
// sent, that the replica's process is in the view and in the shard's zones.
func (s *Service) replicaClient(ctx context.Context, to fleet.Owner, shard fleet.LedgerShard) (pb.DRPCLedgerClient, error) {
	view := s.options.Source.State().View
	if !view.Contains(to) {
		return nil, trace.NotFound("replica %s is not in the view", to)
	}
	instance := view.Instances[to.Instance]
	if !fleet.ParseZoneClass(shard.ZoneClass).Permits(instance.Zone) {
		return nil, trace.AccessDenied("replica %s is in zone %s, outside %s", to, instance.Zone, shard.ZoneClass)
	}
	conn, err := s.options.Dialer.Conn(ctx, instance.RPCAddress)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return pb.NewDRPCLedgerClient(conn), nil
}

func (s *Service) callReplica(ctx context.Context, to fleet.Owner, q Request) (Reply, error) {
	client, err := s.replicaClient(ctx, to, q.Shard)
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	verdict, err := callRPC(ctx, client, q)
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	return replyFromProto(verdict), nil
}

func callRPC(ctx context.Context, client pb.DRPCLedgerClient, q Request) (*pb.LedgerVerdict, error) {
	ref := shardRef(q.Shard, q.Epoch)
	switch q.Action {
	case ActionPrepare:
		return client.Prepare(ctx, &pb.PrepareRequest{Shard: ref, Key: q.Key[:], Ballot: q.Ballot.proto()})
	case ActionAccept:
		return client.Accept(ctx, &pb.AcceptRequest{
			Shard:      ref,
			Key:        q.Key[:],
			Ballot:     q.Ballot.proto(),
			Decision:   q.Decision.proto(),
			EndpointId: string(q.Endpoint),
		})
	case ActionFinish:
		return client.Finish(ctx, &pb.FinishRequest{
			Shard:        ref,
			Key:          q.Key[:],
			AttemptId:    string(q.Decision.Attempt),
			Owner:        q.Decision.Owner.Proto(),
			EndpointId:   string(q.Endpoint),
			Outcome:      q.Outcome,
			StatusCode:   uint32(q.StatusCode),
			TokensPassed: q.Tokens,
		})
	case ActionLookup:
		return client.Lookup(ctx, &pb.LookupRequest{Shard: ref, Key: q.Key[:]})
	}
	return nil, trace.BadParameter("no call for action %d", q.Action)
}
