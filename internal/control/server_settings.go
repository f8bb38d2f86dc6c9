package control

import (
	"context"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// Change implements pb.DRPCControlServer.
func (s *Server) Change(ctx context.Context, r *pb.ChangeRequest) (*pb.ChangeReply, error) {
	change := r.GetChange()
	result, leader, err := s.propose(ctx, &pb.Command{Body: &pb.Command_ChangeSubtree{ChangeSubtree: change}})
	if err != nil || leader != "" {
		return &pb.ChangeReply{LeaderAddress: leader}, err
	}
	if result.Change == nil {
		return &pb.ChangeReply{Result: invalid(0, "malformed change")}, nil
	}
	status := statusLabel(result.Change.Status)
	s.metrics.changes.WithLabelValues(status).Inc()
	s.part.Info("Change answered.", "subtree", change.GetName(), "change", change.GetChangeId(), "status", status,
		"version", result.Change.Version, "index", result.Change.Index)
	s.recordEvent(timeline.Event{Kind: timeline.KindSettings, Change: change.GetChangeId(), Detail: status})
	reply := &pb.ChangeReply{Result: result.Change}
	if err := s.awaitInForce(ctx, reply, r.GetWaitInForceMs()); err != nil {
		return nil, err
	}
	return reply, nil
}

func statusLabel(s pb.ChangeStatus) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "CHANGE_STATUS_"))
}

// awaitInForce waits until each live entry has applied the change or lost its
// lease. An entry without a lease takes no requests until it has caught up, so
// the older settings are in force nowhere. An error means that the leadership was
// lost meanwhile: the change stays accepted, and a repeat of it at the next
// leader continues the wait.
func (s *Server) awaitInForce(ctx context.Context, reply *pb.ChangeReply, waitMs uint64) error {
	if waitMs == 0 || reply.Result.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		return nil
	}
	wait := time.Duration(min(waitMs, uint64(maxInForceWait.Milliseconds()))) * time.Millisecond
	timer := time.NewTimer(wait)
	defer timer.Stop()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		// The barrier makes the view current: a former leader would miss entries
		// that joined since.
		if err := s.group.ReadBarrier(ctx); err != nil {
			return trace.Wrap(err)
		}
		pending := s.leases.notApplied(reply.Result.Index, s.liveEntries())
		reply.PendingInstances = instanceIDs(pending)
		reply.InForce = len(pending) == 0
		if reply.InForce {
			return nil
		}
		select {
		case <-ticker.C:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		}
	}
}

func (s *Server) liveEntries() []fleet.Owner {
	_, instances := s.machine.Instances()
	var entries []fleet.Owner
	for _, i := range instances {
		if i.Entry {
			entries = append(entries, ownerOf(i))
		}
	}
	return entries
}

func instanceIDs(owners []fleet.Owner) []string {
	var out []string
	for _, o := range owners {
		out = append(out, string(o.Instance))
	}
	return out
}

// GetSettings implements pb.DRPCControlServer.
func (s *Server) GetSettings(ctx context.Context, r *pb.GetSettingsRequest) (*pb.GetSettingsReply, error) {
	leader, err := s.readBarrier(ctx)
	if err != nil || leader != "" {
		return &pb.GetSettingsReply{LeaderAddress: leader}, err
	}
	return &pb.GetSettingsReply{Documents: s.machine.Documents(r)}, nil
}
