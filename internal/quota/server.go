package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// errServersUnknown means that this instance doesn't know its group yet, and therefore not its
// share.
var errServersUnknown = errors.New("the keepers of quotas are not known yet")

// Server is a quota server, which answers the entries. It is safe for concurrent use.
type Server struct {
	servers func() int
	metrics *metrics

	mu     sync.Mutex // guards ledger
	ledger *Ledger
}

var _ pb.DRPCQuotaKeeperServer = (*Server)(nil)

// NewServer returns a Server. servers returns the number of quota servers including this one, or
// 0 while it isn't known. to may be nil.
func NewServer(servers func() int, to prometheus.Registerer) *Server {
	return &Server{servers: servers, metrics: newMetrics(to), ledger: NewLedger(time.Now(), rand.Uint64())}
}

// TakeQuota implements pb.DRPCQuotaKeeperServer.
func (s *Server) TakeQuota(_ context.Context, r *pb.TakeQuotaRequest) (*pb.TakeQuotaReply, error) {
	servers := s.servers()
	if servers == 0 {
		return nil, errServersUnknown
	}
	limit := Limit{Version: r.Version, PerSecond: r.PerSecond, Burst: r.Burst, ExtraPerSecond: r.ExtraPerSecond, Debt: r.Debt, Reserve: r.Reserve}
	taken := s.take(r.Team, limit, 1/float64(servers), r.Cost)
	s.metrics.count(r.Team, taken)
	return &pb.TakeQuotaReply{Grant: taken.Grant, AgainMs: uint32(taken.RetryAfter.Milliseconds())}, nil
}

func (s *Server) take(team string, limit Limit, share, cost float64) TakeResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Take(time.Now(), team, limit, share, cost)
}

// ReturnQuota implements pb.DRPCQuotaKeeperServer.
func (s *Server) ReturnQuota(_ context.Context, r *pb.ReturnQuotaRequest) (*pb.ReturnQuotaReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Return(time.Now(), r.Team, r.Grant)
	return &pb.ReturnQuotaReply{}, nil
}
