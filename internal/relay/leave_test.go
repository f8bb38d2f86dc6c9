package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// countAfterLeaving counts an arrival from an entry that has received the signal that the endpoint
// leaves.
func (e *limitedEndpoint) countAfterLeaving(at time.Duration, entry int) {
	if signaledAt, ok := e.leavingSignaledAt[entry]; ok && at >= signaledAt+limitReactionTime {
		e.afterLeaving++
	}
}

// signalLeaving reports whether the endpoint signals to an entry that it is leaving.
func (s *limitedService) signalLeaving(id string, entry int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, at := s.endpoints[id], time.Since(s.began)
	if e.leavesAt == 0 || at < e.leavesAt {
		return false
	}
	if e.leavingSignaledAt == nil {
		e.leavingSignaledAt = map[int]time.Duration{}
	}
	if _, ok := e.leavingSignaledAt[entry]; !ok {
		e.leavingSignaledAt[entry] = at
	}
	return true
}

// Guards against requests to an endpoint that is leaving: its answers say so before the
// lists of the control instances do, and nothing else does while the entry is cut off from
// them.
func TestLeavingEndpointGetsNoMore(t *testing.T) {
	setUp := func(e *limitedEndpoint) { e.leavesAt = 5 * time.Second }
	testUnavailable(t, setUp, func(t *testing.T, id string, e *limitedEndpoint) {
		assert.Check(t, e.afterLeaving == 0, "%s got %d requests from entries that had received its signal", id, e.afterLeaving)
	})
}

// Guards against a new incarnation of an endpoint that gets no requests because of the
// signals of the one before it, or of another endpoint at its address.
func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	leaving := func() *Reply { r := ok("good"); r.Leaving = true; return r }
	another := func() *Reply { r := misfit(); r.Leaving, r.Cooldown = true, time.Minute; return r }
	fx := newFixture(atMostOnce, returns(leaving), returns(another), returns(func() *Reply { return ok("good") }))
	fx.view.Endpoints["s"] = fx.view.Endpoints["s"][:2]
	_, refusal := fx.serve(t, newExchange())
	assert.Assert(t, refusal == nil)
	left := fx.endpoints.calls[0].Endpoint
	restarted := *left
	restarted.Born = 7
	stats := fx.router.options.Stats
	assert.Equal(t, stats.Availability(time.Now(), left), dispatch.Leaving)
	assert.Equal(t, stats.Availability(time.Now(), &restarted), dispatch.Accepting)
	_, _ = fx.serve(t, newExchange())
	other := fx.endpoints.calls[1].Endpoint
	assert.Assert(t, other != left)
	assert.Equal(t, stats.Availability(time.Now(), other), dispatch.Accepting)
}
