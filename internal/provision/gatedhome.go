package provision

import (
	"context"
	"math"
	"time"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
)

// GatedHome is the home that other daemons call. It grants no new work at
// endpoints that the gate has stopped.
type GatedHome struct {
	pb.DRPCHomeServer
	gate *Gate
}

// NewGatedHome returns home behind gate.
func NewGatedHome(home pb.DRPCHomeServer, gate *Gate) *GatedHome {
	return &GatedHome{DRPCHomeServer: home, gate: gate}
}

// Grant refuses new work at a stopped endpoint, but lets renewals pass.
func (h *GatedHome) Grant(ctx context.Context, in *pb.GrantRequest) (*pb.GrantReply, error) {
	id := fleet.EndpointID(in.GetEndpointId())
	key := grantKey{in.GetEndpointId(), in.GetAttemptId(), in.GetKind()}
	if h.gate.anyStopped() && h.gate.hasGrant(key) {
		return h.DRPCHomeServer.Grant(ctx, in)
	}
	leave, ok := h.gate.enter(time.Now(), id)
	if !ok {
		return &pb.GrantReply{Status: pb.GrantStatus_GRANT_STATUS_FULL, RetryAfterMs: uint64(stoppedRetryAfter.Milliseconds())}, nil
	}
	defer leave()
	reply, err := h.DRPCHomeServer.Grant(ctx, in)
	if err == nil && reply.GetStatus() == pb.GrantStatus_GRANT_STATUS_GRANTED {
		h.gate.addGrant(time.Now(), key)
	}
	return reply, err
}

// Digest reports stopped endpoints as leaving. Brief digests don't identify
// their endpoint, so full digests are returned while any endpoint is stopped.
func (h *GatedHome) Digest(ctx context.Context, in *pb.DigestRequest) (*pb.DigestReply, error) {
	if !h.gate.anyStopped() {
		return h.DRPCHomeServer.Digest(ctx, in)
	}
	full := &pb.DigestRequest{Owner: in.GetOwner(), ViewNumber: in.GetViewNumber(), CacheVersion: in.GetCacheVersion()}
	reply, err := h.DRPCHomeServer.Digest(ctx, full)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	for _, d := range reply.GetDigests() {
		d.Leaving = d.Leaving || h.gate.stopped(now, fleet.EndpointID(d.GetId()))
	}
	return reply, nil
}

// noCaches requests digests without cache prefixes, since no version is newer.
const noCaches = math.MaxUint64

// find returns one endpoint's digest from the home itself.
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
