package retrypool

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/retrybudget"
)

// Values of the label result.
const (
	resultGranted = "granted"
	resultDenied  = "denied"
)

// errNoShare means that this instance has no share of the pool now.
var errNoShare = errors.New("no share of the retry pool is known")

// Server grants one control instance's share of the pool. It is safe for concurrent use.
type Server struct {
	servers func() int
	budget  *retrybudget.Budget
	asked   *prometheus.CounterVec
}

var _ pb.DRPCRetryPoolServer = (*Server)(nil)

// NewServer returns a Server. limits are those of the whole fleet's retry budget. servers
// returns how many control instances share the pool, 0 for none. registerer may be nil.
func NewServer(limits retrybudget.Limits, servers func() int, registerer prometheus.Registerer) *Server {
	return &Server{
		servers: servers, budget: retrybudget.New(time.Now(), limits.ForPool()),
		asked: promauto.With(registerer).NewCounterVec(prometheus.CounterOpts{
			Name: "hyssopsail_retry_pool_asked_total",
			Help: "Questions of entries for a retry from the pool, by result.",
		}, []string{"result"}),
	}
}

// TakeRetry implements pb.DRPCRetryPoolServer.
func (s *Server) TakeRetry(_ context.Context, r *pb.TakeRetryRequest) (*pb.TakeRetryReply, error) {
	servers := s.servers()
	if servers == 0 {
		return nil, errNoShare
	}
	now := time.Now()
	s.budget.SetEntries(now, servers)
	reservation := s.budget.Reserve(now, r.Service)
	if reservation == nil {
		s.asked.WithLabelValues(resultDenied).Inc()
		return &pb.TakeRetryReply{}, nil
	}
	reservation.Commit(now)
	s.asked.WithLabelValues(resultGranted).Inc()
	return &pb.TakeRetryReply{Granted: true}, nil
}
