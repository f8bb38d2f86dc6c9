package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// alone keeps one endpoint of each role: no other can stand in.
func (w *world) alone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var kept []endpoint.Candidate
	for _, c := range w.list {
		if c.Zone == "howrah" {
			kept = append(kept, c)
		}
	}
	w.list = kept
}

// An entry gets a slot, is frozen, and goes on after the grant's life: the
// home has given the slot to another request. A send now would put two
// requests into one slot. The request takes a new slot and is served, also
// where there is only one endpoint.
func TestGrantRanOutBeforeTheSend(t *testing.T) {
	for _, op := range []string{"prefill", "import", "decode"} {
		for name, prepare := range map[string]func(*world){"two zones": func(*world) {}, "one engine": (*world).alone} {
			runInWorld(t, op+", "+name, func(t *testing.T, w *world) {
				prepare(w)
				w.noBudget = true
				w.freezeBefore = op
				served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
				assert.Equal(t, w.lateSends, 0)
				assert.Equal(t, w.sent(op+" "), 1)
				w.assertFree(t)
			})
		}
	}
}

// The same freeze before a call of a plain service. Nothing has left, so that
// even a call that may not be repeated is sent, once, under a new grant.
func TestGrantRanOutBeforeTheCall(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		runInWorld(t, method, func(t *testing.T, w *world) {
			w.alone()
			w.noBudget = true
			w.freezeBefore = "call"
			request := callRequest()
			request.Method = method
			_, failure := w.router(route.Bounds{}).Call(t.Context(), request)
			assert.Assert(t, failure == nil, "%v", failure)
			assert.Equal(t, w.lateSends, 0)
			assert.Equal(t, w.sent("call "), 1)
			w.assertFree(t)
		})
	}
}
