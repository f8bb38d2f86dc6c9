package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/route"
)

// sentTo counts the sends of an operation to an endpoint.
func (w *world) sentTo(send string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.sends {
		if s == send {
			n++
		}
	}
	return n
}

// Guards against an endpoint that asks an entry for rest with a refusal and is sent the
// next request: its home still gives its slots.
func TestRestingEndpointIsLeftAlone(t *testing.T) {
	for _, test := range []struct {
		op string
		at fleet.EndpointID
	}{{"prefill", "p1"}, {"import", "d1"}, {"call", "s1"}} {
		runInWorld(t, test.op, func(t *testing.T, w *world) {
			w.budget = testBudget(50)
			w.set(test.op, test.at, 100, fault{code: engineapi.CodeFull, rest: 3 * time.Second})
			router := w.router(route.Bounds{})
			ask := func() {
				if test.op == "call" {
					request := callRequest()
					request.Method = "GET"
					_, _ = router.Call(t.Context(), request)
					return
				}
				_ = router.Model(t.Context(), modelRequest(), &sink{})
			}
			for began := time.Now(); time.Since(began) < 2900*time.Millisecond; time.Sleep(200 * time.Millisecond) {
				ask()
			}
			send := test.op + " " + string(test.at)
			assert.Equal(t, w.sentTo(send), 1)
			time.Sleep(time.Second)
			ask()
			assert.Assert(t, w.sentTo(send) >= 2, "its rest is over")
			w.assertFree(t)
		})
	}
}
