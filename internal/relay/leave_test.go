package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/dispatch"
)

// countLeaving counts an arrival from an entry that knows that the endpoint leaves.
func (e *limitedEndpoint) countLeaving(at time.Duration, entry int) {
	if told, ok := e.toldOf[entry]; ok && at >= told+limitHeard {
		e.late++
	}
}

// sayLeaving tells an entry that the endpoint leaves, once it does.
func (s *limitedService) sayLeaving(id string, entry int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, at := s.endpoints[id], time.Since(s.began)
	if e.leaves == 0 || at < e.leaves {
		return false
	}
	if e.toldOf == nil {
		e.toldOf = map[int]time.Duration{}
	}
	if _, ok := e.toldOf[entry]; !ok {
		e.toldOf[entry] = at
	}
	return true
}

// Guards against work for an endpoint that leaves: its answers say so before the lists of
// the control instances do, and alone while the entry is cut off from them.
func TestLeavingEndpointGetsNoMore(t *testing.T) {
	leave := func(e *limitedEndpoint) { e.leaves = 5 * time.Second }
	playUnwanted(t, leave, func(t *testing.T, id string, e *limitedEndpoint) {
		assert.Check(t, e.late == 0, "%s got %d requests from entries that it had told", id, e.late)
	})
}

// Guards against a new run of an endpoint that gets no work for what the one before it
// said, or for what another endpoint said at its address.
func TestLeavingIsOfOneRun(t *testing.T) {
	leaving := func() *Reply { r := ok("good"); r.Leaving = true; return r }
	another := func() *Reply { r := misfit(); r.Leaving, r.Rest = true, time.Minute; return r }
	w := newWorld(atMostOnce, gives(leaving), gives(another), gives(func() *Reply { return ok("good") }))
	w.view.Endpoints["s"] = w.view.Endpoints["s"][:2]
	_, refusal := w.serve(t, exchange())
	assert.Assert(t, refusal == nil)
	left := w.endpoints.calls[0].Endpoint
	restarted := *left
	restarted.Born = 7
	book := w.router.options.Book
	assert.Equal(t, book.Unwanted(time.Now(), left), dispatch.Leaving)
	assert.Equal(t, book.Unwanted(time.Now(), &restarted), dispatch.Wanted)
	_, _ = w.serve(t, exchange())
	other := w.endpoints.calls[1].Endpoint
	assert.Assert(t, other != left)
	assert.Equal(t, book.Unwanted(time.Now(), other), dispatch.Wanted)
}
