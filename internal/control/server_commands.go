package control

import (
	"context"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Drain implements pb.DRPCControlServer.
func (s *Server) Drain(ctx context.Context, r *pb.DrainRequest) (*pb.DrainReply, error) {
	result, leader, err := s.propose(ctx, &pb.Command{Body: &pb.Command_DrainInstance{
		DrainInstance: &pb.DrainInstance{Id: r.GetInstanceId()},
	}})
	if err == nil && leader == "" {
		s.recordEvent(timeline.Event{Kind: timeline.KindDraining, Detail: r.GetInstanceId()})
	}
	return &pb.DrainReply{LeaderAddress: leader, Refusal: result.GetRefusal()}, err
}

// Order implements pb.DRPCControlServer: it assigns an order its fencing token.
func (s *Server) Order(ctx context.Context, o *pb.IssueOrder) (*pb.OrderReply, error) {
	result, leader, err := s.propose(ctx, &pb.Command{Body: &pb.Command_IssueOrder{IssueOrder: o}})
	if result.GetOrder() != nil {
		s.recordEvent(timeline.Event{
			Kind:     timeline.KindOrder,
			Endpoint: fleet.EndpointID(o.GetEndpointId()),
			Detail:   o.GetOrderId(),
		})
	}
	return &pb.OrderReply{
		Record:        result.GetOrder(),
		Newest:        result.GetNewestOrder(),
		LeaderAddress: leader,
		Refusal:       result.GetRefusal(),
	}, err
}

// Crash implements pb.DRPCControlServer.
func (s *Server) Crash(ctx context.Context, r *pb.ReportCrash) (*pb.ReportReply, error) {
	result, leader, err := s.propose(ctx, &pb.Command{Body: &pb.Command_ReportCrash{ReportCrash: r}})
	return &pb.ReportReply{LeaderAddress: leader, Refusal: result.GetRefusal()}, err
}

// Ready implements pb.DRPCControlServer.
func (s *Server) Ready(ctx context.Context, r *pb.LedgerReady) (*pb.ReportReply, error) {
	result, leader, err := s.propose(ctx, &pb.Command{Body: &pb.Command_LedgerReady{LedgerReady: r}})
	return &pb.ReportReply{LeaderAddress: leader, Refusal: result.GetRefusal()}, err
}
