package route_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
	"github.com/hyssopsail/hyssopsail/internal/settings"
)

// Two prompts need the same slow link; each alone would arrive in time, both together
// don't. The prediction for the second must include the first one's transfer from the
// start of its prefill until the transfer has ended, however it ends.
func TestTransfersBookTheirLink(t *testing.T) {
	faults := map[string]fault{"whole": {}, "prefill fails": {broken: true}}
	for name, f := range faults {
		runWithFakeFleet(t, name, func(t *testing.T, w *fakeFleet) {
			w.keepOnePerRole()
			w.moveTo("d1", "kolkata-north")
			w.state.Tree.Fleet.Links = []settings.Link{{From: "howrah", To: "kolkata-north", Rate: 100_000}}
			w.links = schedule.NewLinkTable(nil, time.Now)
			w.setFault("prefill", "p1", 9, f)
			predicted := func() time.Duration { return w.links.Cost("howrah", "kolkata-north", 1000) }
			var during time.Duration
			w.afterSend = func(sent string) {
				if sent == "prefill p1" {
					during = predicted()
				}
			}
			r := w.router(route.Bounds{})
			a := r.Complete(t.Context(), modelRequest(), &sink{})
			assert.Equal(t, a.Failure == nil, name == "whole", "%v", a.Failure)
			assert.Assert(t, during > 90*time.Millisecond, "%v", during) // 9 tokens of 1000 bytes come first
			assert.Equal(t, predicted(), 10*time.Millisecond)
		})
	}
}
