package outcome

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/membership"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

func (s *Service) circumstances(state *membership.State, g fleet.LedgerGroup) Circumstances {
	return Circumstances{
		Shard:       g.Shard,
		Epoch:       g.Epoch,
		Replicas:    len(g.Replicas),
		Fast:        !s.options.NoFast && s.fast(g),
		RecordLife:  recordLife(s.options, state),
		HistoryLost: g.HistoryLostUnixMs != 0,
		Alive:       state.View.Contains,
	}
}

// fast tells whether each replica is likely to answer: then one round trip
// decides a claim. When one doesn't, nothing is lost but time.
func (s *Service) fast(g fleet.LedgerGroup) bool {
	for _, m := range g.Replicas {
		if !m.Ready || (m.Owner != s.self && !s.health.good(m.Owner, time.Now())) {
			return false
		}
	}
	return len(g.Replicas) > 0
}

// ask gives a replica's reply, calling it directly when it is this process. A
// replica outside the zones that the settings permit the team now isn't asked.
func (s *Service) ask(ctx context.Context, team fleet.Team, to fleet.Owner, q Request) Reply {
	state := s.options.Source.State()
	if !permits(state, team, state.View.Instances[to.Instance].Zone) {
		return Reply{Status: ReplyUnreachable}
	}
	s.metrics.asked(q.Action, to == s.self)
	if to == s.self {
		return s.handle(q)
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Call)
	defer cancel()
	reply, err := s.callReplica(ctx, to, q)
	s.health.note(to, err == nil, time.Now())
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

// client gives a connection to a replica, checking at the last moment before
// bytes leave that the process is in the view and in the shard's zones.
func (s *Service) client(ctx context.Context, to fleet.Owner, shard fleet.LedgerShard) (pb.DRPCLedgerClient, error) {
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
	client, err := s.client(ctx, to, q.Shard)
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	verdict, err := send(ctx, client, q)
	if err != nil {
		return Reply{}, trace.Wrap(err)
	}
	return replyFromProto(verdict), nil
}

func send(ctx context.Context, client pb.DRPCLedgerClient, q Request) (*pb.LedgerVerdict, error) {
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
			StatusCode:   uint32(q.Status),
			TokensPassed: q.Tokens,
		})
	case ActionLookup:
		return client.Lookup(ctx, &pb.LookupRequest{Shard: ref, Key: q.Key[:]})
	}
	return nil, trace.BadParameter("no call for action %d", q.Action)
}
