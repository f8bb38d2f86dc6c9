package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/endpoint"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// keepOnePerRole keeps one endpoint of each role, so that there is no other to use.
func (w *fakeFleet) keepOnePerRole() {
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

// An entry gets a grant, is frozen, and continues after the grant has expired, when the
// home has granted the slot to another request. It must not send under that grant, which
// would put two requests into one slot, but get a new one and serve the request, even
// with only one endpoint.
func TestGrantExpiredBeforeSend(t *testing.T) {
	for _, op := range []string{"prefill", "import", "decode"} {
		for name, prepare := range map[string]func(*fakeFleet){"two zones": func(*fakeFleet) {}, "one engine": (*fakeFleet).keepOnePerRole} {
			runWithFakeFleet(t, op+", "+name, func(t *testing.T, w *fakeFleet) {
				prepare(w)
				w.noBudget = true
				w.freezeBefore = op
				served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
				assert.Equal(t, w.lateSends, 0)
				assert.Equal(t, w.sent(op+" "), 1)
				w.assertNothingHeld(t)
			})
		}
	}
}

// The same freeze before a call of a plain service. Nothing was sent, so that even a call
// that must not be repeated is sent, once, under a new grant.
func TestGrantExpiredBeforeCall(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		runWithFakeFleet(t, method, func(t *testing.T, w *fakeFleet) {
			w.keepOnePerRole()
			w.noBudget = true
			w.freezeBefore = "call"
			request := callRequest()
			request.Method = method
			_, failure := w.router(route.Bounds{}).Call(t.Context(), request)
			assert.Assert(t, failure == nil, "%v", failure)
			assert.Equal(t, w.lateSends, 0)
			assert.Equal(t, w.sent("call "), 1)
			w.assertNothingHeld(t)
		})
	}
}
