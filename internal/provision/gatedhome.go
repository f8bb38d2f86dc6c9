package provision

import (
	"context"
	"math"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// GatedHome is a Home to the other daemons that gives no new work to endpoints
// that the gate has stopped.
type GatedHome struct {
	pb.DRPCHomeServer
	gate *Gate
}

// NewGatedHome puts gate before home.
func NewGatedHome(home pb.DRPCHomeServer, gate *Gate) *GatedHome {
	return &GatedHome{DRPCHomeServer: home, gate: gate}
}

// Grant lets renewals pass.
func (h *GatedHome) Grant(ctx context.Context, in *pb.GrantRequest) (*pb.GrantReply, error) {
	id := fleet.EndpointID(in.GetEndpointId())
	key := grantKey{in.GetEndpointId(), in.GetAttemptId(), in.GetKind()}
	if h.gate.any() && h.gate.knows(key) {
		return h.DRPCHomeServer.Grant(ctx, in)
	}
	leave, ok := h.gate.enter(time.Now(), id)
	if !ok {
		return &pb.GrantReply{Status: pb.GrantStatus_GRANT_STATUS_FULL, RetryAfterMs: uint64(stoppedWait.Milliseconds())}, nil
	}
	defer leave()
	reply, err := h.DRPCHomeServer.Grant(ctx, in)
	if err == nil && reply.GetStatus() == pb.GrantStatus_GRANT_STATUS_GRANTED {
		h.gate.remember(time.Now(), key)
	}
	return reply, err
}

// Digest shows stopped endpoints as leaving. Brief digests don't tell which
// endpoint they are of, so that all are whole while one is stopped.
func (h *GatedHome) Digest(ctx context.Context, in *pb.DigestRequest) (*pb.DigestReply, error) {
	if !h.gate.any() {
		return h.DRPCHomeServer.Digest(ctx, in)
	}
	whole := &pb.DigestRequest{Owner: in.GetOwner(), ViewNumber: in.GetViewNumber(), CacheVersion: in.GetCacheVersion()}
	reply, err := h.DRPCHomeServer.Digest(ctx, whole)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	for _, d := range reply.GetDigests() {
		d.Leaving = d.Leaving || h.gate.stopped(now, fleet.EndpointID(d.GetId()))
	}
	return reply, nil
}

// noCaches asks for digests without cache prefixes: no version is newer.
const noCaches = math.MaxUint64

// find gives one endpoint's digest by the home itself.
func (h *GatedHome) find(ctx context.Context, id string) (*pb.EndpointDigest, bool) {
	reply, err := h.DRPCHomeServer.Digest(ctx, &pb.DigestRequest{CacheVersion: noCaches})
	if err != nil {
		return nil, false
	}
	for _, d := range reply.GetDigests() {
		if d.GetId() == id {
			return d, true
		}
	}
	return nil, false
}
