package e2e_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/hyssopsail/hyssopsail/internal/callerapi"
	"github.com/hyssopsail/hyssopsail/internal/fleet"
	"github.com/hyssopsail/hyssopsail/internal/standin"
)

// oneZonePlan returns the plan of three entries in one zone that are control
// instances too.
func oneZonePlan() fleetPlan { return fleetPlan{zones: []string{"a", "a", "a"}, control: 3} }

// Each entry serves a completion as a stream and as one answer, with the right text.
func TestWholePath(t *testing.T) {
	f := startFleet(t, oneZonePlan())
	e := &endpointSet{fleet: f}
	e.add(t, "p", "a", fleet.RolePrefill)
	e.add(t, "d1", "a", fleet.RoleDecode)
	e.add(t, "d2", "a", fleet.RoleDecode)
	e.awaitServing(t)
	for _, i := range f.instances {
		for _, stream := range []bool{true, false} {
			r := request{prompt: "bale of saris at " + i.id, maxTokens: 40, stream: stream}
			a := mustSendCompletion(t, i, r)
			assert.Assert(t, a.isComplete(), "%+v", a)
			assert.Equal(t, a.outcome, callerapi.OutcomeCompleted)
			assert.Equal(t, a.text, standin.ExpectedText(r.prompt, r.maxTokens))
		}
	}
	e.awaitNothingHeld(t, callTimeout)
}
