package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// Guards against retries outside the fleet's retry budget: the first after a crash, a
// transfer to another decode engine, and repeated sends to a full engine.
func TestModelKeepsTheFleetsBudget(t *testing.T) {
	for _, test := range []struct {
		name, op  string
		at        fleet.EndpointID
		fault     fault
		retryable bool // succeeds with one more arrival at each pool
	}{
		{"decode engine crashes", "decode", "d1", fault{broken: true, after: 3}, true},
		{"prefill engine crashes", "prefill", "p1", fault{broken: true}, true},
		{"prefill engine refuses", "prefill", "p1", fault{code: engineapi.CodeFull}, false},
		{"transfer stands still", "import", "d1", fault{stall: true}, true},
		{"decode engine is full", "import", "d1", fault{code: engineapi.CodeFull}, true},
	} {
		runWithFakeFleet(t, test.name, func(t *testing.T, w *fakeFleet) {
			w.budget = testBudget(0)
			w.setFault(test.op, test.at, 100, test.fault)
			failed(t, w.router(route.Bounds{}), modelRequest())
			assert.Assert(t, w.sent("prefill") <= 1 && w.sent("import") <= 1, "%v", w.sends)
			w.assertNothingHeld(t)
		})
		if !test.retryable {
			continue
		}
		runWithFakeFleet(t, test.name+", one arrival is allowed", func(t *testing.T, w *fakeFleet) {
			w.budget = testBudget(1.25)
			w.setFault(test.op, test.at, 1, test.fault)
			served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
			assert.Assert(t, w.sent("prefill") <= 2 && w.sent("import") <= 2, "%v", w.sends)
			w.assertNothingHeld(t)
		})
	}
}

// Guards against retries of calls outside the fleet's retry budget, and against telling
// the caller late.
func TestCallKeepsTheFleetsBudget(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.budget = testBudget(0)
		w.setFault("call", "s1", 9, fault{broken: true})
		w.setFault("call", "s2", 9, fault{broken: true})
		request := callRequest()
		request.Method = "GET"
		began := time.Now()
		_, failure := w.router(route.Bounds{}).Call(t.Context(), request)
		assert.Assert(t, failure != nil)
		assert.Equal(t, w.sent("call"), 1)
		assert.Assert(t, time.Since(began) < time.Second)
	})
}
