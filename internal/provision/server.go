package provision

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// server answers planners.
type server struct {
	meter *Meter
	home  *GatedHome
}

var _ pb.DRPCProvisionServer = (*server)(nil)

const maxName = 512 // bytes of an ID in a request

// Demand gives this entry's counts.
func (s *server) Demand(context.Context, *pb.DemandRequest) (*pb.DemandReply, error) {
	return s.meter.Reply(), nil
}

// Quiesce stops an endpoint's grants, or lets them go on.
func (s *server) Quiesce(ctx context.Context, in *pb.QuiesceRequest) (*pb.QuiesceReply, error) {
	if !named(in.GetEndpointId()) || !named(in.GetOrderId()) {
		return nil, trace.BadParameter("malformed quiesce request")
	}
	life := time.Duration(min(in.GetLifeMs(), uint64(maxStop.Milliseconds()))) * time.Millisecond
	id := fleet.EndpointID(in.GetEndpointId())
	if _, home := s.home.find(ctx, in.GetEndpointId()); !home && life > 0 {
		return &pb.QuiesceReply{}, nil
	}
	stopped, quiet := s.home.gate.stop(time.Now(), id, in.GetOrderId(), life)
	if !stopped {
		return &pb.QuiesceReply{}, nil
	}
	// Read after the stop: what it doesn't show can't come any more.
	d, home := s.home.find(ctx, in.GetEndpointId())
	idle := quiet && home && d.GetGranted() == 0 && d.GetQueued() == 0
	return &pb.QuiesceReply{Stopped: home, Idle: idle}, nil
}

func named(s string) bool { return s != "" && len(s) <= maxName }
