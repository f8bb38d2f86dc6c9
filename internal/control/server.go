package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/logging"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/replica"
	"github.com/hyssopsail/hyssopsail/internal/rpc"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Timeouts, intervals and limits of the server.
const (
	defaultInstanceLease  = 2 * time.Second
	proposeTimeout        = 5 * time.Second
	inForcePollInterval   = 10 * time.Millisecond
	maxPullWait           = time.Minute
	maxInForceWait        = 5 * time.Minute
	ticksPerLease         = 20
	maxConcurrentExpiries = 16
	maxPulls              = 4096
)

// ServerOptions configures a Server. Group, Machine and Self are required;
// Dialer is needed to ask other members for their disk identities at init.
type ServerOptions struct {
	Group      replica.Group
	Machine    *Machine
	Self       fleet.Instance
	Dialer     rpc.Dialer
	Part       logging.Part
	Registerer prometheus.Registerer // nil: no metrics
	Recorder   timeline.Recorder     // nil: no events
	Now        func() time.Time      // nil: time.Now
}

// Server is a control instance's service. It implements pb.DRPCControlServer
// and pb.DRPCConsensusServer and is safe for concurrent use. Lock order: no lock
// of the server is held while another one, the machine's or the group's is taken.
type Server struct {
	group        replica.Group
	machine      *Machine
	self         fleet.Instance
	dialer       rpc.Dialer
	part         logging.Part
	metrics      *serverMetrics
	recorder     timeline.Recorder
	now          func() time.Time
	leases       *leaseTable
	expirySlots  chan struct{} // one token for each pending expiry
	pullSlots    chan struct{} // one token for each open pull
	recordExpiry sync.Mutex    // held during a proposal that removes expired records
	leadingTerm  uint64        // term in which this member leads; 0: none. Used by Run only.
}

var (
	_ pb.DRPCControlServer   = (*Server)(nil)
	_ pb.DRPCConsensusServer = (*Server)(nil)
)

// NewServer returns a server; leases expire only while Run is running.
func NewServer(o ServerOptions) *Server {
	now := o.Now
	if now == nil {
		now = time.Now
	}
	return &Server{
		group:       o.Group,
		machine:     o.Machine,
		self:        o.Self,
		dialer:      o.Dialer,
		part:        o.Part,
		metrics:     newServerMetrics(o.Registerer),
		recorder:    o.Recorder,
		now:         now,
		leases:      newLeaseTable(),
		expirySlots: make(chan struct{}, maxConcurrentExpiries),
		pullSlots:   make(chan struct{}, maxPulls),
	}
}

// errNoLeader is returned by a member that is not the leader and knows none.
var errNoLeader = errors.New("this member is not the leader and knows none")

// propose commits a command. When this member is not the leader, leader is the
// leader's address and result is nil.
func (s *Server) propose(ctx context.Context, c *pb.Command) (result *pb.CommandResult, leader string, err error) {
	c.UnixMs = s.now().UnixMilli()
	encoded, err := proto.Marshal(c)
	if err != nil {
		return nil, "", trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	started := s.now()
	applied, err := s.group.Propose(ctx, encoded)
	if err != nil {
		leader, err = s.leaderFromError(err)
		return nil, leader, err
	}
	s.metrics.proposals.Observe(s.now().Sub(started).Seconds())
	result = &pb.CommandResult{}
	if err := proto.Unmarshal(applied.Result, result); err != nil {
		return nil, "", trace.Wrap(err)
	}
	return result, "", nil
}

// leaderFromError returns the leader's address in place of ErrNotLeader.
func (s *Server) leaderFromError(err error) (leader string, rest error) {
	if !errors.Is(err, replica.ErrNotLeader) {
		return "", trace.Wrap(err)
	}
	leader = s.leaderAddress()
	if leader == "" {
		return "", trace.Wrap(errNoLeader)
	}
	return leader, nil
}

func (s *Server) leaderAddress() string {
	leader := s.group.Status().Leader
	if leader.GetInstanceId() == string(s.self.ID) {
		return ""
	}
	return leader.GetRpcAddress()
}

// readBarrier makes reads of the machine linearizable, or returns the leader's
// address when this member is not the leader.
func (s *Server) readBarrier(ctx context.Context) (leader string, err error) {
	if err := s.group.ReadBarrier(ctx); err != nil {
		return s.leaderFromError(err)
	}
	return "", nil
}

func (s *Server) instanceLease() time.Duration {
	lease := s.machine.Tree().Fleet.Timeouts.InstanceLease
	if lease <= 0 {
		return defaultInstanceLease
	}
	return lease
}

func (s *Server) recordEvent(e timeline.Event) {
	if s.recorder != nil {
		s.recorder.Record(e)
	}
}

// Step implements pb.DRPCConsensusServer.
func (s *Server) Step(ctx context.Context, message *pb.ConsensusMessage) (*pb.StepReply, error) {
	if err := s.group.Step(ctx, message); err != nil {
		return nil, trace.Wrap(err)
	}
	return &pb.StepReply{}, nil
}
