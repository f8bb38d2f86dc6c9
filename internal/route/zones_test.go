package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/engineapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// Settings remove the zone of the chosen endpoint while the request waits in its home's
// queue or is computed. The last check must see the new settings, so that no prompt is
// sent to a forbidden zone, and the request run in the remaining zones.
func TestZonesNarrowInFlight(t *testing.T) {
	for _, op := range []string{"prefill p1", "import d1", "decode d1"} {
		runWithFakeFleet(t, op, func(t *testing.T, w *fakeFleet) {
			w.permit("howrah", "barasat")
			w.add("p3", fleet.RolePrefill, "barasat")
			w.add("d3", fleet.RoleDecode, "barasat")
			w.moveTo("p1", "kolkata-north")
			w.moveTo("d1", "kolkata-north")
			w.permit("howrah", "kolkata-north", "barasat")
			w.beforeSend = func(next string) {
				if next == op {
					w.permit("howrah", "barasat")
				}
			}
			served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
			assert.Equal(t, w.sent(op), 0)
			w.assertNothingHeld(t)
		})
	}
}

// All endpoints in the team's zones are down. The request must be refused at once, never
// served in another zone.
func TestZonesAllDown(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		for _, id := range []fleet.EndpointID{"p1", "p2", "d1", "d2"} {
			w.moveTo(id, "barasat")
		}
		began := time.Now()
		failure := failed(t, w.router(route.Bounds{}), modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeNoPermittedZone)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeNotRun)
		assert.Assert(t, failure.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(w.sends), 0)
	})
}

// Settings remove the zone in which an answer is being decoded. The next token must end
// that attempt, and the answer continue in a permitted zone.
func TestZonesNarrowMidStream(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.moveTo("d1", "kolkata-north")
		w.moveTo("d2", "howrah")
		s := &sink{after: func(c engineapi.Chunk) {
			if c.Offset == 3 {
				w.permit("howrah")
			}
		}}
		served(t, w.router(route.Bounds{}), modelRequest(), s)
		assert.Equal(t, w.sent("decode d2"), 1)
		w.assertNothingHeld(t)
	})
}

// Settings remove the prefill engine's zone between prefill and transfer. The KV cache,
// which contains the prompt, must not be transferred from there.
func TestZonesNarrowBeforeTransfer(t *testing.T) {
	withFakeFleet(t, func(t *testing.T, w *fakeFleet) {
		w.moveTo("p1", "kolkata-north")
		w.moveTo("p2", "howrah")
		w.plan = schedule.StartPlan{ReserveFirst: true}
		w.afterSend = func(op string) {
			if op == "prefill p1" {
				w.permit("howrah")
			}
		}
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		assert.Equal(t, w.sent("prefill p2"), 1)
		assert.Equal(t, w.sent("import"), 1)
		w.assertNothingHeld(t)
	})
}
