package endpoint

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// Home serves the other daemons.
var _ pb.DRPCHomeServer = (*Home)(nil)

// Grant answers at once, or when the endpoint's queue has come to the request.
// When ctx ends first, the request leaves the queue and what it may have got
// is freed.
func (h *Home) Grant(ctx context.Context, in *pb.GrantRequest) (*pb.GrantReply, error) {
	began := time.Now()
	a, ok := askFromProto(in, began)
	if !ok {
		return nil, trace.BadParameter("malformed grant request")
	}
	given, err := h.grant(ctx, a)
	if err != nil {
		return nil, err
	}
	h.metrics.grants.WithLabelValues(given.status.String()).Inc()
	h.metrics.queueWait.Observe(time.Since(began).Seconds())
	return h.reply(a, given), nil
}

func (h *Home) grant(ctx context.Context, a *ask) (answer, error) {
	answers := make(chan answer, 1)
	var given answer
	var queued *waiting
	h.step(func(c *core, now time.Time) {
		given, queued = c.grant(now, a)
		if queued != nil {
			queued.answers = answers
		}
	})
	if queued == nil {
		return given, nil
	}
	select {
	case given = <-answers:
		return given, nil
	case <-ctx.Done():
		h.step(func(c *core, now time.Time) { c.abandon(now, queued) })
		return answer{}, trace.Wrap(ctx.Err())
	}
}

func (h *Home) reply(a *ask, given answer) *pb.GrantReply {
	reply := &pb.GrantReply{
		Status:              given.status,
		EndpointIncarnation: uint64(given.incarnation),
		ExpiresMs:           uint64(given.expires.Milliseconds()),
		SlotReadyMs:         uint64(given.readyIn.Milliseconds()),
		RetryAfterMs:        uint64(given.retryAfter.Milliseconds()),
		HomeAddress:         given.homeAddress,
		QueuedMs:            uint64(given.queued.Milliseconds()),
		Confirmed:           given.confirmed,
	}
	h.step(func(c *core, now time.Time) {
		reply.Home = c.self.Proto()
		reply.Digests = c.one(now, a.endpoint)
	})
	return reply
}

// Release frees a slot; repeats do no harm.
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
		reply.Digests = c.one(now, q.endpoint)
	})
	return reply, nil
}

// Digest lists this home's endpoints.
func (h *Home) Digest(_ context.Context, in *pb.DigestRequest) (*pb.DigestReply, error) {
	var reply *pb.DigestReply
	h.step(func(c *core, now time.Time) {
		reply = c.digests(now, in.GetStaticVersion(), in.GetCacheVersion())
	})
	return reply, nil
}

// Disown answers for this daemon's own attempts. Those of an earlier process
// of this instance are all disowned.
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

// Leave takes a leave that another entry was told, or notes it for the time
// when this instance becomes home.
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

// Handover takes what the last home of an endpoint has granted.
func (h *Home) Handover(_ context.Context, in *pb.HandoverRequest) (*pb.HandoverReply, error) {
	if in.GetEndpointId() == "" || len(in.GetEndpointId()) > maxNameLen || len(in.GetHolds()) > maxHeld {
		return nil, trace.BadParameter("malformed handover")
	}
	reply := &pb.HandoverReply{}
	h.step(func(c *core, now time.Time) { reply.Accepted = c.takeHandover(now, in) })
	return reply, nil
}
