package endpointlimit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// errNoKeeper: this instance keeps no part of the endpoint's limit.
var errNoKeeper = errors.New("not a keeper of the endpoint's limit")

// Server answers entries as a keeper.
type Server struct {
	self    string
	members func() []string
	metrics *serverMetrics

	mu     sync.Mutex // guards ledger
	ledger *Ledger
}

var _ pb.DRPCLimitKeeperServer = (*Server)(nil)

// NewServer makes the Server of the member at address self; members lists the addresses of
// the control group as it is known here. to may be nil.
func NewServer(self string, members func() []string, to prometheus.Registerer) *Server {
	return &Server{self: self, members: members, metrics: newServerMetrics(to), ledger: NewLedger(time.Now())}
}

// TakePermit implements pb.DRPCLimitKeeperServer.
func (s *Server) TakePermit(_ context.Context, r *pb.TakePermitRequest) (*pb.TakePermitReply, error) {
	e := Endpoint{ID: r.Endpoint, Born: r.Born}
	part, ok := PartOf(s.self, s.members(), e)
	if !ok {
		return nil, errNoKeeper
	}
	now := time.Now()
	s.mu.Lock()
	taken := s.ledger.Take(now, e, fromWire(now, r.Heard), part)
	s.mu.Unlock()
	s.metrics.count(taken)
	return &pb.TakePermitReply{Granted: taken.Granted, AgainMs: uint32(taken.Again.Milliseconds()), Heard: toWire(now, taken.Heard)}, nil
}

// TellLimit implements pb.DRPCLimitKeeperServer.
func (s *Server) TellLimit(_ context.Context, r *pb.TellLimitRequest) (*pb.TellLimitReply, error) {
	e := Endpoint{ID: r.Endpoint, Born: r.Born}
	part, ok := PartOf(s.self, s.members(), e)
	if !ok {
		return nil, errNoKeeper
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Told(now, e, fromWire(now, r.Heard), part)
	return &pb.TellLimitReply{}, nil
}
