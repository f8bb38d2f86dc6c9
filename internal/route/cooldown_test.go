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
func (w *fakeFleet) sentTo(send string) int {
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

// An endpoint asks an entry for a cooldown with a refusal, while its home still grants its
// slots. The entry must not send it the next request until the cooldown has ended.
func TestEndpointInCooldownGetsNoSends(t *testing.T) {
	for _, test := range []struct {
		op string
		at fleet.EndpointID
	}{{"prefill", "p1"}, {"import", "d1"}, {"call", "s1"}} {
		runWithFakeFleet(t, test.op, func(t *testing.T, w *fakeFleet) {
			w.budget = testBudget(50)
			w.setFault(test.op, test.at, 100, fault{code: engineapi.CodeFull, cooldown: 3 * time.Second})
			router := w.router(route.Bounds{})
			ask := func() {
				if test.op == "call" {
					request := callRequest()
					request.Method = "GET"
					_, _ = router.Call(t.Context(), request)
					return
				}
				_ = router.Complete(t.Context(), modelRequest(), &sink{})
			}
			for began := time.Now(); time.Since(began) < 2900*time.Millisecond; time.Sleep(200 * time.Millisecond) {
				ask()
			}
			send := test.op + " " + string(test.at)
			assert.Equal(t, w.sentTo(send), 1)
			time.Sleep(time.Second)
			ask()
			assert.Assert(t, w.sentTo(send) >= 2, "the cooldown is over")
			w.assertNothingHeld(t)
		})
	}
}
