package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/route"
	"github.com/hyssopsail/hyssopsail/internal/schedule"
)

// runs sets the software version of engines.
func (w *fakeFleet) runs(software map[fleet.EndpointID]string) {
	for n := range w.list {
		w.list[n].Software = software[w.list[n].ID]
	}
}

// Guards against KV caches and output of one software version that go on at another one.
func TestModelStaysAtOneSoftwareVersion(t *testing.T) {
	plans := map[string]schedule.StartPlan{"reserve first": {ReserveFirst: true}, "optimistic": {}}
	for planName, plan := range plans {
		for name, row := range map[string]struct {
			software map[fleet.EndpointID]string
			broken   fleet.EndpointID // decode engine that breaks off in mid-stream
			sends    []string         // to engines of the wrong version: none of them
			failed   bool
		}{
			"prefill of the decode engine's version":  {software: map[fleet.EndpointID]string{"p1": "v1", "p2": "v2", "d1": "v2", "d2": "v2"}, sends: []string{"prefill p1"}},
			"decode of the prefill engine's version":  {software: map[fleet.EndpointID]string{"p1": "v2", "p2": "v2", "d1": "v1", "d2": "v2"}, sends: []string{"import d1", "decode d1"}},
			"no two engines of one version":           {software: map[fleet.EndpointID]string{"p1": "v1", "p2": "v2", "d1": "v3", "d2": "v4"}, sends: []string{"prefill p1", "prefill p2"}, failed: true},
			"continued at the same version":           {software: map[fleet.EndpointID]string{"p1": "v1", "p2": "v1", "d1": "v1", "d2": "v1"}, broken: "d1"},
			"not continued, the version has no other": {software: map[fleet.EndpointID]string{"p1": "v1", "p2": "v2", "d1": "v1", "d2": "v2"}, broken: "d1", sends: []string{"prefill p2", "import d2", "decode d2"}, failed: true},
		} {
			runWithFakeFleet(t, planName+", "+name, func(t *testing.T, w *fakeFleet) {
				w.plan = plan
				w.runs(row.software)
				if row.broken != "" {
					w.setFault("decode", row.broken, 1, fault{broken: true, after: 3})
				}
				s := &sink{}
				a := w.router(route.Bounds{}).Complete(t.Context(), modelRequest(), s)
				assert.Equal(t, a.Failure != nil, row.failed, "%v", a.Failure)
				for _, send := range row.sends {
					assert.Equal(t, w.sent(send), 0, send)
				}
				w.assertNothingHeld(t)
			})
		}
	}
}

// Guards against the version of an engine's process before: it has restarted since its candidate
// was read, with a version that isn't known yet.
func TestGrantOfARestartedEngineIsNotUsed(t *testing.T) {
	runWithFakeFleet(t, "restarted", func(t *testing.T, w *fakeFleet) {
		w.staleIncarnations = map[fleet.EndpointID]bool{"d1": true}
		served(t, w.router(route.Bounds{}), modelRequest(), &sink{})
		assert.Equal(t, w.sent("decode d1"), 0)
		assert.Equal(t, w.sent("decode d2"), 1)
		w.assertNothingHeld(t)
	})
}
