package outcome

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Server implements the Ledger RPC service that other processes call.
type Server struct {
	service *Service
}

var _ pb.DRPCLedgerServer = (*Server)(nil)

// Server returns the handler to register with pb.DRPCRegisterLedger.
func (s *Service) Server() *Server { return &Server{service: s} }

// Prepare implements pb.DRPCLedgerServer.
func (s *Server) Prepare(_ context.Context, q *pb.PrepareRequest) (*pb.LedgerVerdict, error) {
	return s.serve(Request{
		Action: ActionPrepare,
		Ballot: ballotFromProto(q.GetBallot()),
	}, q.GetShard(), q.GetKey())
}

// Accept implements pb.DRPCLedgerServer.
func (s *Server) Accept(_ context.Context, q *pb.AcceptRequest) (*pb.LedgerVerdict, error) {
	return s.serve(Request{
		Action:   ActionAccept,
		Ballot:   ballotFromProto(q.GetBallot()),
		Decision: decisionFromProto(q.GetDecision()),
		Endpoint: fleet.EndpointID(intern(q.GetEndpointId())),
	}, q.GetShard(), q.GetKey())
}

// Finish implements pb.DRPCLedgerServer.
func (s *Server) Finish(_ context.Context, q *pb.FinishRequest) (*pb.LedgerVerdict, error) {
	if q.GetAttemptId() == "" || knownOutcome(q.GetOutcome()) == pb.OutcomeKind_OUTCOME_KIND_UNSPECIFIED {
		return nil, trace.BadParameter("finish without an attempt or outcome")
	}
	return s.serve(Request{
		Action:     ActionFinish,
		Decision:   intentOf(fleet.AttemptID(q.GetAttemptId()), ownerFromProto(q.GetOwner())),
		Endpoint:   fleet.EndpointID(intern(q.GetEndpointId())),
		Outcome:    q.GetOutcome(),
		StatusCode: uint16(min(q.GetStatusCode(), maxStatusCode)),
		Tokens:     q.GetTokensPassed(),
	}, q.GetShard(), q.GetKey())
}

// Lookup implements pb.DRPCLedgerServer.
func (s *Server) Lookup(_ context.Context, q *pb.LookupRequest) (*pb.LedgerVerdict, error) {
	return s.serve(Request{Action: ActionLookup}, q.GetShard(), q.GetKey())
}

func (s *Server) serve(q Request, ref *pb.ShardRef, rawKey []byte) (*pb.LedgerVerdict, error) {
	key, ok := keyFromBytes(rawKey)
	if !ok {
		return nil, trace.BadParameter("key of %d bytes", len(rawKey))
	}
	if !q.namesWithinLimit() {
		return nil, trace.BadParameter("a name is over %d bytes", maxNameBytes)
	}
	q.Key = key
	q.Shard, q.Epoch = shardFromRef(ref)
	return s.service.handle(q).proto(key), nil
}

func (q Request) namesWithinLimit() bool {
	return namesWithinLimit(
		string(q.Ballot.Owner.Instance),
		string(q.Decision.Attempt),
		string(q.Decision.Owner.Instance),
		string(q.Endpoint),
	)
}

// CopyShard implements pb.DRPCLedgerServer.
func (s *Server) CopyShard(_ context.Context, q *pb.CopyShardRequest) (*pb.CopyShardReply, error) {
	name, epoch := shardFromRef(q.GetShard())
	if !s.servesShard(name) {
		return nil, trace.BadParameter("no shard %s/%d here", name.ZoneClass, name.Shard)
	}
	query := CopyQuery{
		Shard:  name,
		Epoch:  epoch,
		Source: fleet.Owner{Instance: s.service.self.Instance, Incarnation: fleet.Incarnation(q.GetSourceIncarnation())},
		Limit:  int(q.GetLimit()),
	}
	if len(q.GetAfterKey()) > 0 {
		after, ok := keyFromBytes(q.GetAfterKey())
		if !ok {
			return nil, trace.BadParameter("key of %d bytes", len(q.GetAfterKey()))
		}
		query.After = &after
	}
	return copyReply(s.service.servePage(query)), nil
}

// servesShard reports whether a peer may name the shard: it must be in the shared state
// and its zones must include that of this process.
func (s *Server) servesShard(name fleet.LedgerShard) bool {
	_, known := s.service.options.Source.State().LedgerGroups[name]
	zone := s.service.options.Source.Self().Zone
	return known && fleet.ParseZoneClass(name.ZoneClass).Permits(zone)
}

func copyReply(page CopyPage) *pb.CopyShardReply {
	reply := &pb.CopyShardReply{Ok: page.OK, Done: page.Done}
	for _, r := range page.Records {
		reply.Records = append(reply.Records, r.Record.proto(r.Key))
	}
	return reply
}

// BeginRun implements pb.DRPCLedgerServer.
func (s *Server) BeginRun(ctx context.Context, q *pb.BeginRunRequest) (*pb.BeginRunReply, error) {
	if s.service.options.RunGuard == nil {
		return nil, trace.NotImplemented("no guard of fingerprints here")
	}
	return s.service.options.RunGuard.BeginRun(ctx, q)
}

// EndRun implements pb.DRPCLedgerServer.
func (s *Server) EndRun(ctx context.Context, q *pb.EndRunRequest) (*pb.EndRunReply, error) {
	if s.service.options.RunGuard == nil {
		return nil, trace.NotImplemented("no guard of fingerprints here")
	}
	return s.service.options.RunGuard.EndRun(ctx, q)
}
