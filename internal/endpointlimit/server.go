package endpointlimit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// errNotLimitServer is the error of an instance that has no share of the endpoint's limit.
var errNotLimitServer = errors.New("not a keeper of the endpoint's limit")

// Server serves entries as a limit server.
type Server struct {
	self    string
	members func() []string
	metrics *serverMetrics

	mu     sync.Mutex // guards ledger
	ledger *Ledger
}

var _ pb.DRPCLimitKeeperServer = (*Server)(nil)

// NewServer returns the Server of the control instance at address self. members returns the
// addresses of the control group in this instance's view. registerer may be nil.
func NewServer(self string, members func() []string, registerer prometheus.Registerer) *Server {
	return &Server{self: self, members: members, metrics: newServerMetrics(registerer), ledger: NewLedger(time.Now())}
}

// TakePermit implements pb.DRPCLimitKeeperServer.
func (s *Server) TakePermit(_ context.Context, r *pb.TakePermitRequest) (*pb.TakePermitReply, error) {
	e := Endpoint{ID: r.Endpoint, Born: r.Born}
	share, ok := ShareOf(s.self, s.members(), e)
	if !ok {
		return nil, errNotLimitServer
	}
	now := time.Now()
	s.mu.Lock()
	result := s.ledger.Take(now, e, fromWire(now, r.Heard), share)
	s.mu.Unlock()
	s.metrics.count(result)
	return &pb.TakePermitReply{Granted: result.Granted, AgainMs: uint32(result.RetryAfter.Milliseconds()), Heard: toWire(now, result.Limit)}, nil
}

// TellLimit implements pb.DRPCLimitKeeperServer.
func (s *Server) TellLimit(_ context.Context, r *pb.TellLimitRequest) (*pb.TellLimitReply, error) {
	e := Endpoint{ID: r.Endpoint, Born: r.Born}
	share, ok := ShareOf(s.self, s.members(), e)
	if !ok {
		return nil, errNotLimitServer
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.UpdateLimit(now, e, fromWire(now, r.Heard), share)
	return &pb.TellLimitReply{}, nil
}
