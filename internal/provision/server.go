package provision

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// server answers the RPCs of planners.
type server struct {
	meter *Meter
	home  *GatedHome
}

var _ pb.DRPCProvisionServer = (*server)(nil)

const maxIDBytes = 512 // maximum length of an ID in a request, in bytes

// Demand returns this entry's counts.
func (s *server) Demand(context.Context, *pb.DemandRequest) (*pb.DemandReply, error) {
	return s.meter.Reply(), nil
}

// Quiesce stops an endpoint's grants, or resumes them if the life is 0.
func (s *server) Quiesce(ctx context.Context, in *pb.QuiesceRequest) (*pb.QuiesceReply, error) {
	if !validID(in.GetEndpointId()) || !validID(in.GetOrderId()) {
		return nil, trace.BadParameter("malformed quiesce request")
	}
	life := time.Duration(min(in.GetLifeMs(), uint64(maxStopDuration.Milliseconds()))) * time.Millisecond
	id := fleet.EndpointID(in.GetEndpointId())
	if _, home := s.home.find(ctx, in.GetEndpointId()); !home && life > 0 {
		return &pb.QuiesceReply{Reason: "the endpoint is unknown at its home"}, nil
	}
	stopped, noneInFlight := s.home.gate.stop(time.Now(), id, in.GetOrderId(), life)
	if !stopped {
		return &pb.QuiesceReply{Reason: "stopped by another order, or too many stops"}, nil
	}
	// Read after the stop: a grant that this doesn't show can't be given any more.
	d, home := s.home.find(ctx, in.GetEndpointId())
	idle := noneInFlight && home && d.GetGranted() == 0 && d.GetQueued() == 0 && !d.GetGrantsUnknown()
	reply := &pb.QuiesceReply{Stopped: home, Idle: idle}
	if !idle {
		reply.Reason = fmt.Sprintf("known %t, granted %d, queued %d, none in flight %t, grants unknown %t",
			home, d.GetGranted(), d.GetQueued(), noneInFlight, d.GetGrantsUnknown())
	}
	return reply, nil
}

func validID(s string) bool { return s != "" && len(s) <= maxIDBytes }
