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

// errNoKeepers: this instance knows of no group yet, and so not its share.
var errNoKeepers = errors.New("the keepers of quotas are not known yet")

// Server answers entries as a keeper.
type Server struct {
	keepers func() int
	metrics *metrics

	mu     sync.Mutex // guards ledger
	ledger *Ledger
}

var _ pb.DRPCQuotaKeeperServer = (*Server)(nil)

// NewServer makes a Server; keepers tells how many there are, this one included, 0
// while that isn't known. to may be nil.
func NewServer(keepers func() int, to prometheus.Registerer) *Server {
	return &Server{keepers: keepers, metrics: newMetrics(to), ledger: NewLedger(time.Now(), rand.Uint64())}
}

// TakeQuota implements pb.DRPCQuotaKeeperServer.
func (s *Server) TakeQuota(_ context.Context, r *pb.TakeQuotaRequest) (*pb.TakeQuotaReply, error) {
	keepers := s.keepers()
	if keepers == 0 {
		return nil, errNoKeepers
	}
	limit := Limit{Version: r.Version, PerSecond: r.PerSecond, Burst: r.Burst, ExtraPerSecond: r.ExtraPerSecond, Debt: r.Debt, Reserve: r.Reserve}
	taken := s.take(r.Team, limit, 1/float64(keepers), r.Cost)
	s.metrics.count(r.Team, taken)
	return &pb.TakeQuotaReply{Grant: taken.Grant, AgainMs: uint32(taken.Again.Milliseconds())}, nil
}

func (s *Server) take(team string, limit Limit, share, cost float64) Taken {
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
