package endpoint

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Home implements the RPCs for other daemons.
var _ pb.DRPCHomeServer = (*Home)(nil)

// Grant answers at once, or when the queued request is granted or refused. If
// ctx ends first, the request leaves the queue, and the slot that it may have
// been granted is freed.
func (h *Home) Grant(ctx context.Context, in *pb.GrantRequest) (*pb.GrantReply, error) {
	began := time.Now()
	a, ok := slotRequestFromProto(in, began)
	if !ok {
		return nil, trace.BadParameter("malformed grant request")
	}
	result, err := h.grant(ctx, a)
	if err != nil {
		return nil, err
	}
	h.metrics.grants.WithLabelValues(result.status.String()).Inc()
	h.metrics.queueWait.Observe(time.Since(began).Seconds())
	return h.reply(a, result), nil
}

func (h *Home) grant(ctx context.Context, a *slotRequest) (response, error) {
	responses := make(chan response, 1)
	var result response
	var queued *queuedRequest
	h.step(func(c *core, now time.Time) {
		result, queued = c.grant(now, a)
		if queued != nil {
			queued.responses = responses
		}
	})
	if queued == nil {
		return result, nil
	}
	select {
	case result = <-responses:
		return result, nil
	case <-ctx.Done():
		h.step(func(c *core, now time.Time) { c.abandon(now, queued) })
		return response{}, trace.Wrap(ctx.Err())
	}
}

func (h *Home) reply(a *slotRequest, result response) *pb.GrantReply {
	reply := &pb.GrantReply{
		Status:              result.status,
		EndpointIncarnation: uint64(result.incarnation),
		ExpiresMs:           uint64(result.expires.Milliseconds()),
		SlotReadyMs:         uint64(result.readyIn.Milliseconds()),
		RetryAfterMs:        uint64(result.retryAfter.Milliseconds()),
		HomeAddress:         result.homeAddress,
		QueuedMs:            uint64(result.queued.Milliseconds()),
		Confirmed:           result.confirmed,
	}
	h.step(func(c *core, now time.Time) {
		reply.Home = c.self.Proto()
		reply.Digests = c.briefDigest(now, a.endpoint)
	})
	return reply
}

// Release frees a slot. It is idempotent.
func (h *Home) Release(_ context.Context, in *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	q, ok := releaseFromProto(in)
	if !ok {
		return nil, trace.BadParameter("malformed release")
	}
	reply := &pb.ReleaseReply{}
	h.step(func(c *core, now time.Time) {
		a := c.release(now, q)
		reply.Status = a.status
		reply.HomeAddress = a.homeAddress
		reply.Home = c.self.Proto()
		reply.Digests = c.briefDigest(now, q.endpoint)
	})
	return reply, nil
}

// Digest returns the digests of this home's endpoints.
func (h *Home) Digest(_ context.Context, in *pb.DigestRequest) (*pb.DigestReply, error) {
	var reply *pb.DigestReply
	h.step(func(c *core, now time.Time) {
		reply = c.digests(now, in.GetStaticVersion(), in.GetCacheVersion())
	})
	return reply, nil
}

// Disown returns which attempts this daemon doesn't run. Those of an earlier
// process of this instance are all disowned.
func (h *Home) Disown(_ context.Context, in *pb.DisownRequest) (*pb.DisownReply, error) {
	reply := &pb.DisownReply{}
	if len(in.GetHeld()) > maxHeld {
		return nil, trace.LimitExceeded("%d holds asked after, at most %d", len(in.GetHeld()), maxHeld)
	}
	self := h.options.Source.Self().Owner()
	for _, held := range in.GetHeld() {
		if h.disowns(self, held) {
			reply.Disowned = append(reply.Disowned, held.GetAttemptId())
		}
	}
	return reply, nil
}

func (h *Home) disowns(self fleet.Owner, held *pb.HeldAttempt) bool {
	owner := fleet.OwnerFromProto(held.GetOwner())
	if owner.Instance != self.Instance {
		return false
	}
	if owner.Incarnation != self.Incarnation {
		return owner.Incarnation < self.Incarnation
	}
	return h.options.Running != nil && !h.options.Running(fleet.AttemptID(held.GetAttemptId()))
}

// Leave applies a leave that another entry received, or records it in case this
// instance becomes the home.
func (h *Home) Leave(_ context.Context, in *pb.LeaveRequest) (*pb.LeaveReply, error) {
	if in.GetEndpointId() == "" || len(in.GetEndpointId()) > maxNameLen {
		return nil, trace.BadParameter("malformed leave")
	}
	reply := &pb.LeaveReply{}
	h.step(func(c *core, _ time.Time) {
		reply.Confirmed = c.leave(fleet.EndpointID(in.GetEndpointId()), fleet.Incarnation(in.GetEndpointIncarnation()))
	})
	return reply, nil
}

// Handover receives what the previous home of an endpoint has granted.
func (h *Home) Handover(_ context.Context, in *pb.HandoverRequest) (*pb.HandoverReply, error) {
	if in.GetEndpointId() == "" || len(in.GetEndpointId()) > maxNameLen || len(in.GetHolds()) > maxHeld {
		return nil, trace.BadParameter("malformed handover")
	}
	reply := &pb.HandoverReply{}
	h.step(func(c *core, now time.Time) { reply.Accepted = c.takeHandover(now, in) })
	return reply, nil
}
