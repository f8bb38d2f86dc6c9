package relay

import (
	"testing"
	"testing/synctest"
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
	for _, test := range []struct {
		name    string
		model   bool
		leaving []string
		reading time.Duration
		home    Allotter
	}{
		{"one of four", false, []string{"e0"}, 0, nil},
		{"all but one", false, []string{"e0", "e1", "e2"}, 0, nil},
		{"all", false, []string{"e0", "e1", "e2", "e3"}, 0, nil},
		{"reads prompts", true, []string{"e0"}, 0, nil},
		{"all that read prompts", true, []string{"e0", "e1"}, 0, nil},
		{"generates", true, []string{"e2"}, 0, nil},
		{"generates, and prompts take long", true, []string{"e2"}, 800 * time.Millisecond, nil},
		{"a home names it", true, []string{"e2"}, 0, oneHome{endpoint: "e2", reader: "e0"}},
		{"a home names it to read", true, []string{"e0"}, 0, oneHome{endpoint: "e2", reader: "e0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(3, test.model, nil, nil, nil, nil)
				f.service.reading = test.reading
				for _, id := range test.leaving {
					f.service.endpoints[id].leaves = 5 * time.Second
				}
				for _, entry := range f.entries {
					entry.options.Allotter = test.home
				}
				f.play(t, 30)
				for id, e := range f.service.endpoints {
					assert.Check(t, e.late == 0, "%s got %d requests from entries that it had told", id, e.late)
				}
				t.Logf("%d asked, %d served, %d refused", f.asked, f.served, f.refused)
			})
		})
	}
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
