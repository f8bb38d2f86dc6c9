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

// Settings take the zone of the chosen endpoint away while the request waits
// in its home's queue or computes. Its prompt would go on to a place that the
// team has just forbidden. The last check sees the new settings; the request
// runs in what is left, or is refused.
func TestZonesNarrowInFlight(t *testing.T) {
	for _, op := range []string{"prefill p1", "import d1", "decode d1"} {
		runInWorld(t, op, func(t *testing.T, w *world) {
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
			w.assertFree(t)
		})
	}
}

// The team's zones are all down. Serving it in another place would break the
// one promise that matters more than speed: it is refused, at once.
func TestZonesAllDown(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for _, id := range []fleet.EndpointID{"p1", "p2", "d1", "d2"} {
			w.moveTo(id, "barasat")
		}
		began := time.Now()
		failure := failed(t, w.router(route.Bounds{}), modelRequest())
		assert.Equal(t, failure.Code, callerapi.CodeNoZone)
		assert.Equal(t, failure.Outcome, callerapi.OutcomeNotRun)
		assert.Assert(t, failure.RetryAfter > 0)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, len(w.sends), 0)
	})
}

// Settings take a zone away while an answer is being decoded there. The team's
// data would stay in a place that it has forbidden for as long as the answer
// takes: the next token ends that run, and the answer goes on elsewhere.
func TestZonesNarrowMidStream(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.moveTo("d1", "kolkata-north")
		w.moveTo("d2", "howrah")
		s := &sink{after: func(c engineapi.Chunk) {
			if c.Offset == 3 {
				w.permit("howrah")
			}
		}}
		served(t, w.router(route.Bounds{}), modelRequest(), s)
		assert.Equal(t, w.sent("decode d2"), 1)
		w.assertFree(t)
	})
}

// Settings take the prefill engine's zone away between prefill and transfer:
// the KV cache, which is the prompt in another form, isn't moved on from there.
func TestZonesNarrowBeforeTransfer(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
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
		w.assertFree(t)
	})
}
