package route

import (
	"time"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/engine"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/pb"
	"github.com/hyssopsail/hyssopsail/internal/timeline"
)

// hold is a grant and what may lie in the engine's memory under it.
type hold struct {
	grant    endpoint.Grant
	target   engine.Target
	began    time.Time
	touched  bool // a byte may have reached the endpoint
	finished bool // the endpoint has freed it by itself
	released bool
}

func newHold(g endpoint.Grant, now time.Time) *hold {
	return &hold{grant: g, target: targetOf(g), began: now}
}

func targetOf(g endpoint.Grant) engine.Target {
	return engine.Target{ID: g.Endpoint, Incarnation: g.Incarnation, Zone: g.Zone, Address: g.Address}
}

// free cancels what the endpoint may still hold and gives the grant back,
// once. An endpoint that was sent a byte is cancelled whatever error came
// back: a lost answer shows as memory that stays occupied by no one's request.
func (r *Router) free(h *hold, s *setback, tokens int) {
	if h == nil || h.released {
		return
	}
	h.released = true
	if h.touched && !h.finished {
		r.opts.Engine.Cancel(h.target, h.grant.Attempt)
	}
	r.opts.Follower.Give(endpoint.Release{
		Grant:        h.grant,
		Reason:       releaseReason(h, s),
		OutputTokens: tokens,
		Busy:         time.Since(h.began),
	})
	r.record(timeline.Event{Kind: timeline.KindReleased, Attempt: h.grant.Attempt, Endpoint: h.grant.Endpoint})
}

func releaseReason(h *hold, s *setback) pb.ReleaseReason {
	switch {
	case h.finished:
		return pb.ReleaseReason_RELEASE_REASON_COMPLETED
	case !h.touched:
		return pb.ReleaseReason_RELEASE_REASON_UNUSED
	case s.crashed() && s.endpoint == h.grant.Endpoint:
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

func (s endpointSet) with(ids ...fleet.EndpointID) endpointSet {
	out := make(endpointSet, len(s)+len(ids))
	for id := range s {
		out[id] = struct{}{}
	}
	for _, id := range ids {
		out.add(id)
	}
	return out
}
