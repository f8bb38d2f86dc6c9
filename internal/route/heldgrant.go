package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// heldGrant is a grant and the state of the endpoint's memory under it.
type heldGrant struct {
	grant     endpoint.Grant
	target    engine.Target
	began     time.Time
	sentAt    time.Time // when its request was sent; zero before that
	maybeSent bool      // bytes may have reached the endpoint
	finished  bool      // the endpoint has freed its memory itself
	released  bool
}

func newHeldGrant(g endpoint.Grant, now time.Time) *heldGrant {
	return &heldGrant{grant: g, target: targetOf(g), began: now}
}

func targetOf(g endpoint.Grant) engine.Target {
	return engine.Target{ID: g.Endpoint, Incarnation: g.Incarnation, Zone: g.Zone, Address: g.Address}
}

// release cancels the work at the endpoint and returns the grant to its home. Calls
// after the first do nothing. The endpoint is cancelled whenever bytes may have
// reached it, whatever error came back; otherwise a lost response would leave memory
// occupied that no request uses.
func (r *Router) release(h *heldGrant, failed *attemptFailure, tokens int) {
	if h == nil || h.released {
		return
	}
	h.released = true
	if h.maybeSent && !h.finished {
		r.opts.Engine.Cancel(h.target, h.grant.Attempt)
	}
	r.opts.Follower.Release(endpoint.Release{
		Grant:        h.grant,
		Reason:       releaseReason(h, failed),
		OutputTokens: tokens,
		Busy:         time.Since(h.began),
	})
	r.record(timeline.Event{Kind: timeline.KindReleased, Attempt: h.grant.Attempt, Endpoint: h.grant.Endpoint})
}

func releaseReason(h *heldGrant, failed *attemptFailure) pb.ReleaseReason {
	switch {
	case h.finished:
		return pb.ReleaseReason_RELEASE_REASON_COMPLETED
	case !h.maybeSent:
		return pb.ReleaseReason_RELEASE_REASON_UNUSED
	case failed.endpointMayHaveCrashed() && failed.endpoint == h.grant.Endpoint:
		return pb.ReleaseReason_RELEASE_REASON_ENDPOINT_FAILED
	}
	return pb.ReleaseReason_RELEASE_REASON_CANCELLED
}

// endpointSet is a set of endpoints to avoid.
type endpointSet map[fleet.EndpointID]struct{}

func (s endpointSet) add(id fleet.EndpointID) {
	if id != "" {
		s[id] = struct{}{}
	}
}

func (s endpointSet) copyWith(ids ...fleet.EndpointID) endpointSet {
	out := make(endpointSet, len(s)+len(ids))
	for id := range s {
		out[id] = struct{}{}
	}
	for _, id := range ids {
		out.add(id)
	}
	return out
}
